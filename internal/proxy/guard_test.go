package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/downstream"
	"bankledge/internal/invariant"
	"bankledge/internal/settings"
	"bankledge/internal/upstream"
)

// answers is a client that keeps the codes of its answers.
type answers struct {
	nobody
	codes []downstream.Code
}

func (a *answers) Answer(_ uint32, code downstream.Code, _ []byte) bool {
	a.codes = append(a.codes, code)
	return false
}

// newGuarded is a gateway with one statement, of which an execution is out on an engine, and its client.
func newGuarded(t *testing.T, workload decision.Workload) (*Router, *statement, *answers) {
	g := New(&settings.Config{Limits: settings.ResourceLimits{Cores: 1, MemoryMB: 64, Sockets: 128}, Module: &settings.ModuleSettings{}}, zap.NewNop())
	g.back = upstream.New(t.Context(), g, 0, time.Minute, time.Minute, g.log) // with no descriptor to be had: nothing is sent
	client := &answers{}
	s := &statement{id: "x", client: client, rules: invariant.NewRequest("x", &workload, decision.Limits{}), ends: time.Now().Add(time.Minute)}
	g.route.open[s.id] = s
	g.route.carryOut(decision.StartAttempt{Statement: "x", Engine: "a"})
	require.Len(t, s.execs, 1)
	require.Zero(t, g.violations.Total())
	return g, s, client
}

// An action that would break a rule is not done, whatever the module decided: it is counted, and the statement is aborted, which is always true.
func TestWhatBreaksARuleIsNotDone(t *testing.T) {
	once := decision.Workload{Idempotency: decision.NonIdempotent}
	errored := decision.AttemptEnded{Statement: "x", Outcome: decision.Errored}
	for name, c := range map[string]struct {
		workload decision.Workload
		before   func(g *Router, s *statement)
		action   decision.Action
		rule     invariant.Rule
	}{
		"a second execution while one is out": {decision.Workload{}, nil, decision.StartAttempt{Statement: "x", Engine: "b"}, invariant.OneAttemptAtATime},
		"a repeat of what may have run": {once, func(g *Router, s *statement) { g.route.executionEnded(s, errored) },
			decision.StartAttempt{Statement: "x", Engine: "b"}, invariant.NoDuplicateEffect},
		"a rejection of what may have run": {once, func(g *Router, s *statement) { g.route.executionEnded(s, errored) },
			decision.Reject{Statement: "x"}, invariant.SafeRejection},
	} {
		t.Run(name, func(t *testing.T) {
			g, s, client := newGuarded(t, c.workload)
			if c.before != nil {
				c.before(g, s)
			}
			g.route.carryOut(c.action)
			assert.Equal(t, int64(1), g.violations.Recorded(c.rule))
			assert.Equal(t, []downstream.Code{aborted}, client.codes)
			assert.True(t, s.over)
			g.route.carryOut(decision.Abort{Statement: "x"})
			assert.Len(t, client.codes, 1, "one answer")
		})
	}
}

// What keeps the rules is done, and counts nothing.
func TestWhatKeepsTheRulesIsDone(t *testing.T) {
	g, s, client := newGuarded(t, decision.Workload{Idempotency: decision.NonIdempotent})
	g.route.executionEnded(s, decision.AttemptEnded{Statement: "x", Outcome: decision.Overloaded})
	g.route.carryOut(decision.StartAttempt{Statement: "x", Engine: "b"})
	assert.Len(t, s.execs, 2)
	g.route.executionEnded(s, decision.AttemptEnded{Statement: "x", Attempt: 1, Outcome: decision.ConnectFailed})
	g.route.carryOut(decision.Reject{Statement: "x"})
	assert.Equal(t, []downstream.Code{rejected}, client.codes)
	assert.Zero(t, g.violations.Total())
}

// The guard holds to the kinds of machine that are in force, and to the places of the engines that are listed.
func TestTheGuardFollowsTheRules(t *testing.T) {
	g := New(&settings.Config{Limits: settings.ResourceLimits{Cores: 1, MemoryMB: 64, Sockets: 128},
		Module: &settings.ModuleSettings{Workloads: []decision.Workload{{Name: "w", AllowedMachineTypes: []decision.MachineType{"std"}}}}}, zap.NewNop())
	g.route.listPlaces(decision.EndpointList{Kind: decision.ListComplete, Endpoints: []decision.Endpoint{{Engine: "a", MachineType: "std"}, {Engine: "b", MachineType: "big"}}})
	rules := invariant.NewRequest("x", &g.enforced[0], decision.Limits{Hedging: true})
	assert.Nil(t, rules.BeginAttempt(g.route.place("a"), 0))
	assert.Equal(t, invariant.Placement, rules.BeginAttempt(g.route.place("b"), 0).Rule)
	g.route.enforce(decision.RulesChanged{AllowedMachineTypes: [][]decision.MachineType{{"big"}}})
	assert.Nil(t, rules.BeginAttempt(g.route.place("b"), 0))
	assert.Equal(t, []decision.MachineType{"std"}, g.cfg.Module.Workloads[0].AllowedMachineTypes, "the configuration stays")
	g.route.listPlaces(decision.EndpointList{Endpoints: []decision.Endpoint{{Engine: "b", State: decision.Removed}}})
	assert.Len(t, g.route.places, 1)
	g.route.listPlaces(decision.EndpointList{Kind: decision.ListComplete})
	assert.Empty(t, g.route.places)
}
