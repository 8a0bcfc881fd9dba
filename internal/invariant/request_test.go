package invariant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"bankledge/decision"
)

var (
	east  = Location{Engine: "a", Zone: "east", Kind: "std", Cell: 1}
	near  = Location{Engine: "b", Zone: "east", Kind: "big", Cell: 2}
	apart = Location{Engine: "c", Zone: "west", Kind: "std", Cell: 1}
)

const (
	window = time.Second
	ran    = false
	never  = true
)

// Each case is the life of a statement up to an act that breaks a rule, or keeps all of them.
func TestRules(t *testing.T) {
	once := decision.Workload{Idempotency: decision.NonIdempotent}
	dedup := func(scope decision.DedupScope) decision.Workload {
		return decision.Workload{Idempotency: decision.Deduplicated, DedupWindow: window, DedupScope: scope}
	}
	for name, c := range map[string]struct {
		workload decision.Workload
		limits   decision.Limits
		earlier  []Location // executions that have ended, a tenth of a second apart
		neverRan bool       // all of these
		out      bool       // the last of these has not ended
		over     bool       // answered
		left     bool       // nobody waits
		next     Location
		at       time.Duration
		breaks   Rule // numRules: none
	}{
		"the first":                        {next: east, breaks: numRules},
		"another while one is out":         {earlier: []Location{east}, out: true, next: near, breaks: OneAttemptAtATime},
		"a second copy":                    {limits: decision.Limits{Hedging: true}, earlier: []Location{east}, out: true, next: near, breaks: numRules},
		"an idempotent repeat":             {earlier: []Location{east}, next: near, breaks: numRules},
		"what must not run twice":          {workload: once, earlier: []Location{east}, next: near, breaks: NoDuplicateEffect},
		"the same, on the same engine":     {workload: once, earlier: []Location{east}, next: east, breaks: NoDuplicateEffect},
		"it never ran":                     {workload: once, earlier: []Location{east, near}, neverRan: true, next: apart, breaks: numRules},
		"repeats are dropped everywhere":   {workload: dedup(decision.ScopeAll), earlier: []Location{east}, next: apart, at: window - 1, breaks: numRules},
		"after the window":                 {workload: dedup(decision.ScopeAll), earlier: []Location{east}, next: apart, at: window, breaks: NoDuplicateEffect},
		"repeats are dropped in the zone":  {workload: dedup(decision.ScopeZone), earlier: []Location{east}, next: near, breaks: numRules},
		"and not in another":               {workload: dedup(decision.ScopeZone), earlier: []Location{east}, next: apart, breaks: NoDuplicateEffect},
		"repeats are dropped in the cell":  {workload: dedup(decision.ScopeCell), earlier: []Location{east}, next: apart, breaks: numRules},
		"and not in another cell":          {workload: dedup(decision.ScopeCell), earlier: []Location{east}, next: near, breaks: NoDuplicateEffect},
		"as many executions as allowed":    {limits: decision.Limits{MaxAttempts: 2}, earlier: []Location{east}, next: near, breaks: numRules},
		"one more":                         {limits: decision.Limits{MaxAttempts: 2}, earlier: []Location{east, near}, next: apart, breaks: WithinAttemptLimit},
		"the zone is allowed":              {workload: decision.Workload{AllowedZones: []decision.Zone{"east"}}, next: near, breaks: numRules},
		"the zone is not":                  {workload: decision.Workload{AllowedZones: []decision.Zone{"east"}}, next: apart, breaks: Placement},
		"the kind is not":                  {workload: decision.Workload{AllowedMachineTypes: []decision.MachineType{"std"}}, next: near, breaks: Placement},
		"after the answer":                 {over: true, next: east, breaks: NoAttemptAfterFinish},
		"after the client left":            {left: true, next: east, breaks: NoAttemptAfterFinish},
		"after the answer, a second copy":  {limits: decision.Limits{Hedging: true}, earlier: []Location{east}, out: true, over: true, next: near, breaks: NoAttemptAfterFinish},
		"beside one that is out, not once": {workload: once, limits: decision.Limits{Hedging: true}, earlier: []Location{east}, out: true, next: near, breaks: NoDuplicateEffect},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRequest("s", &c.workload, c.limits)
			for i, place := range c.earlier {
				require.Nil(t, r.BeginAttempt(place, 0))
				if !c.out || i < len(c.earlier)-1 {
					r.EndAttempt(decision.AttemptID(i), c.neverRan)
				}
			}
			if c.over {
				require.Nil(t, r.RecordAnswer())
			}
			if c.left {
				r.RecordCancellation()
			}
			v := r.BeginAttempt(c.next, c.at)
			last := r.executions[len(c.earlier)]
			if c.breaks == numRules {
				require.Nil(t, v)
				assert.False(t, last.ended || last.neverRan)
				return
			}
			require.NotNil(t, v)
			assert.Equal(t, c.breaks, v.Rule, v.Error())
			assert.True(t, last.ended && last.neverRan, "it did not happen")
		})
	}
}

// A rejection is true as long as nothing may have run, or a repeat is harmless.
func TestRejections(t *testing.T) {
	for _, c := range []struct {
		name     string
		workload decision.Workload
		neverRan bool
		may      bool
	}{
		{"idempotent", decision.Workload{}, ran, true},
		{"must not run twice", decision.Workload{Idempotency: decision.NonIdempotent}, ran, false},
		{"it never ran", decision.Workload{Idempotency: decision.NonIdempotent}, never, true},
		{"repeats are dropped everywhere", decision.Workload{Idempotency: decision.Deduplicated}, ran, true},
		{"repeats are dropped in a zone", decision.Workload{Idempotency: decision.Deduplicated, DedupScope: decision.ScopeZone}, ran, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewRequest("s", &c.workload, decision.Limits{})
			assert.Nil(t, r.CheckRejection(), "nothing was sent")
			require.Nil(t, r.BeginAttempt(east, 0))
			assert.Equal(t, c.workload.Idempotency == decision.Idempotent || c.workload.Idempotency == decision.Deduplicated && c.may, r.CheckRejection() == nil, "it is out")
			r.EndAttempt(0, c.neverRan)
			assert.Equal(t, c.may, r.CheckRejection() == nil)
		})
	}
	r := NewRequest("s", &decision.Workload{}, decision.Limits{})
	r.EndAttempt(5, ran) // nobody knows of it
	require.Nil(t, r.RecordAnswer())
	assert.Equal(t, OneAnswer, r.RecordAnswer().Rule)
}

// Each violation is counted under its rule, and leaves a line that names it.
func TestViolations(t *testing.T) {
	core, lines := observer.New(zap.ErrorLevel)
	v := NewRecorder(zap.New(core))
	assert.Zero(t, v.Total())
	for r := range numRules {
		v.Record(&Violation{Rule: r, Statement: "s", Detail: "d"})
		assert.Equal(t, int64(1), v.Recorded(r))
	}
	assert.Equal(t, int64(numRules), v.Total())
	require.Equal(t, int(numRules), lines.FilterMessage(ViolationMessage).Len())
	assert.Equal(t, "one execution at once", lines.All()[0].ContextMap()["rule"])
}
