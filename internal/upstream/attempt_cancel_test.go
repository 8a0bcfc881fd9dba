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

// An attempt is cancelled after it was marked as started and before its first byte was sent. Its end must not be reported
// before the engine has answered the start and then a cancellation; otherwise its statement could run twice concurrently.
func TestCancelBetweenMarkStartedAndFirstByte(t *testing.T) {
	listener := listenOnLoopback(t)
	requests := serveImmediately(t, listener)
	ends := make(endRecorder, 1)
	client := newTestClient(t.Context(), ends, 4, testTimeout, listener.Addr().String())
	attempt := newAttempt(t.Context(), client, AttemptRequest{Statement: "s", Deadline: oneMinuteFromNow()})
	client.pool.attemptStarted("e")
	var err error
	attempt.conn, err = client.pool.acquire(attempt.ctx, "e", attempt.address, false)
	require.NoError(t, err)
	require.True(t, attempt.markStarted())
	context.AfterFunc(attempt.ctx, attempt.onContextDone)
	attempt.Cancel()
	assert.Equal(t, "DELE", receive(t, requests), "the start may already be in flight")
	assert.Empty(t, ends)
	received, err := attempt.roundTrip(testTimeout, formatRequest(http.MethodPost, "/x", attempt.address, nil, headerField{"Content-Length", "0"}))
	require.NoError(t, err)
	require.True(t, received.requestWritten)
	assert.Equal(t, "POST", receive(t, requests))
	assert.Empty(t, ends, "the start was answered only after the DELETE")
	close(attempt.startResolved)
	assert.Equal(t, "DELE", receive(t, requests), "the cancellation is sent again after the start")
	assert.Equal(t, decision.Cancelled, receive(t, ends).Outcome)
	attempt.releaseConnection(true)
}

// A poll that is sent while its attempt is being cancelled keeps the attempt alive at the engine. If the engine does not
// confirm the cancellation, the attempt has ended only once the engine's retention after that poll has passed.
func TestPollDuringCancellation(t *testing.T) {
	listener := listenOnLoopback(t)
	requests := serveImmediately(t, listener)
	client := newTestClient(t.Context(), make(endRecorder, 1), 4, testTimeout, listener.Addr().String())
	attempt := newAttempt(t.Context(), client, AttemptRequest{Statement: "s", Deadline: oneMinuteFromNow()})
	var err error
	attempt.conn, err = client.pool.acquire(t.Context(), "e", attempt.address, false)
	require.NoError(t, err)
	poll := func() {
		t.Helper()
		_, err := attempt.roundTrip(testTimeout, formatRequest(http.MethodGet, "/x/s/0", attempt.address, nil))
		require.NoError(t, err)
		assert.Equal(t, "GET ", receive(t, requests))
	}
	close(attempt.startResolved)
	poll()                                                                          // the engine has accepted the connection
	attempt.lastRequest.store(client.clockOrigin, time.Now().Add(-engineRetention)) // the attempt expires soon
	listener.Close()                                                                // no cancellation can be confirmed
	confirmation := make(chan EndConfirmation, 1)
	go func() { confirmation <- attempt.cancelAtEngine() }()
	require.Eventually(t, func() bool { // the router has tried to send a cancellation
		client.pool.mu.Lock()
		defer client.pool.mu.Unlock()
		return client.pool.stats.Failed > 0
	}, testTimeout, time.Millisecond)
	poll()
	polled := time.Now()
	assert.Equal(t, ConfirmedByExpiry, receive(t, confirmation))
	assert.GreaterOrEqual(t, time.Since(polled), engineRetention, "the engine still ran the attempt")
	attempt.releaseConnection(true)
}

// A poll reaches the engine late, and its response never reaches the router: the engine's retention begins when the poll
// arrives. The engine does not confirm the cancellation, so the attempt has ended only once the engine has dropped it.
func TestDelayedPoll(t *testing.T) {
	const delay = 450 * time.Millisecond // shorter than the router's timeout for the response
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
	attempt := client.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Text: []byte("select"), Deadline: oneMinuteFromNow()})
	receive(t, startReceived)
	link.Impair(faultlab.Impairment{Delay: delay}, faultlab.Impairment{})
	close(answerStart)
	engine.awaitRequest(t, http.MethodPost)
	// The start's response was not delayed, so it may be a duplicate and the poll uses a new connection.
	polled := func() bool { return link.Connections() == 2 && link.InFlight() > 0 }
	require.Eventually(t, polled, testTimeout, time.Millisecond)
	link.Impair(faultlab.Impairment{Delay: delay}, faultlab.Impairment{Blocked: true})
	require.NoError(t, link.RefuseConnections(true))
	attempt.Cancel()
	engine.awaitRequest(t, http.MethodGet)
	assert.Equal(t, decision.Cancelled, receive(t, ends).Outcome)
	assert.False(t, engine.stillRuns(), "the engine still runs the attempt")
}
