package configversion

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/rules"
)

func fleet(engines int) *rules.Rules {
	r := &rules.Rules{Routers: 3, SlowStartMultiple: 4, SlowStartShare: 0.3, Engines: map[string]rules.Engine{}}
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		r.Engines[id] = rules.Engine{Phase: rules.Active, Address: id + ":1", Kind: []string{"big", "small"}[i%2]}
	}
	if err := r.Validate(); err != nil {
		panic(err)
	}
	return r
}

func TestAVersionIsWhatWasHashed(t *testing.T) {
	first := New(nil, "l1", fleet(4), nil, "founded")
	second := New(first, "", fleet(5), []string{GuardShareOfEngines, GuardAllEngines}, "one more")
	again, err := Decode(second.Encode())
	require.NoError(t, err)
	assert.Equal(t, second.Encode(), again.Encode())
	assert.Equal(t, uint64(2), again.Number)
	assert.Equal(t, "l1", again.Lineage)
	assert.NoError(t, again.CheckFollows(first))
	for cut := range len(second.Encode()) {
		_, err := Decode(second.Encode()[:cut])
		require.Error(t, err, "cut at %d bytes", cut)
	}
	changed := *second
	changed.Note = "something else"
	_, err = Decode(changed.Encode())
	assert.ErrorContains(t, err, "hash")
	for text, v := range map[string]*Version{
		"another group": New(nil, "l2", fleet(4), nil, ""), "another past": New(New(nil, "l1", fleet(9), nil, "x"), "", fleet(4), nil, ""), "two versions 1": New(nil, "l1", fleet(9), nil, "x"),
	} {
		assert.ErrorContains(t, v.CheckFollows(first), text)
	}
	for text, raw := range map[string]string{"number": `{"number": 0}`, "lineage": `{"number": 1}`, "rules: missing": `{"number": 1, "lineage": "l"}`, "unknown": `{"unknown": 1}`} {
		_, err := Decode([]byte(raw))
		assert.ErrorContains(t, err, text)
	}
}

func TestGuards(t *testing.T) {
	g := Guards{MaxRemovedShare: 0.3}
	without := func(n int, change func(*rules.Rules)) *rules.Rules {
		r := fleet(8)
		for i := range n {
			delete(r.Engines, fmt.Sprintf("e%d", i))
		}
		if change != nil {
			change(r)
		}
		require.NoError(t, r.Validate())
		return r
	}
	for name, c := range map[string]struct {
		before, floor, next *rules.Rules
		guards              []string
	}{
		"nothing changes":         {fleet(8), fleet(8), fleet(8), nil},
		"the first one":           {nil, nil, fleet(1), nil},
		"two of eight go":         {fleet(8), nil, without(2, nil), nil},
		"three of eight go":       {fleet(8), nil, without(3, nil), []string{GuardShareOfEngines}},
		"all go":                  {fleet(8), nil, without(8, nil), []string{GuardAllEngines, GuardShareOfEngines}},
		"no list at all":          {fleet(8), nil, without(0, func(r *rules.Rules) { r.Engines = nil }), nil},
		"all are replaced":        {fleet(1), nil, without(7, nil), []string{GuardShareOfEngines, GuardNothingInBetween}},
		"bound to a kind":         {fleet(8), nil, without(0, func(r *rules.Rules) { r.AllowedMachineTypes = map[string][]string{"load": {"tiny"}} }), []string{GuardKind}},
		"placed nowhere":          {fleet(1), nil, without(7, func(r *rules.Rules) { r.PlacementExclusions = map[string][]string{"7": {"e7"}} }), []string{GuardShareOfEngines, GuardPlacement, GuardNothingInBetween}},
		"tighter than the floor":  {fleet(8), fleet(8), without(0, func(r *rules.Rules) { r.SlowStartMultiple = 3 }), []string{GuardFloor}},
		"looser than the floor":   {fleet(8), fleet(8), without(0, func(r *rules.Rules) { r.SlowStartMultiple = 9 }), nil},
		"the floor has no engine": {nil, fleet(8), without(0, nil), nil},
	} {
		var names []string
		for _, b := range g.Violations(c.before, c.floor, c.next, nil) {
			names = append(names, b.Guard)
		}
		assert.ElementsMatch(t, c.guards, names, name)
		assert.Empty(t, g.Violations(c.before, c.floor, c.next, GuardNames()), "%s: forced by name", name)
		assert.Equal(t, len(c.guards) > 0, g.Check(c.before, c.floor, c.next, nil) != nil, name)
	}
	assert.NoError(t, CheckGuardNames(GuardNames()))
	assert.ErrorContains(t, CheckGuardNames([]string{"any"}), "no guard")
}

func TestDiff(t *testing.T) {
	other := fleet(4)
	other.SlowStartMultiple, other.Routers = 3, 2
	other.Engines["new"] = rules.Engine{Phase: rules.Active, Address: "n:1"}
	delete(other.Engines, "e0")
	lines := Diff(fleet(4), other)
	require.Len(t, lines, 3)
	assert.Contains(t, lines[0], "routers: looser: 3 -> 2")
	assert.Contains(t, lines[1], "cold_multiple: tighter: 4 -> 3")
	assert.Contains(t, lines[2], "engines: looser and tighter")
	assert.Empty(t, Diff(other, other))
}

func FuzzDecode(f *testing.F) {
	f.Add(New(nil, "l", fleet(2), nil, "n").Encode())
	f.Fuzz(func(t *testing.T, raw []byte) {
		if v, err := Decode(raw); err == nil {
			if again, err := Decode(v.Encode()); err != nil || again.Hash != v.Hash {
				t.Fatal("read again:", err)
			}
		}
	})
}
