package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
	"bankledge/internal/faultlab"
)

// An attempt is cancelled between the moment in which it is marked as started and its first byte: it has no end before
// the engine has answered its start and, after that, its cancellation. Otherwise its statement would run twice at once.
func TestCancelBetweenMarkAndFirstByte(t *testing.T) {
	listener := listenOnLoopback(t)
	requests := serveAtOnce(t, listener)
	ends := make(endRecorder, 1)
	client := newTestClient(t.Context(), ends, 4, patience, listener.Addr().String())
	attempt := newAttempt(t.Context(), client, AttemptRequest{Statement: "s", Deadline: inAMinute()})
	client.pool.attemptStarted("e")
	var err error
	attempt.conn, err = client.pool.acquire(attempt.ctx, "e", attempt.address, false)
	require.NoError(t, err)
	require.True(t, attempt.markStarted())
	context.AfterFunc(attempt.ctx, attempt.onContextDone)
	attempt.Cancel()
	assert.Equal(t, "DELE", receive(t, requests), "the start may be on its way already")
	assert.Empty(t, ends)
	received, err := attempt.roundTrip(patience, formatRequest(http.MethodPost, "/x", attempt.address, nil, headerField{"Content-Length", "0"}))
	require.NoError(t, err)
	require.True(t, received.requestWritten)
	assert.Equal(t, "POST", receive(t, requests))
	assert.Empty(t, ends, "its start was answered after the DELETE")
	close(attempt.startResolved)
	assert.Equal(t, "DELE", receive(t, requests), "once more, behind the start")
	assert.Equal(t, decision.Cancelled, receive(t, ends).Outcome)
	attempt.releaseConnection(true)
}

// A poll that is sent while its attempt is being cancelled keeps it alive at the engine: where nothing confirms the
// cancellation, it has ended once the engine has dropped it after that poll.
func TestPollDuringCancellation(t *testing.T) {
	listener := listenOnLoopback(t)
	requests := serveAtOnce(t, listener)
	client := newTestClient(t.Context(), make(endRecorder, 1), 4, patience, listener.Addr().String())
	attempt := newAttempt(t.Context(), client, AttemptRequest{Statement: "s", Deadline: inAMinute()})
	var err error
	attempt.conn, err = client.pool.acquire(t.Context(), "e", attempt.address, false)
	require.NoError(t, err)
	poll := func() {
		t.Helper()
		_, err := attempt.roundTrip(patience, formatRequest(http.MethodGet, "/x/s/0", attempt.address, nil))
		require.NoError(t, err)
		assert.Equal(t, "GET ", receive(t, requests))
	}
	close(attempt.startResolved)
	poll()                                                                          // its connection has been accepted
	attempt.lastRequest.store(client.clockOrigin, time.Now().Add(-engineRetention)) // soon it counts as dropped
	listener.Close()                                                                // nothing is confirmed
	proof := make(chan EndProof, 1)
	go func() { proof <- attempt.cancelAtEngine() }()
	require.Eventually(t, func() bool { // the cancellation has begun
		client.pool.mu.Lock()
		defer client.pool.mu.Unlock()
		return client.pool.stats.Failed > 0
	}, patience, time.Millisecond)
	poll()
	polled := time.Now()
	assert.Equal(t, ProofExpiredAtEngine, receive(t, proof))
	assert.GreaterOrEqual(t, time.Since(polled), engineRetention, "the engine still ran it")
	attempt.releaseConnection(true)
}

// A poll reaches the engine late, and its response not the router at all: the engine keeps the attempt from when the
// poll arrived. Nothing confirms the cancellation, and the attempt has ended once the engine has dropped it.
func TestDelayedPoll(t *testing.T) {
	const delay = 450 * time.Millisecond // shorter than the router waits for the response
	startReceived := make(chan struct{})
	answerStart := make(chan struct{})
	engine := startPersistentEngine(t, func(_ *persistentEngine, method string, _ int) string {
		switch method {
		case http.MethodPost:
			close(startReceived)
			<-answerStart
		case http.MethodGet:
			time.Sleep(pollHoldTime)
		}
		return noProgressResponse
	})
	link, err := faultlab.NewLink(engine.listener.Addr().String())
	require.NoError(t, err)
	defer link.Close()
	ends := make(endRecorder, 1)
	client := newTestClient(t.Context(), ends, 4, time.Second, link.Address())
	attempt := client.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Text: []byte("select"), Deadline: inAMinute()})
	receive(t, startReceived)
	link.Impair(faultlab.Impairment{Delay: delay}, faultlab.Impairment{})
	close(answerStart)
	engine.awaitRequest(t, http.MethodPost)
	// The start's response was not delayed, so the poll uses a connection of its own.
	polled := func() bool { return link.Connections() == 2 && link.InFlight() > 0 }
	require.Eventually(t, polled, patience, time.Millisecond)
	link.Impair(faultlab.Impairment{Delay: delay}, faultlab.Impairment{Blocked: true})
	require.NoError(t, link.RefuseConnections(true))
	attempt.Cancel()
	engine.awaitRequest(t, http.MethodGet)
	assert.Equal(t, decision.Cancelled, receive(t, ends).Outcome)
	assert.False(t, engine.stillRuns(), "the engine still runs it")
}
