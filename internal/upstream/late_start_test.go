package upstream

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
	"bankledge/internal/faultlab"
)

// The network delays a start, its client leaves, and 0.3 s later the start arrives at the engine, which begins the attempt more than 0.1 s
// after its client has left (seed 30 of the shutdown soaks: 0.385 s). The connection used to be reset only when the start's response timed
// out, 0.55 s after the start was sent. It is now reset 50 ms after the statement's end; the attempt's end is then unconfirmed for 2.35 s.
func TestStartIsNotDeliveredAfterItsClientLeft(t *testing.T) {
	const departureSlack = 100 * time.Millisecond
	engine := startPersistentEngine(t, func(_ *persistentEngine, method string, _ int) string {
		if method == http.MethodDelete {
			return cancelledResponse
		}
		return noProgressResponse
	})
	link, err := faultlab.NewLink(engine.listener.Addr().String())
	require.NoError(t, err)
	defer link.Close()
	client := newTestClient(t.Context(), make(endRecorder, 1), 4, time.Second, link.Address())
	require.NoError(t, client.Preconnect(t.Context(), "e"))
	awaitReusableIdle(t, client)
	link.Impair(faultlab.Impairment{Blocked: true}, faultlab.Impairment{})
	attempt := client.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Text: []byte("select"), Deadline: oneMinuteFromNow()})
	require.Eventually(t, func() bool { return link.InFlight() > 0 }, testTimeout, time.Millisecond)
	attempt.Cancel()
	time.Sleep(departureSlack + 200*time.Millisecond)
	link.Restore()
	time.Sleep(departureSlack)
	for len(engine.requests) > 0 {
		assert.NotEqual(t, http.MethodPost, <-engine.requests)
	}
}

// CancelKeepingStart cancels an attempt, so that its statement can be retried, while the network delays the start. The start is not aborted
// until the client leaves.
func TestCancelledStartIsAbortedAfterClientLeaves(t *testing.T) {
	engine := startPersistentEngine(t, func(*persistentEngine, string, int) string { return cancelledResponse })
	link, err := faultlab.NewLink(engine.listener.Addr().String())
	require.NoError(t, err)
	defer link.Close()
	client := newTestClient(t.Context(), make(endRecorder, 1), 4, time.Second, link.Address())
	require.NoError(t, client.Preconnect(t.Context(), "e"))
	awaitReusableIdle(t, client)
	link.Impair(faultlab.Impairment{Blocked: true}, faultlab.Impairment{})
	attempt := client.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Text: []byte("select"), Deadline: oneMinuteFromNow()})
	require.Eventually(t, func() bool { return link.InFlight() > 0 }, testTimeout, time.Millisecond)
	attempt.CancelKeepingStart()
	time.Sleep(2 * startAbortDelay)
	assert.Zero(t, link.Resets())
	abortRequested := time.Now()
	attempt.AbortUnansweredStart()
	require.Eventually(t, func() bool { return link.Resets() > 0 }, testTimeout, time.Millisecond)
	assert.GreaterOrEqual(t, time.Since(abortRequested), startAbortDelay)
	link.Restore()
	engine.awaitRequest(t, http.MethodDelete)
	time.Sleep(startAbortDelay)
	for len(engine.requests) > 0 {
		assert.NotEqual(t, http.MethodPost, <-engine.requests)
	}
}

// The engine has received the complete start when the client leaves, but begins the attempt only after it has confirmed the cancellation.
// The reset of the connection confirms nothing: the attempt ends only once the engine's retention has passed.
func TestAbortedStartIsNotConfirmedByACancellation(t *testing.T) {
	release := make(chan struct{})
	engine := startPersistentEngine(t, func(engine *persistentEngine, method string, _ int) string {
		if method == http.MethodDelete {
			return cancelledResponse
		}
		close(engine.startReceived)
		<-release
		return noProgressResponse
	})
	ends := make(endRecorder, 1)
	client := newTestClient(t.Context(), ends, 4, time.Second, engine.listener.Addr().String())
	attempt := client.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Text: []byte("select"), Deadline: oneMinuteFromNow()})
	receive(t, engine.startReceived)
	attempt.Cancel()
	engine.awaitRequest(t, http.MethodDelete)
	require.Eventually(t, func() bool { return attempt.startConn.Load() == nil }, testTimeout, time.Millisecond)
	aborted := time.Now()
	close(release) // the engine begins the attempt now
	assert.Equal(t, decision.Cancelled, receive(t, ends).Outcome)
	assert.GreaterOrEqual(t, time.Since(aborted), engineRetention)
	assert.False(t, engine.stillRuns(), "the engine still runs the attempt")
}

// If a start is answered before startAbortDelay has passed, its connection stays open and may serve the next attempt. The later abort must
// not reset that connection.
func TestAnsweredStartKeepsItsConnection(t *testing.T) {
	engine := startPersistentEngine(t, func(_ *persistentEngine, method string, _ int) string {
		if method == http.MethodDelete {
			return cancelledResponse
		}
		return noProgressResponse
	})
	ends := make(endRecorder, 1)
	client := newTestClient(t.Context(), ends, 4, time.Second, engine.listener.Addr().String())
	attempt := newAttempt(t.Context(), client, AttemptRequest{Statement: "1", Deadline: oneMinuteFromNow()})
	client.pool.attemptStarted("e")
	conn, err := client.pool.acquire(attempt.ctx, "e", attempt.address, false)
	require.NoError(t, err)
	attempt.conn = conn
	_, sent, err := attempt.sendStart()
	require.NoError(t, err)
	require.True(t, sent)
	attempt.releaseConnection(true)
	attempt.abortStart()
	awaitReusableIdle(t, client)
	next, err := client.pool.acquire(t.Context(), "e", attempt.address, false)
	require.NoError(t, err)
	assert.Same(t, conn, next)
	client.pool.release(next)
}

// An abort that occurs after the response was received and before the connection is released closes the connection: no other attempt may
// acquire a connection that is about to be reset.
func TestAbortConcurrentWithTheResponse(t *testing.T) {
	answered := make(chan struct{})
	engine := startPersistentEngine(t, func(*persistentEngine, string, int) string {
		<-answered
		return noProgressResponse
	})
	client := newTestClient(t.Context(), make(endRecorder, 1), 4, time.Second, engine.listener.Addr().String())
	attempt := newAttempt(t.Context(), client, AttemptRequest{Statement: "1", Deadline: oneMinuteFromNow()})
	var err error
	attempt.conn, err = client.pool.acquire(attempt.ctx, "e", attempt.address, false)
	require.NoError(t, err)
	attempt.startConn.Store(attempt.conn)
	close(answered)
	_, err = attempt.roundTrip(testTimeout, formatRequest(http.MethodPost, startPath, attempt.address, nil, headerField{"Content-Length", "0"}))
	require.NoError(t, err)
	attempt.abortStart()
	attempt.finishStart()
	assert.Nil(t, attempt.conn)
	assert.Zero(t, client.ConnectionsInUse())
}

// AbortUnansweredStart retains an attempt for startAbortDelay only while its start may be in flight: the memory of the attempt's text counts
// as released once the attempt has ended.
func TestAbortUnansweredStartReleasesAttemptWithoutStart(t *testing.T) {
	engine := startPersistentEngine(t, func(*persistentEngine, string, int) string { return noProgressResponse })
	client := newTestClient(t.Context(), make(endRecorder, 1), 4, time.Second, engine.listener.Addr().String())
	attempt := newAttempt(t.Context(), client, AttemptRequest{Statement: "1", Deadline: oneMinuteFromNow()})
	assert.False(t, attempt.startDone(), "the attempt may still be started")
	var err error
	attempt.conn, err = client.pool.acquire(attempt.ctx, "e", attempt.address, false)
	require.NoError(t, err)
	attempt.startConn.Store(attempt.conn)
	require.True(t, attempt.markStarted())
	assert.False(t, attempt.startDone())
	attempt.finishStart()
	assert.True(t, attempt.startDone())
	attempt.releaseConnection(true)

	unsent := newAttempt(t.Context(), client, AttemptRequest{Statement: "2", Deadline: oneMinuteFromNow()})
	require.True(t, unsent.CancelUnsent())
	assert.True(t, unsent.startDone())
}
