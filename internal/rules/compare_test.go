package rules

import (
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func requireSameEncoding(t *rapid.T, property string, a, b *Rules) {
	t.Helper()
	encodedA, encodedB := string(a.Canonical()), string(b.Canonical())
	if encodedA != encodedB {
		t.Fatalf("%s:\n%s\n%s", property, encodedA, encodedB)
	}
}

// Intersect is the meet operation of a lattice: it is idempotent, commutative and associative, its result conflicts with neither operand,
// and it permits everything that both operands permit.
func TestIntersectIsALatticeMeet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := rulesGenerator.Draw(t, "a"), rulesGenerator.Draw(t, "b"), rulesGenerator.Draw(t, "c")
		both := Intersect(a, b)
		if err := both.Validate(); err != nil {
			t.Fatalf("the intersection is invalid: %v", err)
		}
		requireSameEncoding(t, "idempotent", Intersect(a, a), a)
		requireSameEncoding(t, "commutative", both, Intersect(b, a))
		requireSameEncoding(t, "associative", Intersect(both, c), Intersect(a, Intersect(b, c)))
		for _, operand := range []*Rules{a, b} {
			if conflicts := ConflictingFields(both, operand); len(conflicts) > 0 {
				t.Fatalf("the intersection conflicts with an operand in %s", conflicts[0].Name)
			}
		}
		if len(ConflictingFields(c, a)) == 0 && len(ConflictingFields(c, b)) == 0 && len(ConflictingFields(c, both)) > 0 {
			t.Fatalf("the intersection forbids what both operands permit: %s", ConflictingFields(c, both)[0].Name)
		}
	})
}

// The relation "a does not conflict with b" is a partial order.
func TestConflictsDefineAPartialOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := rulesGenerator.Draw(t, "a"), rulesGenerator.Draw(t, "b"), rulesGenerator.Draw(t, "c")
		if len(ConflictingFields(a, a)) > 0 {
			t.Fatal("rules conflict with themselves")
		}
		if len(ConflictingFields(a, b)) == 0 && len(ConflictingFields(b, c)) == 0 && len(ConflictingFields(a, c)) > 0 {
			t.Fatalf("not transitive in field %s", ConflictingFields(a, c)[0].Name)
		}
		if len(ConflictingFields(a, b)) == 0 && len(ConflictingFields(b, a)) == 0 {
			requireSameEncoding(t, "rules without a conflict in either direction are equal", Intersect(a, b), a)
		}
	})
}

func TestCanonicalRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rulesGenerator.Draw(t, "rules")
		reparsed, err := Parse(r.Canonical())
		if err != nil {
			t.Fatal(err)
		}
		requireSameEncoding(t, "round trip", r, reparsed)
	})
}

// exampleRules returns valid rules with every field set, so that a test can change each field separately.
func exampleRules(t *testing.T) *Rules {
	t.Helper()
	r := &Rules{
		Routers:                  4,
		FleetQuotas:              map[string]float64{"a": 0.1},
		PriorityWeights:          map[string]float64{"w": 1},
		TenantQuotas:             map[string]float64{"g": 5},
		OverQuotaFactor:          0.1,
		RetryBudgetShare:         0.1,
		RetryBudgetFree:          3,
		RetryBudgetWindowMillis:  10,
		HealthChecksPerStatement: 1,
		SlowStartShare:           0.3,
		SlowStartMultiple:        4,
		SlowStartDurationMillis:  15000,
		DrainGraceMillis:         1000,
		KeyQuietPeriodMillis:     5,
		SheddableWorkloads:       []string{"w"},
		PlacementExclusions:      map[string][]string{"1": {"e"}},
		AllowedMachineTypes:      map[string][]string{"w": {"k"}},
		Engines:                  map[string]Engine{"e": {Phase: Active, Address: "e:1", MachineType: "k"}},
	}
	require.NoError(t, r.Validate())
	return r
}

// changesByField holds, by field name, changes to exampleRules that change only that field.
var changesByField = map[string][]func(*Rules){
	"routers":         {func(r *Rules) { r.Routers = 5 }},
	"parts":           {func(r *Rules) { r.FleetQuotas["a"] = 0.2 }},
	"importance":      {func(r *Rules) { r.PriorityWeights["w"] = 2 }, func(r *Rules) { delete(r.PriorityWeights, "w") }},
	"shares":          {func(r *Rules) { r.TenantQuotas["g"] = 6 }},
	"over_importance": {func(r *Rules) { r.OverQuotaFactor = 0.2 }},
	"further_share":   {func(r *Rules) { r.RetryBudgetShare = 1 }},
	"further_free":    {func(r *Rules) { r.RetryBudgetFree = 4 }},
	"further_window":  {func(r *Rules) { r.RetryBudgetWindowMillis = 0 }},
	"probes":          {func(r *Rules) { r.HealthChecksPerStatement = 2 }},
	"cold_share":      {func(r *Rules) { r.SlowStartShare = 0.4 }},
	"cold_multiple":   {func(r *Rules) { r.SlowStartMultiple = 5 }},
	"warm_after":      {func(r *Rules) { r.SlowStartDurationMillis = 1 }},
	"drain_grace":     {func(r *Rules) { r.DrainGraceMillis = 1 }},
	"key_rest":        {func(r *Rules) { r.KeyQuietPeriodMillis = 6 }},
	"may_turn_away":   {func(r *Rules) { r.SheddableWorkloads = nil }},
	"kept_off":        {func(r *Rules) { r.PlacementExclusions = nil }},
	"kinds": {
		func(r *Rules) { r.AllowedMachineTypes["w"] = []string{"k", "l"} },
		func(r *Rules) { r.AllowedMachineTypes = nil },
	},
	"engines": {
		func(r *Rules) { r.Engines = nil },
		func(r *Rules) { delete(r.Engines, "e") },
		func(r *Rules) { r.Engines["e"] = Engine{Phase: Draining, Address: "e:1", MachineType: "k"} },
		func(r *Rules) {
			r.Engines["e"] = Engine{Phase: Active, Address: "e:1", MachineType: "k", WarmingUp: true}
		},
		func(r *Rules) { r.Engines["e"] = Engine{Phase: Active, Address: "e:2", MachineType: "k"} },
	},
}

// A change of a single field is a conflict in at least one direction, and the intersection conflicts with neither version.
func TestChangedFieldConflicts(t *testing.T) {
	for _, field := range Fields() {
		t.Run(field.Name, func(t *testing.T) {
			require.NotEmpty(t, changesByField[field.Name], "changesByField has no change of this field")
			for i, change := range changesByField[field.Name] {
				before, after := exampleRules(t), exampleRules(t)
				change(after)
				require.NoError(t, after.Validate())
				conflicts := append(ConflictingFields(before, after), ConflictingFields(after, before)...)
				require.NotEmpty(t, conflicts, "change %d: no conflict reported", i)
				both := Intersect(before, after)
				assert.Empty(t, append(ConflictingFields(both, before), ConflictingFields(both, after)...))
				for _, conflict := range conflicts {
					if field.Name != "routers" { // the default quotas also depend on the number of routers: fewer routers have larger ones
						assert.Equal(t, field.Name, conflict.Name)
					}
				}
			}
		})
	}
}

// Conflicts and Intersect ignore a field of Rules that is missing in the table.
func TestEveryFieldIsInTheTable(t *testing.T) {
	described := map[string]bool{}
	for _, field := range Fields() {
		assert.NotEmpty(t, field.Description, field.Name)
		assert.NotEmpty(t, field.Consequence, field.Name)
		assert.False(t, described[field.Name], "duplicate field %s", field.Name)
		described[field.Name] = true
	}
	rulesType := reflect.TypeFor[Rules]()
	for i := range rulesType.NumField() {
		name, _, _ := strings.Cut(rulesType.Field(i).Tag.Get("json"), ",")
		assert.True(t, described[name], "field %s is missing in the table", name)
	}
	assert.Equal(t, rulesType.NumField(), len(Fields()))
}
