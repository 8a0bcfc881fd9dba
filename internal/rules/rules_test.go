package rules

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawn are rules that pass Check, from few names and amounts so that they meet often.
var drawn = rapid.Custom(func(t *rapid.T) *Rules {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	list := rapid.SliceOfN(name, 0, 4)
	amount := rapid.SampledFrom([]float64{0, 0.25, 0.5, 1})
	amounts := rapid.MapOfN(name, amount, 0, 4)
	span := rapid.Int64Range(0, 3)
	part := rapid.MapOfN(name, rapid.SampledFrom([]float64{0, 0.05, 0.1}), 0, 2)
	var r Rules
	r.Routers = rapid.IntRange(1, 6).Draw(t, "routers")
	if r.FleetQuotas = part.Draw(t, "parts"); len(r.FleetQuotas) > 0 {
		r.Routers += 4
	}
	r.PriorityWeights, r.TenantQuotas = amounts.Draw(t, "importance"), amounts.Draw(t, "shares")
	for i, f := range []*float64{&r.OverQuotaFactor, &r.RetryBudgetShare, &r.RetryBudgetFree, &r.HealthChecksPerStatement, &r.SlowStartShare, &r.SlowStartMultiple} {
		*f = amount.Draw(t, fmt.Sprint("amount", i))
	}
	for i, f := range []*int64{&r.RetryBudgetWindowMillis, &r.WarmAfterMillis, &r.DrainGraceMillis, &r.KeyQuietPeriodMillis} {
		*f = span.Draw(t, fmt.Sprint("span", i))
	}
	r.SheddableWorkloads = list.Draw(t, "may")
	r.PlacementExclusions, r.AllowedMachineTypes = rapid.MapOfN(name, list, 0, 3).Draw(t, "off"), rapid.MapOfN(name, list, 0, 3).Draw(t, "kinds")
	if rapid.Bool().Draw(t, "list") {
		r.Engines = map[string]Engine{}
		for _, n := range list.Draw(t, "engines") {
			r.Engines[n] = Engine{Phase: rapid.SampledFrom([]string{Active, Draining, Removed}).Draw(t, "phase"), WarmingUp: rapid.Bool().Draw(t, "cold"),
				Address: rapid.SampledFrom([]string{n + ":1", n + ":2"}).Draw(t, "address"), Kind: rapid.SampledFrom([]string{"k", "l"}).Draw(t, "kind")}
		}
	}
	if err := r.Validate(); err != nil {
		t.Fatal(err)
	}
	return &r
})

// The meet is one of a lattice: idempotent, commutative, associative, contradicts neither side, and permits all that both permit.
func TestLaws(t *testing.T) {
	same := func(t *rapid.T, law string, a, b *Rules) {
		if one, other := string(a.Canonical()), string(b.Canonical()); one != other {
			t.Fatalf("%s:\n%s\n%s", law, one, other)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawn.Draw(t, "a"), drawn.Draw(t, "b"), drawn.Draw(t, "c")
		m := Intersect(a, b)
		if err := m.Validate(); err != nil {
			t.Fatalf("the meet is not fit: %v", err)
		}
		same(t, "idempotent", Intersect(a, a), a)
		same(t, "commutative", m, Intersect(b, a))
		same(t, "associative", Intersect(m, c), Intersect(a, Intersect(b, c)))
		for _, side := range []*Rules{a, b} {
			if off := Conflicts(m, side); len(off) > 0 {
				t.Fatalf("the meet offends a side in %s", off[0].Name)
			}
		}
		if len(Conflicts(a, a)) > 0 {
			t.Fatal("offends itself")
		}
		if len(Conflicts(c, a)) == 0 && len(Conflicts(c, b)) == 0 && len(Conflicts(c, m)) > 0 {
			t.Fatalf("what both permit, the meet forbids: %s", Conflicts(c, m)[0].Name)
		}
		if len(Conflicts(a, b)) == 0 && len(Conflicts(b, c)) == 0 && len(Conflicts(a, c)) > 0 {
			t.Fatalf("not transitive: %s", Conflicts(a, c)[0].Name)
		}
		if len(Conflicts(a, b)) == 0 && len(Conflicts(b, a)) == 0 {
			same(t, "what offends neither way is the same", Intersect(a, b), a)
		}
		again, err := Parse(a.Canonical())
		if err != nil {
			t.Fatal(err)
		}
		same(t, "read again", a, again)
	})
}

// Each field of the type has a predicate, words, a harm and a cautious side: changed alone, it offends one way and the meet takes a side.
func TestEveryFieldHasItsPredicate(t *testing.T) {
	base := func() *Rules {
		r := &Rules{Routers: 4, FleetQuotas: map[string]float64{"a": 0.1}, PriorityWeights: map[string]float64{"w": 1}, TenantQuotas: map[string]float64{"g": 5},
			OverQuotaFactor: 0.1, RetryBudgetShare: 0.1, RetryBudgetFree: 3, RetryBudgetWindowMillis: 10, HealthChecksPerStatement: 1, SlowStartShare: 0.3, SlowStartMultiple: 4, WarmAfterMillis: 15000, DrainGraceMillis: 1000,
			KeyQuietPeriodMillis: 5, SheddableWorkloads: []string{"w"}, PlacementExclusions: map[string][]string{"1": {"e"}}, AllowedMachineTypes: map[string][]string{"w": {"k"}},
			Engines: map[string]Engine{"e": {Phase: Active, Address: "e:1", Kind: "k"}}}
		require.NoError(t, r.Validate())
		return r
	}
	changes := map[string][]func(*Rules){
		"routers": {func(r *Rules) { r.Routers = 5 }}, "parts": {func(r *Rules) { r.FleetQuotas["a"] = 0.2 }},
		"importance": {func(r *Rules) { r.PriorityWeights["w"] = 2 }, func(r *Rules) { delete(r.PriorityWeights, "w") }},
		"shares":     {func(r *Rules) { r.TenantQuotas["g"] = 6 }}, "over_importance": {func(r *Rules) { r.OverQuotaFactor = 0.2 }},
		"further_share": {func(r *Rules) { r.RetryBudgetShare = 1 }}, "further_free": {func(r *Rules) { r.RetryBudgetFree = 4 }},
		"further_window": {func(r *Rules) { r.RetryBudgetWindowMillis = 0 }}, "probes": {func(r *Rules) { r.HealthChecksPerStatement = 2 }},
		"cold_share": {func(r *Rules) { r.SlowStartShare = 0.4 }}, "cold_multiple": {func(r *Rules) { r.SlowStartMultiple = 5 }},
		"warm_after": {func(r *Rules) { r.WarmAfterMillis = 1 }}, "drain_grace": {func(r *Rules) { r.DrainGraceMillis = 1 }},
		"key_rest": {func(r *Rules) { r.KeyQuietPeriodMillis = 6 }}, "may_turn_away": {func(r *Rules) { r.SheddableWorkloads = nil }},
		"kept_off": {func(r *Rules) { r.PlacementExclusions = nil }}, "kinds": {func(r *Rules) { r.AllowedMachineTypes["w"] = []string{"k", "l"} }, func(r *Rules) { r.AllowedMachineTypes = nil }},
		"engines": {func(r *Rules) { r.Engines = nil }, func(r *Rules) { delete(r.Engines, "e") },
			func(r *Rules) { r.Engines["e"] = Engine{Phase: Draining, Address: "e:1", Kind: "k"} },
			func(r *Rules) { r.Engines["e"] = Engine{Phase: Active, Address: "e:1", Kind: "k", WarmingUp: true} },
			func(r *Rules) { r.Engines["e"] = Engine{Phase: Active, Address: "e:2", Kind: "k"} }},
	}
	named := map[string]bool{}
	for _, f := range Fields() {
		assert.NotEmpty(t, f.Description, f.Name)
		assert.NotEmpty(t, f.Consequence, f.Name)
		assert.False(t, named[f.Name])
		named[f.Name] = true
		require.NotEmpty(t, changes[f.Name], "%s: no change is tried", f.Name)
		for i, change := range changes[f.Name] {
			a, b := base(), base()
			change(b)
			require.NoError(t, b.Validate())
			off := append(Conflicts(a, b), Conflicts(b, a)...)
			require.NotEmpty(t, off, "%s, change %d: no contradiction is seen", f.Name, i)
			m := Intersect(a, b)
			assert.Empty(t, append(Conflicts(m, a), Conflicts(m, b)...), f.Name)
			for _, o := range off {
				if f.Name != "routers" { // fewer routers have larger parts
					assert.Equal(t, f.Name, o.Name)
				}
			}
		}
	}
	kind := reflect.TypeFor[Rules]()
	for i := range kind.NumField() {
		name, _, _ := strings.Cut(kind.Field(i).Tag.Get("json"), ",")
		assert.True(t, named[name], "%s can't be in a version: it has no predicate", name)
	}
	assert.Equal(t, kind.NumField(), len(Fields()))
}

func TestUnfitRulesNameTheField(t *testing.T) {
	good := `"routers": 3, "engines": {"e": {"phase": "active", "address": "h:1"}}`
	for text, says := range map[string]string{
		`{`: "rules", `{"routers": 0}`: "routers: 0", `{` + good + `, "cold_share": 2}`: "cold_share: 2",
		`{` + good + `, "unheard": 1}`: "unheard", `{` + good + `} x`: "rules", `{` + good + `, "warm_after": -1}`: "warm_after",
		`{` + good + `, "parts": {"a": 0.5}}`: "parts: all together", `{` + good + `, "shares": {"": 1}}`: "shares",
		`{` + good + `, "kinds": {"": ["k"]}}`: "kinds", `{` + good + `, "may_turn_away": [""]}`: "may_turn_away",
		`{"routers": 1, "engines": {"e": {"phase": "gone"}}}`: "engines: e: phase", `{"routers": 1, "engines": {"e": {"phase": "active"}}}`: "engines: e: address",
		`{"routers": 1, "engines": {"e": {"phase": "active", "address": "h:1"}, "f": {"phase": "active", "address": "h:1"}}}`: "engines: f: address: e has it",
	} {
		_, err := Parse([]byte(text))
		assert.ErrorContains(t, err, says, text)
	}
	r, err := Parse([]byte(`{` + good + `, "may_turn_away": ["b", "a", "b"]}`))
	require.NoError(t, err)
	assert.Equal(t, []string{"a", "b"}, r.SheddableWorkloads)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"routers": 3, "engines": {"e": {"phase": "left"}}, "parts": {"a": 0.1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := Parse(raw)
		if err != nil {
			return
		}
		again, err := Parse(r.Canonical())
		if err != nil || string(again.Canonical()) != string(r.Canonical()) {
			t.Fatalf("%s: read again: %v", raw, err)
		}
		if len(Conflicts(r, again)) > 0 {
			t.Fatal("offends itself")
		}
	})
}
