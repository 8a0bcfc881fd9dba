package invariant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

var (
	base     = Location{Engine: "a", Zone: "east", MachineType: "std", Cell: 1}
	sameZone = Location{Engine: "b", Zone: "east", MachineType: "big", Cell: 2}
	sameCell = Location{Engine: "c", Zone: "west", MachineType: "std", Cell: 1}
)

const (
	window     = time.Second
	mayHaveRun = false
	notRun     = true
)

// Each case is the history of a request and a next attempt that violates one rule, or none.
func TestRules(t *testing.T) {
	nonIdempotent := decision.Workload{Idempotency: decision.NonIdempotent}
	dedup := func(scope decision.DedupScope) decision.Workload {
		return decision.Workload{Idempotency: decision.Deduplicated, DedupWindow: window, DedupScope: scope}
	}
	for name, c := range map[string]struct {
		workload  decision.Workload
		limits    decision.Limits
		earlier   []Location // earlier attempts, which have ended
		notRun    bool       // all earlier attempts are known not to have run
		inFlight  bool       // the last earlier attempt has not ended
		answered  bool
		cancelled bool // the client cancelled the request
		next      Location
		at        time.Duration
		violated  Rule // numRules: none
	}{
		"the first attempt":                            {next: base, violated: numRules},
		"another attempt while one is in flight":       {earlier: []Location{base}, inFlight: true, next: sameZone, violated: OneAttemptAtATime},
		"a hedged request":                             {limits: decision.Limits{Hedging: true}, earlier: []Location{base}, inFlight: true, next: sameZone, violated: numRules},
		"an idempotent retry":                          {earlier: []Location{base}, next: sameZone, violated: numRules},
		"a retry of a non-idempotent request":          {workload: nonIdempotent, earlier: []Location{base}, next: sameZone, violated: NoDuplicateEffect},
		"a non-idempotent retry on the same engine":    {workload: nonIdempotent, earlier: []Location{base}, next: base, violated: NoDuplicateEffect},
		"a non-idempotent retry of attempts not run":   {workload: nonIdempotent, earlier: []Location{base, sameZone}, notRun: true, next: sameCell, violated: numRules},
		"repeats are dropped on all engines":           {workload: dedup(decision.ScopeAll), earlier: []Location{base}, next: sameCell, at: window - 1, violated: numRules},
		"after the deduplication window":               {workload: dedup(decision.ScopeAll), earlier: []Location{base}, next: sameCell, at: window, violated: NoDuplicateEffect},
		"repeats are dropped in the same zone":         {workload: dedup(decision.ScopeZone), earlier: []Location{base}, next: sameZone, violated: numRules},
		"repeats are not dropped in another zone":      {workload: dedup(decision.ScopeZone), earlier: []Location{base}, next: sameCell, violated: NoDuplicateEffect},
		"repeats are dropped in the same cell":         {workload: dedup(decision.ScopeCell), earlier: []Location{base}, next: sameCell, violated: numRules},
		"repeats are not dropped in another cell":      {workload: dedup(decision.ScopeCell), earlier: []Location{base}, next: sameZone, violated: NoDuplicateEffect},
		"as many attempts as allowed":                  {limits: decision.Limits{MaxAttempts: 2}, earlier: []Location{base}, next: sameZone, violated: numRules},
		"one attempt more than allowed":                {limits: decision.Limits{MaxAttempts: 2}, earlier: []Location{base, sameZone}, next: sameCell, violated: WithinAttemptLimit},
		"the zone is allowed":                          {workload: decision.Workload{AllowedZones: []decision.Zone{"east"}}, next: sameZone, violated: numRules},
		"the zone is not allowed":                      {workload: decision.Workload{AllowedZones: []decision.Zone{"east"}}, next: sameCell, violated: Placement},
		"the machine type is not allowed":              {workload: decision.Workload{AllowedMachineTypes: []decision.MachineType{"std"}}, next: sameZone, violated: Placement},
		"after the answer":                             {answered: true, next: base, violated: NoAttemptAfterFinish},
		"after the client cancelled":                   {cancelled: true, next: base, violated: NoAttemptAfterFinish},
		"a hedged attempt after the answer":            {limits: decision.Limits{Hedging: true}, earlier: []Location{base}, inFlight: true, answered: true, next: sameZone, violated: NoAttemptAfterFinish},
		"a hedged attempt of a non-idempotent request": {workload: nonIdempotent, limits: decision.Limits{Hedging: true}, earlier: []Location{base}, inFlight: true, next: sameZone, violated: NoDuplicateEffect},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRequest("s", &c.workload, c.limits)
			for i, location := range c.earlier {
				require.Nil(t, r.BeginAttempt(location, 0))
				if !c.inFlight || i < len(c.earlier)-1 {
					r.EndAttempt(decision.AttemptID(i), c.notRun)
				}
			}
			if c.answered {
				require.Nil(t, r.RecordAnswer())
			}
			if c.cancelled {
				r.RecordCancellation()
			}
			v := r.BeginAttempt(c.next, c.at)
			last := r.attempts[len(c.earlier)]
			if c.violated == numRules {
				require.Nil(t, v)
				assert.False(t, last.ended || last.knownNotRun)
				return
			}
			require.NotNil(t, v)
			assert.Equal(t, c.violated, v.Rule, v.Error())
			assert.True(t, last.ended && last.knownNotRun, "the attempt counts as not run")
		})
	}
}

// A request may be rejected if no attempt may have run, or if a retry is safe.
func TestRejections(t *testing.T) {
	for _, c := range []struct {
		name     string
		workload decision.Workload
		notRun   bool
		allowed  bool
	}{
		{"idempotent", decision.Workload{}, mayHaveRun, true},
		{"not idempotent, may have run", decision.Workload{Idempotency: decision.NonIdempotent}, mayHaveRun, false},
		{"not idempotent, not run", decision.Workload{Idempotency: decision.NonIdempotent}, notRun, true},
		{"repeats are dropped on all engines", decision.Workload{Idempotency: decision.Deduplicated}, mayHaveRun, true},
		{"repeats are dropped in one zone", decision.Workload{Idempotency: decision.Deduplicated, DedupScope: decision.ScopeZone}, mayHaveRun, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewRequest("s", &c.workload, decision.Limits{})
			assert.Nil(t, r.CheckRejection(), "no attempt has begun")
			require.Nil(t, r.BeginAttempt(base, 0))
			assert.Equal(t, c.workload.Idempotency == decision.Idempotent || c.workload.Idempotency == decision.Deduplicated && c.allowed, r.CheckRejection() == nil, "the attempt is in flight")
			r.EndAttempt(0, c.notRun)
			assert.Equal(t, c.allowed, r.CheckRejection() == nil)
		})
	}
	r := NewRequest("s", &decision.Workload{}, decision.Limits{})
	r.EndAttempt(5, mayHaveRun) // never recorded
	require.Nil(t, r.RecordAnswer())
	assert.Equal(t, OneAnswer, r.RecordAnswer().Rule)
}
