package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
	"bankledge/internal/downstream"
	"bankledge/internal/invariant"
	"bankledge/internal/upstream"
)

// guardedRequest is a request of which an attempt is in flight at an engine.
type guardedRequest struct {
	router  *Router
	request *request
	client  *fakeClient
}

func newGuardedRequest(t *testing.T, workload decision.Workload) guardedRequest {
	t.Helper()
	g := newIdleRouter()
	g.upstream = upstream.New(t.Context(), g, 0, time.Minute, time.Minute, g.log) // with no descriptor to be had: nothing is sent
	client := &fakeClient{}
	req := &request{id: "x", client: client, invariants: invariant.NewRequest("x", &workload, decision.Limits{}), deadline: time.Now().Add(time.Minute)}
	g.loop.requests.byID[req.id] = req
	g.loop.perform(decision.StartAttempt{Statement: "x", Engine: "a"})
	require.Len(t, req.attempts, 1)
	require.Zero(t, g.violations.Total())
	return guardedRequest{router: g, request: req, client: client}
}

func (r guardedRequest) endAttempt(attempt decision.AttemptID, outcome decision.Outcome) {
	r.router.loop.recordAttemptEnd(r.request, decision.AttemptEnded{Statement: "x", Attempt: attempt, Outcome: outcome})
}

// An action of the module that would break a rule is not carried out: it is counted, and the request is aborted, which is
// always truthful.
func TestViolationIsNotDone(t *testing.T) {
	nonIdempotent := decision.Workload{Idempotency: decision.NonIdempotent}
	for name, c := range map[string]struct {
		workload   decision.Workload
		endsBefore bool // the first attempt, with an error
		action     decision.Action
		rule       invariant.Rule
	}{
		"a second attempt while one is in flight": {decision.Workload{}, false, decision.StartAttempt{Statement: "x", Engine: "b"}, invariant.OneAttemptAtATime},
		"a retry of what may have run":            {nonIdempotent, true, decision.StartAttempt{Statement: "x", Engine: "b"}, invariant.NoDuplicateEffect},
		"a rejection of what may have run":        {nonIdempotent, true, decision.Reject{Statement: "x"}, invariant.SafeRejection},
	} {
		t.Run(name, func(t *testing.T) {
			r := newGuardedRequest(t, c.workload)
			if c.endsBefore {
				r.endAttempt(0, decision.Errored)
			}
			r.router.loop.perform(c.action)
			assert.Equal(t, int64(1), r.router.violations.Recorded(c.rule))
			assert.Equal(t, []downstream.Code{downstream.CodeAborted}, r.client.codes)
			assert.True(t, r.request.finished)
			r.router.loop.perform(decision.Abort{Statement: "x"})
			assert.Len(t, r.client.codes, 1, "one answer")
		})
	}
}

// Actions that keep the rules are carried out and not counted.
func TestWhatKeepsTheRulesIsDone(t *testing.T) {
	r := newGuardedRequest(t, decision.Workload{Idempotency: decision.NonIdempotent})
	r.endAttempt(0, decision.Overloaded)
	r.router.loop.perform(decision.StartAttempt{Statement: "x", Engine: "b"})
	assert.Len(t, r.request.attempts, 2)
	r.endAttempt(1, decision.ConnectFailed)
	r.router.loop.perform(decision.Reject{Statement: "x"})
	assert.Equal(t, []downstream.Code{downstream.CodeRejected}, r.client.codes)
	assert.Zero(t, r.router.violations.Total())
}

// The invariants hold to the kinds of machine that are in force, and to the locations of the engines that are listed.
func TestInvariantsFollowTheRules(t *testing.T) {
	g := newIdleRouter(decision.Workload{Name: "w", AllowedMachineTypes: []decision.MachineType{"std"}})
	locations := g.loop.locations
	locations.update(decision.EndpointList{Kind: decision.ListComplete, Endpoints: []decision.Endpoint{{Engine: "a", MachineType: "std"}, {Engine: "b", MachineType: "big"}}})
	invariants := invariant.NewRequest("x", &g.enforcedWorkloads[0], decision.Limits{Hedging: true})
	assert.Nil(t, invariants.BeginAttempt(locations.of("a"), 0))
	assert.Equal(t, invariant.Placement, invariants.BeginAttempt(locations.of("b"), 0).Rule)
	g.loop.enforceMachineTypes(decision.RulesChanged{Workloads: []decision.WorkloadRules{{AllowedMachineTypes: []decision.MachineType{"big"}}}})
	assert.Nil(t, invariants.BeginAttempt(locations.of("b"), 0))
	assert.Equal(t, []decision.MachineType{"std"}, g.config.Module.Workloads[0].AllowedMachineTypes, "the configuration stays")
	locations.update(decision.EndpointList{Endpoints: []decision.Endpoint{{Engine: "b", State: decision.Removed}}})
	assert.Len(t, locations, 1)
	locations.update(decision.EndpointList{Kind: decision.ListComplete})
	assert.Empty(t, locations)
}
