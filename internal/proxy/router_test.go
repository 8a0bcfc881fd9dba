package proxy

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"bankledge/decision"
	"bankledge/internal/downstream"
	"bankledge/internal/fakes"
	"bankledge/internal/invariant"
	"bankledge/internal/upstream"
)

// All goroutines end when the router ends, also if a client is connected and a request is open.
func TestNoGoroutineIsLeaked(t *testing.T) {
	defer goleak.VerifyNone(t)
	router := newIdleRouter(decision.Workload{Name: "w", LatencyObjective: time.Second, StatementTimeout: 100 * time.Millisecond})
	stop, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- router.Run(stop, nil, nil) }()
	address := <-router.Serving()
	c, err := net.Dial("tcp", address.String())
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("\x00\x00\x00\x27\x07\x00\x00\x00\x01\x03\x01c\x00\x01w\x01i\x00\x100123456789abcdef\x01d\x00\x0260x"))
	require.NoError(t, err)
	cancel()
	require.NoError(t, <-ended)
}

func newInvariants(id decision.StatementID) *invariant.Request {
	return invariant.NewRequest(id, &decision.Workload{}, decision.Limits{})
}

// An attempt that still waits for a connection is cancelled before the answer is sent to the client.
func TestNothingIsSentAfterTheAnswer(t *testing.T) {
	router := newIdleRouter()
	router.upstream = upstream.New(t.Context(), router, 0, time.Minute, time.Minute, router.log) // without descriptors nothing is sent
	req := &request{id: "x", invariants: newInvariants("x"), deadline: time.Now().Add(time.Minute)}
	answered := false
	req.client = &fakeClient{onAnswer: func() {
		answered = true
		require.False(t, req.attempts[0].CancelUnsent(), "the attempt is already cancelled")
	}}
	router.loop.requests.byID[req.id] = req
	router.loop.startAttempt(decision.StartAttempt{Statement: "x", Engine: "e"})
	router.loop.reply(req, downstream.CodeRejected, nil, decision.ReasonFinished)
	require.True(t, answered)
	ended := (<-router.loop.inbox).message.(attemptEnded)
	require.Equal(t, decision.NotSent, ended.event.Outcome)
}

// A panic in the module loses the actions of one batch. The watchdog aborts a request that the module does not answer by the deadline.
func TestDecisionModulePanics(t *testing.T) {
	router := newIdleRouter() // without workloads, so workload 7 makes the module panic
	req := &request{id: "x", invariants: newInvariants("x"), client: &fakeClient{}, receivedAt: time.Now(), deadline: time.Now()}
	router.metrics.open.Add(1)
	arrived := decision.StatementArrived{Statement: "x", Workload: 7}
	router.loop.handle([]input{{message: &requestArrived{event: arrived, request: req}}})
	require.Contains(t, router.loop.requests.byID, req.id)
	router.loop.runWatchdog()
	require.True(t, req.finished)
	require.Empty(t, router.loop.requests.byID)
	require.Equal(t, int64(1), router.metrics.aborted.Load())
}

// The number of remembered ids of answered requests is bounded, and the latest ids are remembered.
func TestRecentIDs(t *testing.T) {
	ids := recentIDs{generationSize: 10}
	for i := range 1000 {
		ids.add(decision.StatementID(strconv.Itoa(i)))
		require.LessOrEqual(t, len(ids.newer)+len(ids.older), 20)
	}
	require.True(t, ids.has("999"))
	require.True(t, ids.has("990"))
	require.False(t, ids.has("900"))
}

// The control feed removes all engines of the configuration and lists another one: that engine makes the router ready.
func TestReadyWithEngineFromControlFeed(t *testing.T) {
	engine := fakes.NewEngine("e", nil)
	feed := fakes.NewControlFeed()
	t.Cleanup(func() {
		feed.Close()
		engine.Close()
	})
	r := startRouter(t, fakes.Config(feedAddress(feed), fakes.Settings, 64, 256, fakes.Member("gone", "127.0.0.1:1", "active")))
	feed.Events <- watchEvent(2, fakes.Member("gone", "", "left"), member(engine, "active"))
	c, err := fakes.Dial(r.address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.AwaitReady(testTimeout))
}
