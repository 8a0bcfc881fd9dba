package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/back"
	"bankledge/internal/front"
	"bankledge/internal/guard"
	"bankledge/internal/settings"
)

// answers is a client that keeps the codes of its answers.
type answers struct {
	nobody
	codes []front.Code
}

func (a *answers) Answer(_ uint32, code front.Code, _ []byte) bool {
	a.codes = append(a.codes, code)
	return false
}

// newGuarded is a gateway with one statement, of which an execution is out on an engine, and its client.
func newGuarded(t *testing.T, workload decision.Workload) (*Gateway, *statement, *answers) {
	g := New(&settings.Config{Limits: settings.Machine{Cores: 1, MemoryMB: 64, Sockets: 128}, Opening: &settings.Opening{}}, zap.NewNop())
	g.back = back.New(t.Context(), g, 0, time.Minute, time.Minute, g.log) // with no descriptor to be had: nothing is sent
	client := &answers{}
	s := &statement{id: "x", client: client, rules: guard.NewRequest("x", &workload, decision.Limits{}), ends: time.Now().Add(time.Minute)}
	g.route.open[s.id] = s
	g.route.carryOut(decision.Execute{Statement: "x", Engine: "a"})
	require.Len(t, s.execs, 1)
	require.Zero(t, g.violations.Total())
	return g, s, client
}

// An action that would break a rule is not done, whatever the module decided: it is counted, and the statement is aborted, which is always true.
func TestWhatBreaksARuleIsNotDone(t *testing.T) {
	once := decision.Workload{Effect: decision.NonIdempotent}
	errored := decision.ExecutionEnded{Statement: "x", Outcome: decision.Errored}
	for name, c := range map[string]struct {
		workload decision.Workload
		before   func(g *Gateway, s *statement)
		action   decision.Action
		rule     guard.Rule
	}{
		"a second execution while one is out": {decision.Workload{}, nil, decision.Execute{Statement: "x", Engine: "b"}, guard.OneExecutionAtOnce},
		"a repeat of what may have run": {once, func(g *Gateway, s *statement) { g.route.executionEnded(s, errored) },
			decision.Execute{Statement: "x", Engine: "b"}, guard.NoEffectTwice},
		"a rejection of what may have run": {once, func(g *Gateway, s *statement) { g.route.executionEnded(s, errored) },
			decision.Reject{Statement: "x"}, guard.TrueRejection},
	} {
		t.Run(name, func(t *testing.T) {
			g, s, client := newGuarded(t, c.workload)
			if c.before != nil {
				c.before(g, s)
			}
			g.route.carryOut(c.action)
			assert.Equal(t, int64(1), g.violations.Of(c.rule))
			assert.Equal(t, []front.Code{aborted}, client.codes)
			assert.True(t, s.over)
			g.route.carryOut(decision.Abort{Statement: "x"})
			assert.Len(t, client.codes, 1, "one answer")
		})
	}
}

// What keeps the rules is done, and counts nothing.
func TestWhatKeepsTheRulesIsDone(t *testing.T) {
	g, s, client := newGuarded(t, decision.Workload{Effect: decision.NonIdempotent})
	g.route.executionEnded(s, decision.ExecutionEnded{Statement: "x", Outcome: decision.Full})
	g.route.carryOut(decision.Execute{Statement: "x", Engine: "b"})
	assert.Len(t, s.execs, 2)
	g.route.executionEnded(s, decision.ExecutionEnded{Statement: "x", Execution: 1, Outcome: decision.NotConnected})
	g.route.carryOut(decision.Reject{Statement: "x"})
	assert.Equal(t, []front.Code{rejected}, client.codes)
	assert.Zero(t, g.violations.Total())
}

// The guard holds to the kinds of machine that are in force, and to the places of the engines that are listed.
func TestTheGuardFollowsTheRules(t *testing.T) {
	g := New(&settings.Config{Limits: settings.Machine{Cores: 1, MemoryMB: 64, Sockets: 128},
		Opening: &settings.Opening{Workloads: []decision.Workload{{Name: "w", Kinds: []decision.Kind{"std"}}}}}, zap.NewNop())
	g.route.listPlaces(decision.EngineList{Kind: decision.ListComplete, Entries: []decision.Entry{{Engine: "a", Kind: "std"}, {Engine: "b", Kind: "big"}}})
	rules := guard.NewRequest("x", &g.enforced[0], decision.Limits{SecondCopies: true})
	assert.Nil(t, rules.Execute(g.route.place("a"), 0))
	assert.Equal(t, guard.Placement, rules.Execute(g.route.place("b"), 0).Rule)
	g.route.enforce(decision.RulesChanged{Kinds: [][]decision.Kind{{"big"}}})
	assert.Nil(t, rules.Execute(g.route.place("b"), 0))
	assert.Equal(t, []decision.Kind{"std"}, g.cfg.Opening.Workloads[0].Kinds, "the configuration stays")
	g.route.listPlaces(decision.EngineList{Entries: []decision.Entry{{Engine: "b", State: decision.Gone}}})
	assert.Len(t, g.route.places, 1)
	g.route.listPlaces(decision.EngineList{Kind: decision.ListComplete})
	assert.Empty(t, g.route.places)
}
