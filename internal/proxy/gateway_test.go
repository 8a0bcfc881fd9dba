package proxy

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/downstream"
	"bankledge/internal/invariant"
	"bankledge/internal/settings"
	"bankledge/internal/upstream"
)

// Every goroutine ends with the router, also with a client connected and a statement open.
func TestNothingIsLeft(t *testing.T) {
	defer goleak.VerifyNone(t)
	cfg := &settings.Config{ListenAddress: "127.0.0.1:0", DiscoveryAddress: "127.0.0.1:9", Limits: settings.ResourceLimits{Cores: 1, MemoryMB: 64, Sockets: 128},
		Module: &settings.ModuleSettings{Workloads: []decision.Workload{{Name: "w", LatencyObjective: time.Second, StatementTimeout: 100 * time.Millisecond}}}}
	g := New(cfg, zap.NewNop())
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

type nobody struct{ heard func() }

func (n *nobody) Answer(uint32, downstream.Code, []byte) bool {
	if n.heard != nil {
		n.heard()
	}
	return false
}
func (*nobody) CloseStream(uint32)   {}
func (*nobody) ReserveText(int) bool { return true }
func (*nobody) ReleaseText(int)      {}

func newRules(id decision.StatementID) *invariant.Request {
	return invariant.NewRequest(id, &decision.Workload{}, decision.Limits{})
}

// An execution that still waits for a connection is revoked before the client can know of the answer.
func TestNothingIsSentAfterTheAnswer(t *testing.T) {
	cfg := &settings.Config{Limits: settings.ResourceLimits{Cores: 1, MemoryMB: 64, Sockets: 128}, Module: &settings.ModuleSettings{}}
	g := New(cfg, zap.NewNop())
	g.back = upstream.New(t.Context(), g, 0, time.Minute, time.Minute, g.log) // with no descriptor to be had
	s := &statement{id: "x", rules: newRules("x"), ends: time.Now().Add(time.Minute)}
	heard := false
	s.client = &nobody{func() {
		heard = true
		require.False(t, s.execs[0].CancelUnsent(), "it was revoked before")
	}}
	g.route.open[s.id] = s
	g.route.execute(decision.StartAttempt{Statement: "x", Engine: "e"})
	g.route.answer(s, rejected, nil, decision.ReasonFinished)
	require.True(t, heard)
	ended := (<-g.route.inbox).event.(decision.AttemptEnded)
	require.Equal(t, decision.NotSent, ended.Outcome)
}

// A panic in the module loses a batch; whoever it has forgotten is answered when its time is up.
func TestModuleFails(t *testing.T) {
	cfg := &settings.Config{Limits: settings.ResourceLimits{Cores: 1, MemoryMB: 64, Sockets: 128}, Module: &settings.ModuleSettings{}}
	g := New(cfg, zap.NewNop()) // a module without workloads
	s := &statement{id: "x", rules: newRules("x"), client: &nobody{}, taken: time.Now(), ends: time.Now()}
	g.figures.open.Add(1)
	g.route.handle([]input{{event: decision.StatementArrived{Statement: "x", Workload: 7}, stmt: s}})
	require.Contains(t, g.route.open, s.id)
	g.route.backstop()
	require.True(t, s.over)
	require.Empty(t, g.route.open)
	require.Equal(t, int64(1), g.figures.aborted.Load())
}

// The ids of answered statements that are remembered are bounded, and the latest are among them.
func TestUsedIDs(t *testing.T) {
	u := usedIDs{half: 10}
	for i := range 1000 {
		u.add(decision.StatementID(strconv.Itoa(i)))
		require.LessOrEqual(t, len(u.now)+len(u.older), 20)
	}
	require.True(t, u.has("999") && u.has("990"))
	require.False(t, u.has("900"))
}
