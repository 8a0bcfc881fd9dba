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

// Each attempt ends exactly once, whether it is cancelled or its deadline passes before, during or after its start. An
// attempt that ends as not sent never reached the engine.
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
		request := AttemptRequest{Statement: decision.StatementID(strconv.Itoa(i)), Engine: "e", Deadline: oneMinuteFromNow()}
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
			t.Fatalf("only %d of %d attempts have ended", len(outcomes), attempts)
		}
	}
	outcomes["late"] = outcomeOfAttemptCancelledBeforeStart(t, ctx, client)

	cancel()
	require.NoError(t, client.Run(ctx))
	assert.Zero(t, client.ConnectionsInUse(), "all connections are released")
	for len(started) > 0 {
		assert.NotEqual(t, decision.NotSent, outcomes[decision.StatementID(<-started)])
	}
}

// outcomeOfAttemptCancelledBeforeStart runs an attempt that is cancelled after it has acquired a connection and before it
// is started. The goroutine that runs it must report its end, since no other goroutine would.
func outcomeOfAttemptCancelledBeforeStart(t *testing.T, ctx context.Context, client *Client) decision.Outcome {
	t.Helper()
	require.NoError(t, client.Preconnect(ctx, "e"))
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	attempt := &Attempt{client: client, ctx: cancelled, AttemptRequest: AttemptRequest{Statement: "late", Engine: "e", Deadline: oneMinuteFromNow()}}
	end, known := attempt.run()
	assert.True(t, known)
	assert.Equal(t, attemptEnd{outcome: decision.NotSent, confirmation: ConfirmedNotSent}, end)
	return end.outcome
}

// An engine starts draining, is removed, or its address passes to another engine while an attempt waits for a connection
// slot or dials: nothing of the attempt is sent, and it ends as not sent.
func TestNothingIsSentToAnEngineThatDrainsWhileConnecting(t *testing.T) {
	changes := map[string]func(client *Client, address string){
		"drains":            func(client *Client, _ string) { client.DrainEngine("e") },
		"is removed":        func(client *Client, _ string) { client.RemoveEngine("e") },
		"is not retained":   func(client *Client, _ string) { client.RetainEngines(map[decision.EngineID]bool{}) },
		"loses its address": func(client *Client, address string) { client.UpdateEngine("other", address, true) },
		"drains and is listed as not ready": func(client *Client, address string) {
			client.DrainEngine("e")
			client.UpdateEngine("e", address, false)
		},
		"is listed again at another address": func(client *Client, _ string) {
			client.RemoveEngine("e")
			client.UpdateEngine("e", "127.0.0.1:1", true)
		},
	}
	for name, change := range changes {
		t.Run("waits for a connection slot, "+name, func(t *testing.T) {
			listener := listenOnLoopback(t)
			requests := serveImmediately(t, listener)
			ends := make(endRecorder, 1)
			client := newTestClient(t.Context(), ends, 1, testTimeout, listener.Addr().String())
			require.NoError(t, client.pool.acquireSlot(t.Context()))
			client.StartAttempt(AttemptRequest{Statement: "s", Engine: "e", Deadline: oneMinuteFromNow()})
			require.Eventually(t, func() bool {
				client.pool.mu.Lock()
				defer client.pool.mu.Unlock()
				return client.pool.slotWaiters == 1
			}, testTimeout, time.Millisecond)
			change(client, listener.Addr().String())
			<-client.pool.slots
			assert.Equal(t, decision.NotSent, receive(t, ends).Outcome)
			assert.Empty(t, requests)
		})
		t.Run("dials, "+name, func(t *testing.T) {
			t.Parallel()
			listener, accept, err := fakes.ListenWithFullBacklog()
			require.NoError(t, err)
			ends := make(endRecorder, 1)
			client := newTestClient(t.Context(), ends, 4, testTimeout, listener.Addr().String())
			client.StartAttempt(AttemptRequest{Statement: "s", Engine: "e", Deadline: oneMinuteFromNow()})
			require.Eventually(t, func() bool { return client.ConnectionsInUse() == 1 }, testTimeout, time.Millisecond)
			change(client, listener.Addr().String())
			accept()
			requests := serveImmediately(t, listener)
			assert.Equal(t, decision.NotSent, receive(t, ends).Outcome)
			assert.Empty(t, requests)
		})
	}
}

// A retry of a statement that may have run must start while the engines remember the first attempt. A retry is never sent
// if StartBefore passes while it waits for a connection slot, while it dials, or just before it would be started.
func TestNothingIsSentAfterTheStartDeadline(t *testing.T) {
	const soon = 20 * time.Millisecond
	startSoon := func(client *Client) {
		client.StartAttempt(AttemptRequest{Statement: "s", Engine: "e", Deadline: oneMinuteFromNow(), StartBefore: time.Now().Add(soon)})
	}
	t.Run("waits for a connection slot", func(t *testing.T) {
		listener := listenOnLoopback(t)
		requests := serveImmediately(t, listener)
		ends := make(endRecorder, 1)
		client := newTestClient(t.Context(), ends, 1, testTimeout, listener.Addr().String())
		require.NoError(t, client.pool.acquireSlot(t.Context()))
		startSoon(client)
		assert.Equal(t, decision.NotSent, receive(t, ends).Outcome)
		assert.Empty(t, requests)
	})
	t.Run("dials", func(t *testing.T) {
		listener, accept, err := fakes.ListenWithFullBacklog()
		require.NoError(t, err)
		ends := make(endRecorder, 1)
		client := newTestClient(t.Context(), ends, 1, testTimeout, listener.Addr().String())
		startSoon(client)
		assert.Equal(t, decision.NotSent, receive(t, ends).Outcome, "does not count as a failure of the engine")
		accept()
		assert.Empty(t, serveImmediately(t, listener))
	})
	t.Run("is started", func(t *testing.T) {
		listener := listenOnLoopback(t)
		requests := serveImmediately(t, listener)
		client := newTestClient(t.Context(), make(endRecorder, 1), 4, testTimeout, listener.Addr().String())
		attempt := newAttempt(t.Context(), client, AttemptRequest{Statement: "s", Deadline: oneMinuteFromNow(), StartBefore: time.Now()})
		assert.False(t, attempt.markStarted())
		attempt.StartBefore = oneMinuteFromNow()
		assert.True(t, attempt.markStarted())
		client.StartAttempt(AttemptRequest{Statement: "s", Engine: "e", Deadline: oneMinuteFromNow(), StartBefore: oneMinuteFromNow()})
		assert.Equal(t, "POST", receive(t, requests))
	})
}
