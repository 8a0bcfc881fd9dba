package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// notificationRecorder is a Listener that records the kinds of notifications in order.
type notificationRecorder chan string

func (r notificationRecorder) AttemptProgressed(decision.AttemptProgress) { r <- "progress" }
func (r notificationRecorder) AttemptEnded(decision.AttemptEnded, []byte) { r <- "end" }
func (r notificationRecorder) HealthCheckEnded(decision.HealthCheckEnded) {}

// An attempt is cancelled while the engine holds its poll. The engine confirms the cancellation, the end is reported, and then the engine
// answers the poll with progress. The listener must not be notified of progress of an attempt that has already ended.
func TestNoProgressAfterTheEnd(t *testing.T) {
	pollReceived := make(chan struct{})
	releasePoll := make(chan struct{})
	engine := startPersistentEngine(t, func(_ *persistentEngine, method string, _ int) string {
		switch method {
		case http.MethodDelete:
			return cancelledResponse
		case http.MethodGet:
			close(pollReceived)
			<-releasePoll
			return "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nX-How: done\r\nX-Num: 0.3\r\n\r\n"
		}
		time.Sleep(minPollHoldTime) // a response that arrives sooner may be a duplicate of an earlier one
		return noProgressResponse
	})
	ctx, cancel := context.WithCancel(t.Context())
	notifications := make(notificationRecorder, 10)
	client := newTestClient(ctx, notifications, 4, time.Second, engine.listener.Addr().String())
	attempt := client.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Text: []byte("select"), Deadline: oneMinuteFromNow()})
	receive(t, pollReceived)
	attempt.Cancel()
	assert.Equal(t, "end", receive(t, notifications))
	close(releasePoll)
	require.Eventually(t, func() bool { // the response was handled: the connections of the poll and of the cancellation are idle
		client.pool.mu.Lock()
		defer client.pool.mu.Unlock()
		return len(client.pool.idle["e"]) == len(client.pool.open)
	}, testTimeout, time.Millisecond)
	cancel()
	require.NoError(t, client.Run(ctx))
	assert.Empty(t, notifications)
}
