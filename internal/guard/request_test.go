package guard

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
	east  = Place{Engine: "a", Zone: "east", Kind: "std", Cell: 1}
	near  = Place{Engine: "b", Zone: "east", Kind: "big", Cell: 2}
	apart = Place{Engine: "c", Zone: "west", Kind: "std", Cell: 1}
)

const (
	window = time.Second
	ran    = false
	never  = true
)

// Each case is the life of a statement up to an act that breaks a rule, or keeps all of them.
func TestRules(t *testing.T) {
	once := decision.Workload{Effect: decision.NonIdempotent}
	dedup := func(scope decision.Scope) decision.Workload {
		return decision.Workload{Effect: decision.Deduplicated, DedupWindow: window, DedupScope: scope}
	}
	for name, c := range map[string]struct {
		workload decision.Workload
		limits   decision.Limits
		earlier  []Place // executions that have ended, a tenth of a second apart
		neverRan bool    // all of these
		out      bool    // the last of these has not ended
		over     bool    // answered
		left     bool    // nobody waits
		next     Place
		at       time.Duration
		breaks   Rule // numRules: none
	}{
		"the first":                        {next: east, breaks: numRules},
		"another while one is out":         {earlier: []Place{east}, out: true, next: near, breaks: OneExecutionAtOnce},
		"a second copy":                    {limits: decision.Limits{SecondCopies: true}, earlier: []Place{east}, out: true, next: near, breaks: numRules},
		"an idempotent repeat":             {earlier: []Place{east}, next: near, breaks: numRules},
		"what must not run twice":          {workload: once, earlier: []Place{east}, next: near, breaks: NoEffectTwice},
		"the same, on the same engine":     {workload: once, earlier: []Place{east}, next: east, breaks: NoEffectTwice},
		"it never ran":                     {workload: once, earlier: []Place{east, near}, neverRan: true, next: apart, breaks: numRules},
		"repeats are dropped everywhere":   {workload: dedup(decision.ScopeAll), earlier: []Place{east}, next: apart, at: window - 1, breaks: numRules},
		"after the window":                 {workload: dedup(decision.ScopeAll), earlier: []Place{east}, next: apart, at: window, breaks: NoEffectTwice},
		"repeats are dropped in the zone":  {workload: dedup(decision.ScopeZone), earlier: []Place{east}, next: near, breaks: numRules},
		"and not in another":               {workload: dedup(decision.ScopeZone), earlier: []Place{east}, next: apart, breaks: NoEffectTwice},
		"repeats are dropped in the cell":  {workload: dedup(decision.ScopeCell), earlier: []Place{east}, next: apart, breaks: numRules},
		"and not in another cell":          {workload: dedup(decision.ScopeCell), earlier: []Place{east}, next: near, breaks: NoEffectTwice},
		"as many executions as allowed":    {limits: decision.Limits{MaxExecutions: 2}, earlier: []Place{east}, next: near, breaks: numRules},
		"one more":                         {limits: decision.Limits{MaxExecutions: 2}, earlier: []Place{east, near}, next: apart, breaks: WithinExecutions},
		"the zone is allowed":              {workload: decision.Workload{Zones: []decision.Zone{"east"}}, next: near, breaks: numRules},
		"the zone is not":                  {workload: decision.Workload{Zones: []decision.Zone{"east"}}, next: apart, breaks: Placement},
		"the kind is not":                  {workload: decision.Workload{Kinds: []decision.Kind{"std"}}, next: near, breaks: Placement},
		"after the answer":                 {over: true, next: east, breaks: NothingAfterEnd},
		"after the client left":            {left: true, next: east, breaks: NothingAfterEnd},
		"after the answer, a second copy":  {limits: decision.Limits{SecondCopies: true}, earlier: []Place{east}, out: true, over: true, next: near, breaks: NothingAfterEnd},
		"beside one that is out, not once": {workload: once, limits: decision.Limits{SecondCopies: true}, earlier: []Place{east}, out: true, next: near, breaks: NoEffectTwice},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRequest("s", &c.workload, c.limits)
			for i, place := range c.earlier {
				require.Nil(t, r.Execute(place, 0))
				if !c.out || i < len(c.earlier)-1 {
					r.Ended(decision.ExecutionID(i), c.neverRan)
				}
			}
			if c.over {
				require.Nil(t, r.Answer())
			}
			if c.left {
				r.Leave()
			}
			v := r.Execute(c.next, c.at)
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
		{"must not run twice", decision.Workload{Effect: decision.NonIdempotent}, ran, false},
		{"it never ran", decision.Workload{Effect: decision.NonIdempotent}, never, true},
		{"repeats are dropped everywhere", decision.Workload{Effect: decision.Deduplicated}, ran, true},
		{"repeats are dropped in a zone", decision.Workload{Effect: decision.Deduplicated, DedupScope: decision.ScopeZone}, ran, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewRequest("s", &c.workload, decision.Limits{})
			assert.Nil(t, r.Reject(), "nothing was sent")
			require.Nil(t, r.Execute(east, 0))
			assert.Equal(t, c.workload.Effect == decision.Idempotent || c.workload.Effect == decision.Deduplicated && c.may, r.Reject() == nil, "it is out")
			r.Ended(0, c.neverRan)
			assert.Equal(t, c.may, r.Reject() == nil)
		})
	}
	r := NewRequest("s", &decision.Workload{}, decision.Limits{})
	r.Ended(5, ran) // nobody knows of it
	require.Nil(t, r.Answer())
	assert.Equal(t, OneAnswer, r.Answer().Rule)
}

// Each violation is counted under its rule, and leaves a line that names it.
func TestViolations(t *testing.T) {
	core, lines := observer.New(zap.ErrorLevel)
	v := NewViolations(zap.New(core))
	assert.Zero(t, v.Total())
	for r := range numRules {
		v.Count(&Violation{Rule: r, Statement: "s", Detail: "d"})
		assert.Equal(t, int64(1), v.Of(r))
	}
	assert.Equal(t, int64(numRules), v.Total())
	require.Equal(t, int(numRules), lines.FilterMessage(Message).Len())
	assert.Equal(t, "one execution at once", lines.All()[0].ContextMap()["rule"])
}
