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

// checkedRequest is a request with one attempt in flight.
type checkedRequest struct {
	router  *Router
	request *request
	client  *fakeClient
}

func newCheckedRequest(t *testing.T, workload decision.Workload) checkedRequest {
	t.Helper()
	router := newIdleRouter()
	router.upstream = upstream.New(t.Context(), router, 0, time.Minute, time.Minute, router.log) // without descriptors nothing is sent
	client := &fakeClient{}
	req := &request{id: "x", client: client, invariants: invariant.NewRequest("x", &workload, decision.Limits{}), deadline: time.Now().Add(time.Minute)}
	router.loop.requests.byID[req.id] = req
	router.loop.perform(decision.StartAttempt{Statement: "x", Engine: "a"})
	require.Len(t, req.attempts, 1)
	require.Zero(t, router.violations.Total())
	return checkedRequest{router: router, request: req, client: client}
}

func (r checkedRequest) endAttempt(attempt decision.AttemptID, outcome decision.Outcome) {
	r.router.loop.recordAttemptEnd(r.request, decision.AttemptEnded{Statement: "x", Attempt: attempt, Outcome: outcome})
}

// An action of the module that would violate a rule is not executed. The violation is counted and the request is aborted: an abort does not
// state whether the request ran, so it is always correct.
func TestViolatingActionIsNotExecuted(t *testing.T) {
	nonIdempotent := decision.Workload{Idempotency: decision.NonIdempotent}
	for name, c := range map[string]struct {
		workload    decision.Workload
		firstFailed bool // the first attempt has ended with an error
		action      decision.Action
		rule        invariant.Rule
	}{
		"a second attempt while one is in flight":    {decision.Workload{}, false, decision.StartAttempt{Statement: "x", Engine: "b"}, invariant.OneAttemptAtATime},
		"a retry of a request that may have run":     {nonIdempotent, true, decision.StartAttempt{Statement: "x", Engine: "b"}, invariant.NoDuplicateEffect},
		"a rejection of a request that may have run": {nonIdempotent, true, decision.Reject{Statement: "x"}, invariant.SafeRejection},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCheckedRequest(t, c.workload)
			if c.firstFailed {
				r.endAttempt(0, decision.Errored)
			}
			r.router.loop.perform(c.action)
			assert.Equal(t, int64(1), r.router.violations.Count(c.rule))
			assert.Equal(t, []downstream.Code{downstream.CodeAborted}, r.client.codes)
			assert.True(t, r.request.finished)
			r.router.loop.perform(decision.Abort{Statement: "x"})
			assert.Len(t, r.client.codes, 1, "only one answer is sent")
		})
	}
}

// Actions that follow the rules are executed, and no violation is counted.
func TestAllowedActionsAreExecuted(t *testing.T) {
	r := newCheckedRequest(t, decision.Workload{Idempotency: decision.NonIdempotent})
	r.endAttempt(0, decision.Overloaded)
	r.router.loop.perform(decision.StartAttempt{Statement: "x", Engine: "b"})
	assert.Len(t, r.request.attempts, 2)
	r.endAttempt(1, decision.ConnectFailed)
	r.router.loop.perform(decision.Reject{Statement: "x"})
	assert.Equal(t, []downstream.Code{downstream.CodeRejected}, r.client.codes)
	assert.Zero(t, r.router.violations.Total())
}

// The invariant checks use the machine types of the rules in effect and the locations of the listed engines.
func TestInvariantsFollowTheRules(t *testing.T) {
	router := newIdleRouter(decision.Workload{Name: "w", AllowedMachineTypes: []decision.MachineType{"std"}})
	locations := router.loop.locations
	locations.update(decision.EndpointList{Kind: decision.ListComplete, Endpoints: []decision.Endpoint{{Engine: "a", MachineType: "std"}, {Engine: "b", MachineType: "big"}}})
	invariants := invariant.NewRequest("x", &router.enforcedWorkloads[0], decision.Limits{Hedging: true})
	assert.Nil(t, invariants.BeginAttempt(locations.lookUp("a"), 0))
	assert.Equal(t, invariant.Placement, invariants.BeginAttempt(locations.lookUp("b"), 0).Rule)
	router.loop.enforceMachineTypes(decision.RulesChanged{Workloads: []decision.WorkloadRules{{AllowedMachineTypes: []decision.MachineType{"big"}}}})
	assert.Nil(t, invariants.BeginAttempt(locations.lookUp("b"), 0))
	assert.Equal(t, []decision.MachineType{"std"}, router.config.Module.Workloads[0].AllowedMachineTypes, "the configuration is unchanged")
	locations.update(decision.EndpointList{Endpoints: []decision.Endpoint{{Engine: "b", State: decision.Removed}}})
	assert.Len(t, locations, 1)
	locations.update(decision.EndpointList{Kind: decision.ListComplete})
	assert.Empty(t, locations)
}
