package upstream

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// After a suspension of the router, an attempt waits for the control feed before it starts. The remaining time that is sent to the engine
// must be measured after that wait, not before it.
func TestTimeLeftIsMeasuredAfterTheWaitForDiscovery(t *testing.T) {
	const (
		wait      = 400 * time.Millisecond
		slack     = 150 * time.Millisecond // tolerance for the deadline that the engine computes
		timeLimit = 5 * time.Second
	)
	type start struct {
		timeLeft   time.Duration
		receivedAt time.Time
	}
	starts := make(chan start, 1)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			milliseconds, err := strconv.Atoi(r.Header.Get(headerTimeLeft))
			assert.NoError(t, err)
			starts <- start{time.Duration(milliseconds) * time.Millisecond, time.Now()}
		}
		w.WriteHeader(emptyStatusByMethod[r.Method])
	}))
	defer engine.Close()
	client := newTestClient(t.Context(), make(endRecorder, 1), 4, time.Second, engine.Listener.Addr().String())
	client.AwaitDiscovery = func() { time.Sleep(wait) }
	deadline := time.Now().Add(timeLimit)
	attempt := client.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Deadline: deadline})
	defer attempt.Cancel()
	received := receive(t, starts)
	require.Positive(t, received.timeLeft)
	assert.LessOrEqual(t, received.timeLeft, deadline.Sub(received.receivedAt)+slack)
}

// If the deadline passes during that wait, the attempt is not started.
func TestNothingStartsIfTheDeadlinePassesDuringTheWaitForDiscovery(t *testing.T) {
	engine := startPersistentEngine(t, func(*persistentEngine, string, int) string { return noProgressResponse })
	ends := make(endRecorder, 1)
	client := newTestClient(t.Context(), ends, 4, time.Second, engine.listener.Addr().String())
	deadline := time.Now().Add(100 * time.Millisecond)
	client.AwaitDiscovery = func() { time.Sleep(time.Until(deadline)) }
	client.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Deadline: deadline})
	receive(t, ends)
	assert.False(t, engine.hasStarted())
}
