package upstream

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/faultlab"
)

// A statement's start is held up on its way, its client leaves, and 0.3 s later the start comes to the engine: an attempt that begins more
// than 0.1 s after its client has gone (seed 30 of the shutdown soaks, 0.385 s). The connection is reset only when the start's response is
// overdue, 0.55 s after it was sent; reset at once, the start would count as unresolved, and its end as unproven, for 2.35 s.
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
