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
	if r.Parts = part.Draw(t, "parts"); len(r.Parts) > 0 {
		r.Routers += 4
	}
	r.Importance, r.Shares = amounts.Draw(t, "importance"), amounts.Draw(t, "shares")
	for i, f := range []*float64{&r.OverImportance, &r.FurtherShare, &r.FurtherFree, &r.Probes, &r.ColdShare, &r.ColdMultiple} {
		*f = amount.Draw(t, fmt.Sprint("amount", i))
	}
	for i, f := range []*int64{&r.FurtherWindow, &r.WarmAfter, &r.DrainGrace, &r.KeyRest} {
		*f = span.Draw(t, fmt.Sprint("span", i))
	}
	r.MayTurnAway = list.Draw(t, "may")
	r.KeptOff, r.Kinds = rapid.MapOfN(name, list, 0, 3).Draw(t, "off"), rapid.MapOfN(name, list, 0, 3).Draw(t, "kinds")
	if rapid.Bool().Draw(t, "list") {
		r.Engines = map[string]Engine{}
		for _, n := range list.Draw(t, "engines") {
			r.Engines[n] = Engine{Phase: rapid.SampledFrom([]string{Active, Leaving, Left}).Draw(t, "phase"), Cold: rapid.Bool().Draw(t, "cold"),
				Address: rapid.SampledFrom([]string{n + ":1", n + ":2"}).Draw(t, "address"), Kind: rapid.SampledFrom([]string{"k", "l"}).Draw(t, "kind")}
		}
	}
	if err := r.Check(); err != nil {
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
		m := Meet(a, b)
		if err := m.Check(); err != nil {
			t.Fatalf("the meet is not fit: %v", err)
		}
		same(t, "idempotent", Meet(a, a), a)
		same(t, "commutative", m, Meet(b, a))
		same(t, "associative", Meet(m, c), Meet(a, Meet(b, c)))
		for _, side := range []*Rules{a, b} {
			if off := Offends(m, side); len(off) > 0 {
				t.Fatalf("the meet offends a side in %s", off[0].Name)
			}
		}
		if len(Offends(a, a)) > 0 {
			t.Fatal("offends itself")
		}
		if len(Offends(c, a)) == 0 && len(Offends(c, b)) == 0 && len(Offends(c, m)) > 0 {
			t.Fatalf("what both permit, the meet forbids: %s", Offends(c, m)[0].Name)
		}
		if len(Offends(a, b)) == 0 && len(Offends(b, c)) == 0 && len(Offends(a, c)) > 0 {
			t.Fatalf("not transitive: %s", Offends(a, c)[0].Name)
		}
		if len(Offends(a, b)) == 0 && len(Offends(b, a)) == 0 {
			same(t, "what offends neither way is the same", Meet(a, b), a)
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
		r := &Rules{Routers: 4, Parts: map[string]float64{"a": 0.1}, Importance: map[string]float64{"w": 1}, Shares: map[string]float64{"g": 5},
			OverImportance: 0.1, FurtherShare: 0.1, FurtherFree: 3, FurtherWindow: 10, Probes: 1, ColdShare: 0.3, ColdMultiple: 4, WarmAfter: 15000, DrainGrace: 1000,
			KeyRest: 5, MayTurnAway: []string{"w"}, KeptOff: map[string][]string{"1": {"e"}}, Kinds: map[string][]string{"w": {"k"}},
			Engines: map[string]Engine{"e": {Phase: Active, Address: "e:1", Kind: "k"}}}
		require.NoError(t, r.Check())
		return r
	}
	changes := map[string][]func(*Rules){
		"routers": {func(r *Rules) { r.Routers = 5 }}, "parts": {func(r *Rules) { r.Parts["a"] = 0.2 }},
		"importance": {func(r *Rules) { r.Importance["w"] = 2 }, func(r *Rules) { delete(r.Importance, "w") }},
		"shares":     {func(r *Rules) { r.Shares["g"] = 6 }}, "over_importance": {func(r *Rules) { r.OverImportance = 0.2 }},
		"further_share": {func(r *Rules) { r.FurtherShare = 1 }}, "further_free": {func(r *Rules) { r.FurtherFree = 4 }},
		"further_window": {func(r *Rules) { r.FurtherWindow = 0 }}, "probes": {func(r *Rules) { r.Probes = 2 }},
		"cold_share": {func(r *Rules) { r.ColdShare = 0.4 }}, "cold_multiple": {func(r *Rules) { r.ColdMultiple = 5 }},
		"warm_after": {func(r *Rules) { r.WarmAfter = 1 }}, "drain_grace": {func(r *Rules) { r.DrainGrace = 1 }},
		"key_rest": {func(r *Rules) { r.KeyRest = 6 }}, "may_turn_away": {func(r *Rules) { r.MayTurnAway = nil }},
		"kept_off": {func(r *Rules) { r.KeptOff = nil }}, "kinds": {func(r *Rules) { r.Kinds["w"] = []string{"k", "l"} }, func(r *Rules) { r.Kinds = nil }},
		"engines": {func(r *Rules) { r.Engines = nil }, func(r *Rules) { delete(r.Engines, "e") },
			func(r *Rules) { r.Engines["e"] = Engine{Phase: Leaving, Address: "e:1", Kind: "k"} },
			func(r *Rules) { r.Engines["e"] = Engine{Phase: Active, Address: "e:1", Kind: "k", Cold: true} },
			func(r *Rules) { r.Engines["e"] = Engine{Phase: Active, Address: "e:2", Kind: "k"} }},
	}
	named := map[string]bool{}
	for _, f := range Fields() {
		assert.NotEmpty(t, f.Words, f.Name)
		assert.NotEmpty(t, f.Harm, f.Name)
		assert.False(t, named[f.Name])
		named[f.Name] = true
		require.NotEmpty(t, changes[f.Name], "%s: no change is tried", f.Name)
		for i, change := range changes[f.Name] {
			a, b := base(), base()
			change(b)
			require.NoError(t, b.Check())
			off := append(Offends(a, b), Offends(b, a)...)
			require.NotEmpty(t, off, "%s, change %d: no contradiction is seen", f.Name, i)
			m := Meet(a, b)
			assert.Empty(t, append(Offends(m, a), Offends(m, b)...), f.Name)
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
	assert.Equal(t, []string{"a", "b"}, r.MayTurnAway)
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
		if len(Offends(r, again)) > 0 {
			t.Fatal("offends itself")
		}
	})
}
