// Package rules holds the rules and lists on which the routers of a fleet have to agree, says when two routers that act on different
// ones contradict each other, and finds the cautious side of two. It does no I/O and has no clock.
//
// Every field is ordered by what it permits. One set of rules offends another in a field if it permits there what the other forbids;
// each field names that in the users' words, with the harm that it stands for. The meet of two permits what both permit, so it
// offends neither. Fields without such an order can't be here (Fields, and a test that walks the type, see to it).
package rules

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Rules is what matters between routers. Times are milliseconds. What a map does not name is as each router's own settings have it,
// unless it says otherwise. Its zero value is not fit for use: see Check.
type Rules struct {
	Routers        int                 `json:"routers"`         // that share the fleet
	Parts          map[string]float64  `json:"parts"`           // of the fleet's budgets, by router; who is not named has an even part
	Importance     map[string]float64  `json:"importance"`      // of an answer, by workload
	Shares         map[string]float64  `json:"shares"`          // of member groups, statements a second over all routers
	OverImportance float64             `json:"over_importance"` // of the importance, beyond a share
	FurtherShare   float64             `json:"further_share"`   // further executions a statement
	FurtherFree    float64             `json:"further_free"`    // and so many more in a window
	FurtherWindow  int64               `json:"further_window"`  // of both; 0: there is no budget
	Probes         float64             `json:"probes"`          // a statement
	ColdShare      float64             `json:"cold_share"`      // of its capacity that an engine has when it starts
	ColdMultiple   float64             `json:"cold_multiple"`   // of its present capacity that a cold engine may be sent
	WarmAfter      int64               `json:"warm_after"`      // of its start, an engine is warm
	DrainGrace     int64               `json:"drain_grace"`     // in which a leaving engine may still be sent work
	KeyRest        int64               `json:"key_rest"`        // of a key whose statement may still run
	MayTurnAway    []string            `json:"may_turn_away"`   // workloads, sorted; what is not named is turned away only when its time is over
	KeptOff        map[string][]string `json:"kept_off"`        // engines that a table group is not placed on, sorted, by table group
	Kinds          map[string][]string `json:"kinds"`           // of machine that a workload is bound to, sorted; not named: any
	Engines        map[string]Engine   `json:"engines"`         // who is not named has left; null: the control feed alone says who is there
}

// Engine is an engine's place in the list.
type Engine struct {
	Phase   string `json:"phase"`   // active or leaving; what has left is not named
	Cold    bool   `json:"cold"`    // held to be cold, whatever its age, until a later version says otherwise
	Address string `json:"address"` // two engines at one address, or one at two, are nobody's
	Kind    string `json:"kind"`    // of machine
}

// Phases of an engine.
const (
	Active  = "active"
	Leaving = "leaving"
	Left    = "left" // may be written in a file; in a checked list such an engine is not named
)

// Field is one thing in which rules may differ.
type Field struct {
	Name   string // as in a file
	Words  string // what offends: "a router … than the other's rules allow"
	Harm   string // what it does to users
	offend func(a, b *Rules) bool
	meet   func(a, b, into *Rules)
	check  func(r *Rules) error
}

// Fields lists all of them.
func Fields() []Field { return fields }

const mostNames, mostName = 5000, 200 // in one map or list; bytes of one

var fields = []Field{
	{Name: "routers", Words: "counts on fewer routers beside it", Harm: "the parts of all come to more than the whole: engines are overrun",
		offend: func(a, b *Rules) bool { return a.Routers < b.Routers },
		meet:   func(a, b, into *Rules) { into.Routers = max(a.Routers, b.Routers) },
		check: func(r *Rules) error {
			if r.Routers < 1 || r.Routers > 1e6 {
				return fmt.Errorf("%d is not from 1 to 1,000,000", r.Routers)
			}
			return nil
		}},
	{Name: "parts", Words: "takes a larger part of the fleet's budgets", Harm: "the parts of all come to more than the whole: engines are overrun",
		offend: func(a, b *Rules) bool {
			return slices.ContainsFunc(names(a.Parts, b.Parts), func(n string) bool { return a.Part(n) > b.Part(n) })
		},
		meet: func(a, b, into *Rules) {
			into.Parts = joined(a.Parts, b.Parts, func(n string) (float64, bool) {
				p := min(a.Part(n), b.Part(n))
				return p, p != even(max(a.Routers, b.Routers))
			})
		},
		check: func(r *Rules) error {
			sum := 0.0
			for _, p := range r.Parts {
				sum += p
			}
			if rest := r.Routers - len(r.Parts); rest > 0 && r.Routers > 0 {
				sum += float64(rest) / float64(r.Routers)
			}
			if sum > 1+1e-9 {
				return fmt.Errorf("all together come to %.3f, which is over 1", sum)
			}
			return amounts(r.Parts, 0, 1)
		}},
	{Name: "importance", Words: "holds a workload to be more important", Harm: "what one router turns away another one keeps: clients go round",
		offend: func(a, b *Rules) bool { return anyAbove(a.Importance, b.Importance) },
		meet:   func(a, b, into *Rules) { into.Importance = lower(a.Importance, b.Importance) },
		check:  func(r *Rules) error { return amounts(r.Importance, 0, 1e9) }},
	{Name: "shares", Words: "gives a member group a larger share", Harm: "a member group gets more than it is due, at the others' cost",
		offend: func(a, b *Rules) bool { return anyAbove(a.Shares, b.Shares) },
		meet:   func(a, b, into *Rules) { into.Shares = lower(a.Shares, b.Shares) },
		check:  func(r *Rules) error { return amounts(r.Shares, 0, 1e9) }},
	least("over_importance", "holds what is beyond a share to be more important", "a member group beyond its share crowds out the others",
		1, func(r *Rules) *float64 { return &r.OverImportance }),
	least("further_share", "allows itself more further executions", "work that is repeated fills engines that are full already",
		10, func(r *Rules) *float64 { return &r.FurtherShare }),
	least("further_free", "allows itself more further executions", "work that is repeated fills engines that are full already",
		1e9, func(r *Rules) *float64 { return &r.FurtherFree }),
	longest("further_window", "counts its further executions over a shorter time", "work that is repeated fills engines that are full already",
		func(r *Rules) *int64 { return &r.FurtherWindow }),
	least("probes", "allows itself more probes", "engines are busy answering probes",
		1e6, func(r *Rules) *float64 { return &r.Probes }),
	least("cold_share", "counts on a larger part of a cold engine", "a cold engine is sent more than it bears, and falls over",
		1, func(r *Rules) *float64 { return &r.ColdShare }),
	least("cold_multiple", "sends a cold engine more", "a cold engine is sent more than it bears, and falls over",
		1e6, func(r *Rules) *float64 { return &r.ColdMultiple }),
	longest("warm_after", "takes an engine for warm sooner", "a cold engine is sent more than it bears, and falls over",
		func(r *Rules) *int64 { return &r.WarmAfter }),
	{Name: "drain_grace", Words: "sends a leaving engine work for longer", Harm: "an engine ends with work on it",
		offend: func(a, b *Rules) bool { return a.DrainGrace > b.DrainGrace },
		meet:   func(a, b, into *Rules) { into.DrainGrace = min(a.DrainGrace, b.DrainGrace) },
		check:  func(r *Rules) error { return span(r.DrainGrace) }},
	longest("key_rest", "goes on with a key sooner", "two statements of one key run at once",
		func(r *Rules) *int64 { return &r.KeyRest }),
	{Name: "may_turn_away", Words: "turns away a workload early", Harm: "what one router turns away another one keeps: clients go round",
		offend: func(a, b *Rules) bool { return !within(a.MayTurnAway, b.MayTurnAway) },
		meet:   func(a, b, into *Rules) { into.MayTurnAway = both(a.MayTurnAway, b.MayTurnAway) },
		check:  func(r *Rules) error { return sorted(r.MayTurnAway) }},
	{Name: "kept_off", Words: "places a table group on an engine", Harm: "a load and the reads of its group meet on one engine, and stand still",
		offend: func(a, b *Rules) bool {
			return slices.ContainsFunc(names(a.KeptOff, b.KeptOff), func(n string) bool { return !within(b.KeptOff[n], a.KeptOff[n]) })
		},
		meet: func(a, b, into *Rules) {
			into.KeptOff = joined(a.KeptOff, b.KeptOff, func(n string) ([]string, bool) { return either(a.KeptOff[n], b.KeptOff[n]), true })
		},
		check: func(r *Rules) error { return lists(r.KeptOff) }},
	{Name: "kinds", Words: "sends a workload to a kind of machine", Harm: "a statement runs where it must not",
		offend: func(a, b *Rules) bool {
			return slices.ContainsFunc(names(a.Kinds, b.Kinds), func(n string) bool {
				of, bound := b.Kinds[n]
				mine, also := a.Kinds[n]
				return bound && (!also || !within(mine, of))
			})
		},
		meet: func(a, b, into *Rules) {
			into.Kinds = joined(a.Kinds, b.Kinds, func(n string) ([]string, bool) {
				one, ok := a.Kinds[n]
				other, also := b.Kinds[n]
				switch {
				case !ok:
					return other, true
				case !also:
					return one, true
				}
				return both(one, other), true
			})
		},
		check: func(r *Rules) error { return lists(r.Kinds) }},
	{Name: "engines", Words: "sends work to an engine", Harm: "statements are lost on an engine that drains, or run where nobody looks for them",
		offend: func(a, b *Rules) bool {
			if a.Engines == nil || b.Engines == nil {
				return b.Engines != nil
			}
			return slices.ContainsFunc(names(a.Engines, b.Engines), func(n string) bool {
				x, y := a.Engine(n), b.Engine(n)
				return x.Phase == Active && y.Phase != Active || x.Phase == Leaving && y.Phase == Left ||
					x.Phase != Left && (x.Address != y.Address || x.Kind != y.Kind || !x.Cold && y.Cold)
			})
		},
		meet: func(a, b, into *Rules) {
			if into.Engines = maps.Clone(a.Engines); a.Engines == nil {
				into.Engines = maps.Clone(b.Engines)
			}
			if a.Engines == nil || b.Engines == nil {
				return
			}
			into.Engines = joined(a.Engines, b.Engines, func(n string) (Engine, bool) {
				x, y := a.Engine(n), b.Engine(n)
				e := Engine{Phase: Leaving, Cold: x.Cold || y.Cold, Address: x.Address, Kind: x.Kind}
				if x.Phase == Active && y.Phase == Active {
					e.Phase = Active
				}
				return e, x.Phase != Left && y.Phase != Left && x.Address == y.Address && x.Kind == y.Kind
			})
		},
		check: func(r *Rules) error {
			at := map[string]string{}
			for _, n := range slices.Sorted(maps.Keys(r.Engines)) {
				e := r.Engines[n]
				switch {
				case n == "" || len(n) > mostName:
					return fmt.Errorf("%q is no name", n)
				case e.Phase != Active && e.Phase != Leaving:
					return fmt.Errorf("%s: phase: %q is none", n, e.Phase)
				case e.Address == "" || len(e.Address) > mostName:
					return fmt.Errorf("%s: address: missing", n)
				case at[e.Address] != "":
					return fmt.Errorf("%s: address: %s has it, too", n, at[e.Address])
				}
				at[e.Address] = n
			}
			return nil
		}},
}

// least is an amount of which less is the cautious side.
func least(name, words, harm string, top float64, of func(*Rules) *float64) Field {
	return Field{Name: name, Words: words, Harm: harm,
		offend: func(a, b *Rules) bool { return *of(a) > *of(b) },
		meet:   func(a, b, into *Rules) { *of(into) = min(*of(a), *of(b)) },
		check:  func(r *Rules) error { return amount(*of(r), 0, top) }}
}

// longest is a time of which more is the cautious side.
func longest(name, words, harm string, of func(*Rules) *int64) Field {
	return Field{Name: name, Words: words, Harm: harm,
		offend: func(a, b *Rules) bool { return *of(a) < *of(b) },
		meet:   func(a, b, into *Rules) { *of(into) = max(*of(a), *of(b)) },
		check:  func(r *Rules) error { return span(*of(r)) }}
}

// Part is a router's part of the fleet's budgets.
func (r *Rules) Part(router string) float64 {
	if p, named := r.Parts[router]; named {
		return p
	}
	return even(r.Routers)
}

func even(routers int) float64 { return 1 / float64(max(1, routers)) }

// Engine is an engine's place; one that is not named has left.
func (r *Rules) Engine(id string) Engine {
	if e, named := r.Engines[id]; named {
		return e
	}
	return Engine{Phase: Left}
}

// Offends lists the fields in which who acts on a does what b forbids.
func Offends(a, b *Rules) (list []Field) {
	for _, f := range fields {
		if f.offend(a, b) {
			list = append(list, f)
		}
	}
	return list
}

// Meet is the cautious side of two: it permits what both permit.
func Meet(a, b *Rules) *Rules {
	into := new(Rules)
	for _, f := range fields {
		f.meet(a, b, into)
	}
	return into
}

// Check brings rules into the form in which they are kept (lists sorted, each name once, no engine that has left) and tells
// what is wrong with them; an error names the field.
func (r *Rules) Check() error {
	r.MayTurnAway = tidy(r.MayTurnAway)
	r.KeptOff, r.Kinds = tidyLists(r.KeptOff, true), tidyLists(r.Kinds, false)
	for _, m := range []*map[string]float64{&r.Parts, &r.Importance, &r.Shares} {
		if *m == nil {
			*m = map[string]float64{}
		}
	}
	maps.DeleteFunc(r.Parts, func(_ string, p float64) bool { return p == even(r.Routers) })
	maps.DeleteFunc(r.Engines, func(_ string, e Engine) bool { return e.Phase == Left })
	for _, m := range []int{len(r.Parts), len(r.Importance), len(r.Shares), len(r.MayTurnAway), len(r.KeptOff), len(r.Kinds), len(r.Engines)} {
		if m > mostNames {
			return fmt.Errorf("rules: a list of %d, over %d", m, mostNames)
		}
	}
	for _, f := range fields {
		if err := f.check(r); err != nil {
			return fmt.Errorf("%s: %w", f.Name, err)
		}
	}
	return nil
}

// Parse reads rules from JSON, checked. A field that is not known is an error: it would be a rule that nobody keeps.
func Parse(raw []byte) (*Rules, error) {
	r := new(Rules)
	if err := strict(raw, r); err != nil {
		return nil, fmt.Errorf("rules: %w", err)
	}
	return r, r.Check()
}

// Canonical is the one form in which checked rules are written: equal rules, equal bytes.
func (r *Rules) Canonical() []byte {
	raw, err := json.Marshal(r)
	if err != nil { // amounts are finite once they are checked
		panic(err)
	}
	return raw
}
