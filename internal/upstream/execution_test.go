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
	"go.uber.org/zap"

	"bankledge/decision"
)

type endRecorder chan decision.AttemptEnded

func (e endRecorder) AttemptProgressed(decision.AttemptProgress)         {}
func (e endRecorder) AttemptEnded(ended decision.AttemptEnded, _ []byte) { e <- ended }
func (e endRecorder) HealthCheckEnded(decision.HealthCheckEnded)         {}

// Whenever an execution is given up or its time is up, before, while and after it is started, it has one end,
// and one that was never started never reached the engine.
func TestEveryExecutionEndsOnce(t *testing.T) {
	started := make(chan string, 1000)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "POST" {
			started <- r.Header.Get("X-Txn")
		}
		w.WriteHeader(map[string]int{"POST": 202, "GET": 202, "DELETE": 204}[r.Method])
	}))
	defer engine.Close()
	ctx, cancel := context.WithCancel(t.Context())
	heard := make(endRecorder, 1000)
	b := New(ctx, heard, 20, time.Minute, time.Second, zap.NewNop())
	b.UpdateEngine("e", engine.Listener.Addr().String(), true)
	const n = 300
	for i := range n {
		order := AttemptRequest{Statement: decision.StatementID(strconv.Itoa(i)), Engine: "e", Deadline: time.Now().Add(time.Minute)}
		lapse := time.Duration(i) * 10 * time.Microsecond
		if i%2 == 0 {
			order.Deadline = time.Now().Add(lapse + time.Millisecond)
		}
		x := b.StartAttempt(order)
		if i%2 == 1 {
			time.AfterFunc(lapse, x.Cancel)
		}
	}
	seen := map[decision.StatementID]decision.Outcome{}
	for range n {
		select {
		case ended := <-heard:
			_, twice := seen[ended.Statement]
			require.False(t, twice)
			require.Contains(t, []decision.Outcome{decision.NotSent, decision.Cancelled, decision.TimedOut}, ended.Outcome)
			seen[ended.Statement] = ended.Outcome
		case <-time.After(20 * time.Second):
			t.Fatalf("only %d of %d have ended", len(seen), n)
		}
	}
	// Lapsed after a connection was had and before it was started: nobody else would tell of its end.
	require.NoError(t, b.Preconnect(ctx, "e"))
	over, lapse := context.WithCancel(ctx)
	lapse()
	x := &Attempt{client: b, ctx: over, AttemptRequest: AttemptRequest{Statement: "late", Engine: "e", Deadline: time.Now().Add(time.Minute)}}
	end, known := x.run()
	assert.True(t, known)
	assert.Equal(t, attemptEnd{outcome: decision.NotSent, proof: ProofNotSent}, end)
	seen["late"] = end.outcome

	cancel()
	require.NoError(t, b.Run(ctx))
	assert.Zero(t, b.ConnectionsInUse(), "all given back")
	for len(started) > 0 {
		assert.NotEqual(t, decision.NotSent, seen[decision.StatementID(<-started)])
	}
}

// A new engine at a gone one's address inherits neither its connections nor its executions, and nothing is kept of
// engines that are gone.
func TestEnginesComeAndGo(t *testing.T) {
	calls := make(chan string, 100)
	at := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case calls <- r.Method:
		default:
		}
		w.Header().Set("Connection", "close")
		w.WriteHeader(map[string]int{"POST": 202, "GET": 202, "DELETE": 204}[r.Method])
	}))
	defer at.Close()
	heard := make(endRecorder, 10)
	ctx, cancel := context.WithCancel(t.Context())
	b := New(ctx, heard, 20, time.Minute, time.Second, zap.NewNop())
	address := at.Listener.Addr().String()
	b.UpdateEngine("old", address, true)
	require.NoError(t, b.Preconnect(ctx, "old"))
	require.Len(t, b.pool.idle["old"], 1)
	b.StartAttempt(AttemptRequest{Statement: "1", Engine: "old", Deadline: time.Now().Add(time.Minute)})
	require.Equal(t, "POST", <-calls)
	b.UpdateEngine("new", address, true) // before it was said that the old one is gone
	b.pool.mu.Lock()
	assert.Empty(t, b.pool.idle["old"])
	b.pool.mu.Unlock()
	ended := <-heard // what was out there is not asked of the new one
	assert.Equal(t, decision.ConnectionReset, ended.Outcome)
	_, err := b.pool.acquire(ctx, "old", address, false)
	require.ErrorIs(t, err, errUnknownEngine)
	b.RemoveEngine("old")
	assert.Equal(t, address, b.pool.addressOf("new"), "it is the new one's")
	for i := range 1000 {
		id := decision.EngineID(strconv.Itoa(i))
		b.UpdateEngine(id, "127.0.0.1:"+strconv.Itoa(1000+i), true)
		if i%2 == 0 {
			b.RemoveEngine(id)
		}
	}
	b.RetainEngines(map[decision.EngineID]bool{"new": true})
	assert.Len(t, b.pool.addresses, 1)
	assert.Len(t, b.pool.engineAt, 1)
	cancel()
	require.NoError(t, b.Run(ctx))
	assert.Empty(t, b.pool.idle)
	assert.Less(t, len(calls), 50, "an engine that has no news at once is not asked without a pause")
	assert.Zero(t, b.ConnectionsInUse())
}
