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

// Every goroutine ends with the router, also with a client connected and a request open.
func TestNoGoroutineIsLeaked(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := newIdleRouter(decision.Workload{Name: "w", LatencyObjective: time.Second, StatementTimeout: 100 * time.Millisecond})
	stop, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(stop, nil, nil) }()
	address := <-g.Serving()
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

// An attempt that still waits for a connection is cancelled before the client can know of the answer.
func TestNothingIsSentAfterTheAnswer(t *testing.T) {
	g := newIdleRouter()
	g.upstream = upstream.New(t.Context(), g, 0, time.Minute, time.Minute, g.log) // with no descriptor to be had
	req := &request{id: "x", invariants: newInvariants("x"), deadline: time.Now().Add(time.Minute)}
	answered := false
	req.client = &fakeClient{onAnswer: func() {
		answered = true
		require.False(t, req.attempts[0].CancelUnsent(), "it was cancelled before")
	}}
	g.loop.requests.byID[req.id] = req
	g.loop.startAttempt(decision.StartAttempt{Statement: "x", Engine: "e"})
	g.loop.reply(req, downstream.CodeRejected, nil, decision.ReasonFinished)
	require.True(t, answered)
	ended := (<-g.loop.inbox).message.(attemptEnded)
	require.Equal(t, decision.NotSent, ended.event.Outcome)
}

// A panic in the module loses a batch; a request that it does not answer is aborted at its deadline.
func TestDecisionModulePanics(t *testing.T) {
	g := newIdleRouter() // a module without workloads
	req := &request{id: "x", invariants: newInvariants("x"), client: &fakeClient{}, receivedAt: time.Now(), deadline: time.Now()}
	g.metrics.open.Add(1)
	arrived := decision.StatementArrived{Statement: "x", Workload: 7}
	g.loop.handle([]input{{message: &requestArrived{event: arrived, request: req}}})
	require.Contains(t, g.loop.requests.byID, req.id)
	g.loop.runWatchdog()
	require.True(t, req.finished)
	require.Empty(t, g.loop.requests.byID)
	require.Equal(t, int64(1), g.metrics.aborted.Load())
}

// The ids of answered requests that are remembered are bounded, and the latest are among them.
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

// All engines of the configuration were removed: those that the control feed lists instead make the router ready.
func TestReadyByEnginesThatCameLater(t *testing.T) {
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
