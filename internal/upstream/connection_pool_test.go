package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/faultlab"
)

// An idle connection remains usable after the deadline of its last request has passed. A connection that the engine has
// closed in the meantime is not reused.
func TestConnectionIsReusableAfterARequestDeadline(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	defer engine.Close()
	pool := newConnectionPool(4, time.Minute, time.Second)
	pool.updateEngine("e", engine.Listener.Addr().String(), true)
	first, err := pool.acquire(t.Context(), "e", pool.addressOf("e"), false)
	require.NoError(t, err)
	_, err = first.roundTrip(oneMinuteFromNow(), formatRequest(http.MethodDelete, "/x/s", first.address, nil))
	require.NoError(t, err)
	releaseAndAge := func() {
		first.socket.SetDeadline(time.Now().Add(-time.Second)) // the request's deadline has passed
		pool.release(first)
		first.idleSince = first.idleSince.Add(-minIdleBeforeReuse)
	}
	releaseAndAge()
	again, err := pool.acquire(t.Context(), "e", pool.addressOf("e"), false)
	require.NoError(t, err)
	assert.Same(t, first, again)
	_, err = again.roundTrip(oneMinuteFromNow(), formatRequest(http.MethodDelete, "/x/s", first.address, nil))
	assert.NoError(t, err)
	releaseAndAge()
	engine.CloseClientConnections()
	require.Eventually(t, func() bool { return first.inspect() == stateClosed }, testTimeout, time.Millisecond)
	other, err := pool.acquire(t.Context(), "e", pool.addressOf("e"), false)
	require.NoError(t, err)
	assert.NotSame(t, first, other)
	assert.Equal(t, ConnectionStats{Dialled: 2, Stale: 1}, ConnectionStats{Dialled: pool.stats.Dialled, Stale: pool.stats.Stale})
	pool.close(other)
	assert.Zero(t, pool.inUse())
}

// Shutdown does not wait for engines: it aborts a request to an engine that hangs.
func TestShutdownDoesNotWaitForEngines(t *testing.T) {
	listener := listenOnLoopback(t)
	ctx, cancel := context.WithCancel(t.Context())
	client := newTestClient(ctx, make(endRecorder, 1), 4, testTimeout, listener.Addr().String())
	finished := make(chan error, 1)
	go func() { finished <- client.Run(ctx) }()
	conn, err := client.pool.acquire(ctx, "e", client.pool.addressOf("e"), false)
	require.NoError(t, err)
	client.tasks.start(func() {
		conn.roundTrip(time.Now().Add(time.Hour), formatRequest(http.MethodGet, "/x/s/0", conn.address, nil))
		client.pool.close(conn)
	})
	engine, err := listener.Accept()
	require.NoError(t, err)
	defer engine.Close()
	_, err = engine.Read(make([]byte, 1)) // the request has arrived
	require.NoError(t, err)
	cancel()
	require.NoError(t, receive(t, finished))
	assert.Zero(t, client.ConnectionsInUse())
	_, err = client.pool.acquire(t.Context(), "e", client.pool.addressOf("e"), true)
	require.Error(t, err, "nothing is dialled after the shutdown")
	assert.Zero(t, client.ConnectionsInUse())
}

// The router shuts down while the network delays a start that is in flight to an engine. The start must not arrive later,
// since the attempt could no longer be cancelled.
func TestShutdownResetsADelayedStart(t *testing.T) {
	listener := listenOnLoopback(t)
	requests := serveImmediately(t, listener)
	link, err := faultlab.NewLink(listener.Addr().String())
	require.NoError(t, err)
	defer link.Close()
	link.Impair(faultlab.Impairment{Blocked: true}, faultlab.Impairment{Blocked: true})
	ctx, cancel := context.WithCancel(t.Context())
	client := newTestClient(ctx, make(endRecorder, 1), 4, testTimeout, link.Address())
	client.StartAttempt(AttemptRequest{Statement: "s", Engine: "e", Text: []byte("update"), Deadline: oneMinuteFromNow()})
	require.Eventually(t, func() bool { return link.InFlight() > 0 }, testTimeout, time.Millisecond)
	cancel()
	require.NoError(t, client.Run(ctx))
	require.Eventually(t, func() bool { return link.Resets() > 0 }, testTimeout, time.Millisecond)
	link.Impair(faultlab.Impairment{}, faultlab.Impairment{})
	require.Eventually(t, func() bool { return link.InFlight() == 0 }, testTimeout, time.Millisecond)
	assert.Never(t, func() bool { return len(requests) > 0 }, 200*time.Millisecond, time.Millisecond)
}
