// Package versiontest generates configuration versions for tests.
package versiontest

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"bankledge/internal/configversion"
	"bankledge/internal/rules"
)

// Lineage returns the first n versions of a lineage, with random rules that become looser and tighter. All versions except the first have
// an engine list. Most versions force all guards.
func Lineage(t *testing.T, random *rand.Rand, lineage string, n int) []*configversion.Version {
	t.Helper()
	var versions []*configversion.Version
	var previous *configversion.Version
	for i := range n {
		r := &rules.Rules{
			Routers:                  3 + random.IntN(2),
			SlowStartMultiple:        float64(random.IntN(5)),
			SlowStartShare:           0.25,
			HealthChecksPerStatement: float64(1 + random.IntN(3)),
			TenantQuotas:             map[string]float64{"a": float64(random.IntN(3))},
			SheddableWorkloads:       []string{"a", "b", "c"}[:random.IntN(4)],
		}
		if i > 0 {
			r.Engines = randomEngines(random)
		}
		if err := r.Validate(); err != nil {
			t.Fatalf("generated rules are invalid: %v", err)
		}
		var forced []string
		if random.IntN(4) > 0 {
			forced = configversion.GuardNames()
		}
		previous = configversion.New(previous, lineage, r, forced, fmt.Sprint("note ", i))
		versions = append(versions, previous)
	}
	return versions
}

// randomEngines returns an engine list of up to four engines, some of them draining.
func randomEngines(random *rand.Rand) map[string]rules.Engine {
	list := map[string]rules.Engine{}
	for i := range 4 {
		if random.IntN(5) == 0 {
			continue
		}
		id := fmt.Sprint("e", i)
		phase := []string{rules.Active, rules.Active, rules.Draining}[random.IntN(3)]
		list[id] = rules.Engine{Phase: phase, Address: id + ":1", MachineType: "k"}
	}
	return list
}
