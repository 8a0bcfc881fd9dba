package invariant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

var (
	east  = Location{Engine: "a", Zone: "east", Kind: "std", Cell: 1}
	near  = Location{Engine: "b", Zone: "east", Kind: "big", Cell: 2}
	apart = Location{Engine: "c", Zone: "west", Kind: "std", Cell: 1}
)

const (
	window     = time.Second
	mayHaveRun = false
	notRun     = true
)

// Each case is the history of a request up to a step that breaks one rule, or none.
func TestRules(t *testing.T) {
	once := decision.Workload{Idempotency: decision.NonIdempotent}
	dedup := func(scope decision.DedupScope) decision.Workload {
		return decision.Workload{Idempotency: decision.Deduplicated, DedupWindow: window, DedupScope: scope}
	}
	for name, c := range map[string]struct {
		workload  decision.Workload
		limits    decision.Limits
		earlier   []Location // attempts that have ended, a tenth of a second apart
		notRun    bool       // all of these
		inFlight  bool       // the last of these has not ended
		answered  bool
		cancelled bool // the client cancelled the request
		next      Location
		at        time.Duration
		breaks    Rule // numRules: none
	}{
		"the first":                            {next: east, breaks: numRules},
		"another while one is in flight":       {earlier: []Location{east}, inFlight: true, next: near, breaks: OneAttemptAtATime},
		"a hedged request":                     {limits: decision.Limits{Hedging: true}, earlier: []Location{east}, inFlight: true, next: near, breaks: numRules},
		"an idempotent retry":                  {earlier: []Location{east}, next: near, breaks: numRules},
		"what must not run twice":              {workload: once, earlier: []Location{east}, next: near, breaks: NoDuplicateEffect},
		"the same, on the same engine":         {workload: once, earlier: []Location{east}, next: east, breaks: NoDuplicateEffect},
		"it never ran":                         {workload: once, earlier: []Location{east, near}, notRun: true, next: apart, breaks: numRules},
		"repeats are dropped everywhere":       {workload: dedup(decision.ScopeAll), earlier: []Location{east}, next: apart, at: window - 1, breaks: numRules},
		"after the window":                     {workload: dedup(decision.ScopeAll), earlier: []Location{east}, next: apart, at: window, breaks: NoDuplicateEffect},
		"repeats are dropped in the zone":      {workload: dedup(decision.ScopeZone), earlier: []Location{east}, next: near, breaks: numRules},
		"and not in another":                   {workload: dedup(decision.ScopeZone), earlier: []Location{east}, next: apart, breaks: NoDuplicateEffect},
		"repeats are dropped in the cell":      {workload: dedup(decision.ScopeCell), earlier: []Location{east}, next: apart, breaks: numRules},
		"and not in another cell":              {workload: dedup(decision.ScopeCell), earlier: []Location{east}, next: near, breaks: NoDuplicateEffect},
		"as many attempts as allowed":          {limits: decision.Limits{MaxAttempts: 2}, earlier: []Location{east}, next: near, breaks: numRules},
		"one more":                             {limits: decision.Limits{MaxAttempts: 2}, earlier: []Location{east, near}, next: apart, breaks: WithinAttemptLimit},
		"the zone is allowed":                  {workload: decision.Workload{AllowedZones: []decision.Zone{"east"}}, next: near, breaks: numRules},
		"the zone is not":                      {workload: decision.Workload{AllowedZones: []decision.Zone{"east"}}, next: apart, breaks: Placement},
		"the kind is not":                      {workload: decision.Workload{AllowedMachineTypes: []decision.MachineType{"std"}}, next: near, breaks: Placement},
		"after the answer":                     {answered: true, next: east, breaks: NoAttemptAfterFinish},
		"after the client left":                {cancelled: true, next: east, breaks: NoAttemptAfterFinish},
		"after the answer, a hedged request":   {limits: decision.Limits{Hedging: true}, earlier: []Location{east}, inFlight: true, answered: true, next: near, breaks: NoAttemptAfterFinish},
		"beside one in flight, not idempotent": {workload: once, limits: decision.Limits{Hedging: true}, earlier: []Location{east}, inFlight: true, next: near, breaks: NoDuplicateEffect},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRequest("s", &c.workload, c.limits)
			for i, place := range c.earlier {
				require.Nil(t, r.BeginAttempt(place, 0))
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
			if c.breaks == numRules {
				require.Nil(t, v)
				assert.False(t, last.ended || last.knownNotRun)
				return
			}
			require.NotNil(t, v)
			assert.Equal(t, c.breaks, v.Rule, v.Error())
			assert.True(t, last.ended && last.knownNotRun, "it did not happen")
		})
	}
}

// A rejection is truthful as long as nothing may have run, or a retry is harmless.
func TestRejections(t *testing.T) {
	for _, c := range []struct {
		name     string
		workload decision.Workload
		notRun   bool
		allowed  bool
	}{
		{"idempotent", decision.Workload{}, mayHaveRun, true},
		{"must not run twice", decision.Workload{Idempotency: decision.NonIdempotent}, mayHaveRun, false},
		{"it never ran", decision.Workload{Idempotency: decision.NonIdempotent}, notRun, true},
		{"repeats are dropped everywhere", decision.Workload{Idempotency: decision.Deduplicated}, mayHaveRun, true},
		{"repeats are dropped in a zone", decision.Workload{Idempotency: decision.Deduplicated, DedupScope: decision.ScopeZone}, mayHaveRun, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewRequest("s", &c.workload, decision.Limits{})
			assert.Nil(t, r.CheckRejection(), "nothing was sent")
			require.Nil(t, r.BeginAttempt(east, 0))
			assert.Equal(t, c.workload.Idempotency == decision.Idempotent || c.workload.Idempotency == decision.Deduplicated && c.allowed, r.CheckRejection() == nil, "it is in flight")
			r.EndAttempt(0, c.notRun)
			assert.Equal(t, c.allowed, r.CheckRejection() == nil)
		})
	}
	r := NewRequest("s", &decision.Workload{}, decision.Limits{})
	r.EndAttempt(5, mayHaveRun) // never recorded
	require.Nil(t, r.RecordAnswer())
	assert.Equal(t, OneAnswer, r.RecordAnswer().Rule)
}
