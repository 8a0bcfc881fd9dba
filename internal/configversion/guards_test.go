package configversion

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/rules"
)

func TestGuards(t *testing.T) {
	guards := Guards{MaxRemovedShare: 0.3}
	all := rulesWithEngines(t, 8)
	onlyFirst := rulesWithEngines(t, 1)
	// rulesWithout returns the rules in all without the first engines, and applies change to them unless it is nil.
	rulesWithout := func(removed int, change func(*rules.Rules)) *rules.Rules {
		r := rulesWithEngines(t, 8)
		for i := range removed {
			delete(r.Engines, fmt.Sprintf("e%d", i))
		}
		if change != nil {
			change(r)
		}
		require.NoError(t, r.Validate())
		return r
	}
	noEngineList := rulesWithout(0, func(r *rules.Rules) { r.Engines = nil })
	missingMachineType := rulesWithout(0, func(r *rules.Rules) { r.AllowedMachineTypes = map[string][]string{"load": {"tiny"}} })
	excludedFromLast := rulesWithout(7, func(r *rules.Rules) { r.PlacementExclusions = map[string][]string{"7": {"e7"}} })
	tighter := rulesWithout(0, func(r *rules.Rules) { r.SlowStartMultiple = 3 })
	looser := rulesWithout(0, func(r *rules.Rules) { r.SlowStartMultiple = 9 })
	for _, test := range []struct {
		name                  string
		previous, floor, next *rules.Rules
		want                  []string
	}{
		{"nothing changes", all, all, all, nil},
		{"the first version", nil, nil, onlyFirst, nil},
		{"two of eight engines removed", all, nil, rulesWithout(2, nil), nil},
		{"three of eight engines removed", all, nil, rulesWithout(3, nil), []string{GuardMaxRemovedShare}},
		{"all engines removed", all, nil, rulesWithout(8, nil), []string{GuardNoActiveEngine, GuardMaxRemovedShare}},
		{"no engine list", all, nil, noEngineList, nil},
		{"all engines replaced", onlyFirst, nil, rulesWithout(7, nil), []string{GuardMaxRemovedShare, GuardNoEngineOverlap}},
		{"workload restricted to a machine type that no engine has", all, nil, missingMachineType, []string{GuardMachineType}},
		{"table group excluded from every engine", onlyFirst, nil, excludedFromLast, []string{GuardMaxRemovedShare, GuardPlacement, GuardNoEngineOverlap}},
		{"tighter than the floor", all, all, tighter, []string{GuardFloor}},
		{"looser than the floor", all, all, looser, nil},
		{"equal to the floor, without a previous version", nil, all, rulesWithout(0, nil), nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			var violated []string
			for _, violation := range guards.Violations(test.previous, test.floor, test.next, nil) {
				violated = append(violated, violation.Guard)
			}
			assert.ElementsMatch(t, test.want, violated)
			assert.Empty(t, guards.Violations(test.previous, test.floor, test.next, GuardNames()), "forced by name")
			assert.Equal(t, len(test.want) > 0, guards.Check(test.previous, test.floor, test.next, nil) != nil)
		})
	}
}

func TestGuardErrorContainsViolations(t *testing.T) {
	err := Guards{MaxRemovedShare: 0.3}.Check(rulesWithEngines(t, 8), nil, rulesWithEngines(t, 4), nil)
	var guardError *GuardError
	require.ErrorAs(t, err, &guardError)
	require.Len(t, guardError.Violations, 1)
	assert.Equal(t, GuardMaxRemovedShare, guardError.Violations[0].Guard)
}

func TestCheckGuardNames(t *testing.T) {
	assert.NoError(t, CheckGuardNames(GuardNames()))
	assert.ErrorContains(t, CheckGuardNames([]string{"any"}), "no guard")
}
