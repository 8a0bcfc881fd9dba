package upstream

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"bankledge/decision"
)

// Guards against an attempt that begins although its client has left after the decision: nothing is sent, and the attempt ends as not sent.
func TestNothingIsSentForAClientThatHasLeft(t *testing.T) {
	engine := startPersistentEngine(t, func(*persistentEngine, string, int) string { return noProgressResponse })
	ends := make(endRecorder, 1)
	client := newTestClient(t.Context(), ends, 4, testTimeout, engine.listener.Addr().String())
	client.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Text: []byte("select"), Deadline: oneMinuteFromNow(),
		ClientWaits: func() bool { return false }})
	assert.Equal(t, decision.NotSent, receive(t, ends).Outcome)
	for len(engine.requests) > 0 {
		assert.NotEqual(t, http.MethodPost, <-engine.requests)
	}
}
