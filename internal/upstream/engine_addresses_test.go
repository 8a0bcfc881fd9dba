package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

func addressWithPort(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }

// A new engine at the address of a removed engine inherits neither its connections nor its attempts, and no state of
// removed engines is kept.
func TestEngineReplacedAtItsAddress(t *testing.T) {
	requests := make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case requests <- r.Method:
		default:
		}
		w.Header().Set("Connection", "close")
		w.WriteHeader(emptyStatusByMethod[r.Method])
	}))
	defer server.Close()
	ends := make(endRecorder, 10)
	ctx, cancel := context.WithCancel(t.Context())
	address := server.Listener.Addr().String()
	client := newTestClient(ctx, ends, 20, time.Second, address)
	require.NoError(t, client.Preconnect(ctx, "e"))
	require.Len(t, client.pool.idle["e"], 1)
	client.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Deadline: oneMinuteFromNow()})
	require.Equal(t, http.MethodPost, receive(t, requests))
	client.UpdateEngine("new", address, true) // before the removal of the other engine is known
	client.pool.mu.Lock()
	assert.Empty(t, client.pool.idle["e"])
	client.pool.mu.Unlock()
	ended := receive(t, ends) // the new engine receives no poll for the attempt
	assert.Equal(t, decision.ConnectionReset, ended.Outcome)
	_, err := client.pool.acquire(ctx, "e", address, false)
	require.ErrorIs(t, err, errUnknownEngine)
	client.RemoveEngine("e")
	assert.Equal(t, address, client.pool.addressOf("new"), "the address still belongs to the new engine")
	for i := range 1000 {
		engine := decision.EngineID(strconv.Itoa(i))
		client.UpdateEngine(engine, addressWithPort(1000+i), true)
		if i%2 == 0 {
			client.RemoveEngine(engine)
		}
	}
	client.RetainEngines(map[decision.EngineID]bool{"new": true})
	assert.Len(t, client.pool.addresses, 1)
	assert.Len(t, client.pool.engineByAddress, 1)
	cancel()
	require.NoError(t, client.Run(ctx))
	assert.Empty(t, client.pool.idle)
	assert.Less(t, len(requests), 50, "an engine that reports no progress and responds immediately is not polled without a delay")
	assert.Zero(t, client.ConnectionsInUse())
}

// Attempts are started at an engine that was draining and has become ready again.
func TestEngineReadyAfterDraining(t *testing.T) {
	listener := listenOnLoopback(t)
	requests := serveImmediately(t, listener)
	address := listener.Addr().String()
	client := newTestClient(t.Context(), make(endRecorder, 1), 4, testTimeout, address)
	client.DrainEngine("e")
	assert.False(t, client.pool.mayStartAttempt("e", address))
	client.UpdateEngine("e", address, true)
	client.StartAttempt(AttemptRequest{Statement: "s", Engine: "e", Deadline: oneMinuteFromNow()})
	assert.Equal(t, "POST", receive(t, requests))
	for i := range 1000 { // no state of drained and removed engines is kept
		engine := decision.EngineID(strconv.Itoa(i))
		client.DrainEngine(engine)
		client.UpdateEngine(engine, addressWithPort(1000+i), true)
		client.DrainEngine(engine)
		client.RemoveEngine(engine)
	}
	assert.Empty(t, client.pool.draining)
}

// Guards against a new engine that loses its address to the one that had it before: a late change of the old, draining engine displaced the
// new one, so that nothing was sent to the new one and its attempts in flight were given up.
func TestDrainingEngineDoesNotTakeOverAnAddress(t *testing.T) {
	pool := newConnectionPool(4, time.Second, time.Second)
	pool.updateEngine("old", "a", true)
	pool.updateEngine("new", "a", true)
	assert.False(t, pool.mayStartAttempt("old", "a"), "the new engine has its address")
	pool.updateEngine("old", "a", false)
	pool.drainEngine("old")
	assert.True(t, pool.mayStartAttempt("new", "a"))
	assert.False(t, pool.mayStartAttempt("old", "a"))
	assert.True(t, pool.belongsToOtherEngine("a", "old"))
	pool.removeEngine("old")
	assert.True(t, pool.mayStartAttempt("new", "a"))
	pool.drainEngine("new")
	pool.updateEngine("third", "a", true)
	assert.True(t, pool.mayStartAttempt("third", "a"), "a ready engine takes the address over")
	assert.False(t, pool.mayStartAttempt("new", "a"))
}
