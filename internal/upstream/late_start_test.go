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

// A statement's start is held up on its way, its client leaves, and 0.3 s later the start comes to the engine: an attempt that begins more
// than 0.1 s after its client has gone (seed 30 of the shutdown soaks, 0.385 s). The connection was reset only when the start's response
// was overdue, 0.55 s after it was sent. Now it is reset 50 ms after the statement's end; its end counts as unproven for 2.35 s then.
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
	awaitRest(t, client)
	link.Impair(faultlab.Impairment{Blocked: true}, faultlab.Impairment{})
	attempt := client.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Text: []byte("select"), Deadline: inAMinute()})
	require.Eventually(t, func() bool { return link.InFlight() > 0 }, patience, time.Millisecond)
	attempt.Cancel()
	time.Sleep(departureSlack + 200*time.Millisecond)
	link.Restore()
	time.Sleep(departureSlack)
	for len(engine.requests) > 0 {
		assert.NotEqual(t, http.MethodPost, <-engine.requests)
	}
}

// An attempt is called off, so that its statement can go elsewhere, while its start is held up; the start is withheld once the client leaves.
func TestCalledOffStartIsWithheldOnceItsClientLeaves(t *testing.T) {
	engine := startPersistentEngine(t, func(*persistentEngine, string, int) string { return cancelledResponse })
	link, err := faultlab.NewLink(engine.listener.Addr().String())
	require.NoError(t, err)
	defer link.Close()
	client := newTestClient(t.Context(), make(endRecorder, 1), 4, time.Second, link.Address())
	require.NoError(t, client.Preconnect(t.Context(), "e"))
	awaitRest(t, client)
	link.Impair(faultlab.Impairment{Blocked: true}, faultlab.Impairment{})
	attempt := client.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Text: []byte("select"), Deadline: inAMinute()})
	require.Eventually(t, func() bool { return link.InFlight() > 0 }, patience, time.Millisecond)
	attempt.CallOff()
	time.Sleep(2 * startAbortDelay)
	assert.Zero(t, link.Resets())
	withheld := time.Now()
	attempt.WithholdStart()
	require.Eventually(t, func() bool { return link.Resets() > 0 }, patience, time.Millisecond)
	assert.GreaterOrEqual(t, time.Since(withheld), startAbortDelay)
	link.Restore()
	engine.awaitRequest(t, http.MethodDelete)
	time.Sleep(startAbortDelay)
	for len(engine.requests) > 0 {
		assert.NotEqual(t, http.MethodPost, <-engine.requests)
	}
}

// A start has come whole to its engine when its client leaves, and the engine begins it only after it has confirmed the cancellation. The
// reset proves nothing: the attempt ends once the engine would have dropped it.
func TestAbortedStartIsNotProvenByACancellation(t *testing.T) {
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
	attempt := client.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Text: []byte("select"), Deadline: inAMinute()})
	receive(t, engine.startReceived)
	attempt.Cancel()
	engine.awaitRequest(t, http.MethodDelete)
	require.Eventually(t, func() bool { return attempt.startConn.Load() == nil }, patience, time.Millisecond)
	aborted := time.Now()
	close(release) // the engine begins it now
	assert.Equal(t, decision.Cancelled, receive(t, ends).Outcome)
	assert.GreaterOrEqual(t, time.Since(aborted), engineRetention)
	assert.False(t, engine.stillRuns(), "the engine still runs it")
}

// A start that is answered before the delay is over keeps its connection, which serves the next attempt: the abort that comes later must
// not reset that one.
func TestAnsweredStartKeepsItsConnection(t *testing.T) {
	engine := startPersistentEngine(t, func(_ *persistentEngine, method string, _ int) string {
		if method == http.MethodDelete {
			return cancelledResponse
		}
		return noProgressResponse
	})
	ends := make(endRecorder, 1)
	client := newTestClient(t.Context(), ends, 4, time.Second, engine.listener.Addr().String())
	attempt := newAttempt(t.Context(), client, AttemptRequest{Statement: "1", Deadline: inAMinute()})
	client.pool.attemptStarted("e")
	conn, err := client.pool.acquire(attempt.ctx, "e", attempt.address, false)
	require.NoError(t, err)
	attempt.conn = conn
	_, sent, err := attempt.sendStart()
	require.NoError(t, err)
	require.True(t, sent)
	attempt.releaseConnection(true)
	attempt.abortStart()
	awaitRest(t, client)
	next, err := client.pool.acquire(t.Context(), "e", attempt.address, false)
	require.NoError(t, err)
	assert.Same(t, conn, next)
	client.pool.release(next)
}

// An abort that comes with the response, before the connection is given back, closes it: no other attempt may get a connection that is
// about to be reset.
func TestAbortBesideTheResponse(t *testing.T) {
	answered := make(chan struct{})
	engine := startPersistentEngine(t, func(*persistentEngine, string, int) string {
		<-answered
		return noProgressResponse
	})
	client := newTestClient(t.Context(), make(endRecorder, 1), 4, time.Second, engine.listener.Addr().String())
	attempt := newAttempt(t.Context(), client, AttemptRequest{Statement: "1", Deadline: inAMinute()})
	var err error
	attempt.conn, err = client.pool.acquire(attempt.ctx, "e", attempt.address, false)
	require.NoError(t, err)
	attempt.startConn.Store(attempt.conn)
	close(answered)
	_, err = attempt.roundTrip(patience, formatRequest(http.MethodPost, startPath, attempt.address, nil, headerField{"Content-Length", "0"}))
	require.NoError(t, err)
	attempt.abortStart()
	attempt.finishStart()
	assert.Nil(t, attempt.conn)
	assert.Zero(t, client.ConnectionsInUse())
}

// An attempt is held for the delay only while its start may be under way: its text counts as released once the attempt has ended.
func TestWithholdingHoldsNoAttemptWithoutStart(t *testing.T) {
	engine := startPersistentEngine(t, func(*persistentEngine, string, int) string { return noProgressResponse })
	client := newTestClient(t.Context(), make(endRecorder, 1), 4, time.Second, engine.listener.Addr().String())
	attempt := newAttempt(t.Context(), client, AttemptRequest{Statement: "1", Deadline: inAMinute()})
	assert.False(t, attempt.startIsOver(), "it may start yet")
	var err error
	attempt.conn, err = client.pool.acquire(attempt.ctx, "e", attempt.address, false)
	require.NoError(t, err)
	attempt.startConn.Store(attempt.conn)
	require.True(t, attempt.markStarted())
	assert.False(t, attempt.startIsOver())
	attempt.finishStart()
	assert.True(t, attempt.startIsOver())
	attempt.releaseConnection(true)

	unsent := newAttempt(t.Context(), client, AttemptRequest{Statement: "2", Deadline: inAMinute()})
	require.True(t, unsent.CancelUnsent())
	assert.True(t, unsent.startIsOver())
}
