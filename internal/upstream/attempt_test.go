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
	"bankledge/internal/fakes"
)

var emptyStatusByMethod = map[string]int{http.MethodPost: 202, http.MethodGet: 202, http.MethodDelete: 204}

// Whenever an attempt is cancelled or expires, before, while and after it is started, it has one end, and one that was
// never started never reached the engine.
func TestEveryAttemptEndsOnce(t *testing.T) {
	started := make(chan string, 1000)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			started <- r.Header.Get(headerStatementID)
		}
		w.WriteHeader(emptyStatusByMethod[r.Method])
	}))
	defer engine.Close()
	ctx, cancel := context.WithCancel(t.Context())
	ends := make(endRecorder, 1000)
	client := newTestClient(ctx, ends, 20, time.Second, engine.Listener.Addr().String())
	const attempts = 300
	for i := range attempts {
		request := AttemptRequest{Statement: decision.StatementID(strconv.Itoa(i)), Engine: "e", Deadline: inAMinute()}
		delay := time.Duration(i) * 10 * time.Microsecond
		if i%2 == 0 {
			request.Deadline = time.Now().Add(delay + time.Millisecond)
		}
		attempt := client.StartAttempt(request)
		if i%2 == 1 {
			time.AfterFunc(delay, attempt.Cancel)
		}
	}
	outcomes := map[decision.StatementID]decision.Outcome{}
	for range attempts {
		select {
		case ended := <-ends:
			_, twice := outcomes[ended.Statement]
			require.False(t, twice)
			require.Contains(t, []decision.Outcome{decision.NotSent, decision.Cancelled, decision.TimedOut}, ended.Outcome)
			outcomes[ended.Statement] = ended.Outcome
		case <-time.After(20 * time.Second):
			t.Fatalf("only %d of %d have ended", len(outcomes), attempts)
		}
	}
	outcomes["late"] = endOfAttemptCancelledBeforeItsStart(t, ctx, client)

	cancel()
	require.NoError(t, client.Run(ctx))
	assert.Zero(t, client.ConnectionsInUse(), "all released")
	for len(started) > 0 {
		assert.NotEqual(t, decision.NotSent, outcomes[decision.StatementID(<-started)])
	}
}

// endOfAttemptCancelledBeforeItsStart runs an attempt that is cancelled after it has a connection and before it is
// started: its end must be known to the goroutine that runs it, since no other goroutine would report it.
func endOfAttemptCancelledBeforeItsStart(t *testing.T, ctx context.Context, client *Client) decision.Outcome {
	t.Helper()
	require.NoError(t, client.Preconnect(ctx, "e"))
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	attempt := &Attempt{client: client, ctx: cancelled, AttemptRequest: AttemptRequest{Statement: "late", Engine: "e", Deadline: inAMinute()}}
	end, known := attempt.run()
	assert.True(t, known)
	assert.Equal(t, attemptEnd{outcome: decision.NotSent, proof: ProofNotSent}, end)
	return end.outcome
}

// An engine starts draining, is removed, or its address passes to another, while an attempt waits for a descriptor or
// its connection is being established: nothing of it is sent, and it ends as not sent.
func TestNothingIsSentToAnEngineThatDrainsMeanwhile(t *testing.T) {
	changes := map[string]func(client *Client, address string){
		"drains":            func(client *Client, _ string) { client.DrainEngine("e") },
		"is removed":        func(client *Client, _ string) { client.RemoveEngine("e") },
		"is not retained":   func(client *Client, _ string) { client.RetainEngines(map[decision.EngineID]bool{}) },
		"loses its address": func(client *Client, address string) { client.UpdateEngine("other", address, true) },
		"drains and is listed": func(client *Client, address string) {
			client.DrainEngine("e")
			client.UpdateEngine("e", address, false)
		},
		"comes back elsewhere": func(client *Client, _ string) {
			client.RemoveEngine("e")
			client.UpdateEngine("e", "127.0.0.1:1", true)
		},
	}
	for name, change := range changes {
		t.Run("waits for a descriptor, "+name, func(t *testing.T) {
			listener := listenOnLoopback(t)
			requests := serveAtOnce(t, listener)
			ends := make(endRecorder, 1)
			client := newTestClient(t.Context(), ends, 1, patience, listener.Addr().String())
			require.NoError(t, client.pool.acquireSlot(t.Context()))
			client.StartAttempt(AttemptRequest{Statement: "s", Engine: "e", Deadline: inAMinute()})
			require.Eventually(t, func() bool {
				client.pool.mu.Lock()
				defer client.pool.mu.Unlock()
				return client.pool.slotWaiters == 1
			}, patience, time.Millisecond)
			change(client, listener.Addr().String())
			<-client.pool.slots
			assert.Equal(t, decision.NotSent, receive(t, ends).Outcome)
			assert.Empty(t, requests)
		})
		t.Run("its connection is being established, "+name, func(t *testing.T) {
			t.Parallel()
			listener, accept, err := fakes.ListenWithFullBacklog()
			require.NoError(t, err)
			ends := make(endRecorder, 1)
			client := newTestClient(t.Context(), ends, 4, patience, listener.Addr().String())
			client.StartAttempt(AttemptRequest{Statement: "s", Engine: "e", Deadline: inAMinute()})
			require.Eventually(t, func() bool { return client.ConnectionsInUse() == 1 }, patience, time.Millisecond)
			change(client, listener.Addr().String())
			accept()
			requests := serveAtOnce(t, listener)
			assert.Equal(t, decision.NotSent, receive(t, ends).Outcome)
			assert.Empty(t, requests)
		})
	}
}

// A retry of what may have run must be started while the engines remember the first attempt: one that has waited for
// longer, for a descriptor or for its connection, or that would be started just then, is never sent.
func TestNothingIsSentAfterTheStartDeadline(t *testing.T) {
	const soon = 20 * time.Millisecond
	startSoon := func(client *Client) {
		client.StartAttempt(AttemptRequest{Statement: "s", Engine: "e", Deadline: inAMinute(), StartBefore: time.Now().Add(soon)})
	}
	t.Run("waits for a descriptor", func(t *testing.T) {
		listener := listenOnLoopback(t)
		requests := serveAtOnce(t, listener)
		ends := make(endRecorder, 1)
		client := newTestClient(t.Context(), ends, 1, patience, listener.Addr().String())
		require.NoError(t, client.pool.acquireSlot(t.Context()))
		startSoon(client)
		assert.Equal(t, decision.NotSent, receive(t, ends).Outcome)
		assert.Empty(t, requests)
	})
	t.Run("its connection is being established", func(t *testing.T) {
		listener, accept, err := fakes.ListenWithFullBacklog()
		require.NoError(t, err)
		ends := make(endRecorder, 1)
		client := newTestClient(t.Context(), ends, 1, patience, listener.Addr().String())
		startSoon(client)
		assert.Equal(t, decision.NotSent, receive(t, ends).Outcome, "no failure of its engine")
		accept()
		assert.Empty(t, serveAtOnce(t, listener))
	})
	t.Run("is started", func(t *testing.T) {
		listener := listenOnLoopback(t)
		requests := serveAtOnce(t, listener)
		client := newTestClient(t.Context(), make(endRecorder, 1), 4, patience, listener.Addr().String())
		attempt := newAttempt(t.Context(), client, AttemptRequest{Statement: "s", Deadline: inAMinute(), StartBefore: time.Now()})
		assert.False(t, attempt.markStarted())
		attempt.StartBefore = inAMinute()
		assert.True(t, attempt.markStarted())
		client.StartAttempt(AttemptRequest{Statement: "s", Engine: "e", Deadline: inAMinute(), StartBefore: inAMinute()})
		assert.Equal(t, "POST", receive(t, requests))
	})
}
