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
	Routers                  int                 `json:"routers"`         // that share the fleet
	FleetQuotas              map[string]float64  `json:"parts"`           // of the fleet's budgets, by router; who is not named has an even part
	PriorityWeights          map[string]float64  `json:"importance"`      // of an answer, by workload
	TenantQuotas             map[string]float64  `json:"shares"`          // of member groups, statements a second over all routers
	OverQuotaFactor          float64             `json:"over_importance"` // of the importance, beyond a share
	RetryBudgetShare         float64             `json:"further_share"`   // further executions a statement
	RetryBudgetFree          float64             `json:"further_free"`    // and so many more in a window
	RetryBudgetWindowMillis  int64               `json:"further_window"`  // of both; 0: there is no budget
	HealthChecksPerStatement float64             `json:"probes"`          // a statement
	SlowStartShare           float64             `json:"cold_share"`      // of its capacity that an engine has when it starts
	SlowStartMultiple        float64             `json:"cold_multiple"`   // of its present capacity that a cold engine may be sent
	WarmAfterMillis          int64               `json:"warm_after"`      // of its start, an engine is warm
	DrainGraceMillis         int64               `json:"drain_grace"`     // in which a leaving engine may still be sent work
	KeyQuietPeriodMillis     int64               `json:"key_rest"`        // of a key whose statement may still run
	SheddableWorkloads       []string            `json:"may_turn_away"`   // workloads, sorted; what is not named is turned away only when its time is over
	PlacementExclusions      map[string][]string `json:"kept_off"`        // engines that a table group is not placed on, sorted, by table group
	AllowedMachineTypes      map[string][]string `json:"kinds"`           // of machine that a workload is bound to, sorted; not named: any
	Engines                  map[string]Engine   `json:"engines"`         // who is not named has left; null: the control feed alone says who is there
}

// Engine is an engine's place in the list.
type Engine struct {
	Phase     string `json:"phase"`   // active or leaving; what has left is not named
	WarmingUp bool   `json:"cold"`    // held to be cold, whatever its age, until a later version says otherwise
	Address   string `json:"address"` // two engines at one address, or one at two, are nobody's
	Kind      string `json:"kind"`    // of machine
}

// Phases of an engine.
const (
	Active   = "active"
	Draining = "leaving"
	Removed  = "left" // may be written in a file; in a checked list such an engine is not named
)

// Field is one thing in which rules may differ.
type Field struct {
	Name        string // as in a file
	Description string // what offends: "a router … than the other's rules allow"
	Consequence string // what it does to users
	offend      func(a, b *Rules) bool
	meet        func(a, b, into *Rules)
	check       func(r *Rules) error
}

// Fields lists all of them.
func Fields() []Field { return fields }

const mostNames, mostName = 5000, 200 // in one map or list; bytes of one

var fields = []Field{
	{Name: "routers", Description: "counts on fewer routers beside it", Consequence: "the parts of all come to more than the whole: engines are overrun",
		offend: func(a, b *Rules) bool { return a.Routers < b.Routers },
		meet:   func(a, b, into *Rules) { into.Routers = max(a.Routers, b.Routers) },
		check: func(r *Rules) error {
			if r.Routers < 1 || r.Routers > 1e6 {
				return fmt.Errorf("%d is not from 1 to 1,000,000", r.Routers)
			}
			return nil
		}},
	{Name: "parts", Description: "takes a larger part of the fleet's budgets", Consequence: "the parts of all come to more than the whole: engines are overrun",
		offend: func(a, b *Rules) bool {
			return slices.ContainsFunc(names(a.FleetQuotas, b.FleetQuotas), func(n string) bool { return a.FleetQuota(n) > b.FleetQuota(n) })
		},
		meet: func(a, b, into *Rules) {
			into.FleetQuotas = joined(a.FleetQuotas, b.FleetQuotas, func(n string) (float64, bool) {
				p := min(a.FleetQuota(n), b.FleetQuota(n))
				return p, p != even(max(a.Routers, b.Routers))
			})
		},
		check: func(r *Rules) error {
			sum := 0.0
			for _, p := range r.FleetQuotas {
				sum += p
			}
			if rest := r.Routers - len(r.FleetQuotas); rest > 0 && r.Routers > 0 {
				sum += float64(rest) / float64(r.Routers)
			}
			if sum > 1+1e-9 {
				return fmt.Errorf("all together come to %.3f, which is over 1", sum)
			}
			return amounts(r.FleetQuotas, 0, 1)
		}},
	{Name: "importance", Description: "holds a workload to be more important", Consequence: "what one router turns away another one keeps: clients go round",
		offend: func(a, b *Rules) bool { return anyAbove(a.PriorityWeights, b.PriorityWeights) },
		meet:   func(a, b, into *Rules) { into.PriorityWeights = lower(a.PriorityWeights, b.PriorityWeights) },
		check:  func(r *Rules) error { return amounts(r.PriorityWeights, 0, 1e9) }},
	{Name: "shares", Description: "gives a member group a larger share", Consequence: "a member group gets more than it is due, at the others' cost",
		offend: func(a, b *Rules) bool { return anyAbove(a.TenantQuotas, b.TenantQuotas) },
		meet:   func(a, b, into *Rules) { into.TenantQuotas = lower(a.TenantQuotas, b.TenantQuotas) },
		check:  func(r *Rules) error { return amounts(r.TenantQuotas, 0, 1e9) }},
	least("over_importance", "holds what is beyond a share to be more important", "a member group beyond its share crowds out the others",
		1, func(r *Rules) *float64 { return &r.OverQuotaFactor }),
	least("further_share", "allows itself more further executions", "work that is repeated fills engines that are full already",
		10, func(r *Rules) *float64 { return &r.RetryBudgetShare }),
	least("further_free", "allows itself more further executions", "work that is repeated fills engines that are full already",
		1e9, func(r *Rules) *float64 { return &r.RetryBudgetFree }),
	longest("further_window", "counts its further executions over a shorter time", "work that is repeated fills engines that are full already",
		func(r *Rules) *int64 { return &r.RetryBudgetWindowMillis }),
	least("probes", "allows itself more probes", "engines are busy answering probes",
		1e6, func(r *Rules) *float64 { return &r.HealthChecksPerStatement }),
	least("cold_share", "counts on a larger part of a cold engine", "a cold engine is sent more than it bears, and falls over",
		1, func(r *Rules) *float64 { return &r.SlowStartShare }),
	least("cold_multiple", "sends a cold engine more", "a cold engine is sent more than it bears, and falls over",
		1e6, func(r *Rules) *float64 { return &r.SlowStartMultiple }),
	longest("warm_after", "takes an engine for warm sooner", "a cold engine is sent more than it bears, and falls over",
		func(r *Rules) *int64 { return &r.WarmAfterMillis }),
	{Name: "drain_grace", Description: "sends a leaving engine work for longer", Consequence: "an engine ends with work on it",
		offend: func(a, b *Rules) bool { return a.DrainGraceMillis > b.DrainGraceMillis },
		meet:   func(a, b, into *Rules) { into.DrainGraceMillis = min(a.DrainGraceMillis, b.DrainGraceMillis) },
		check:  func(r *Rules) error { return span(r.DrainGraceMillis) }},
	longest("key_rest", "goes on with a key sooner", "two statements of one key run at once",
		func(r *Rules) *int64 { return &r.KeyQuietPeriodMillis }),
	{Name: "may_turn_away", Description: "turns away a workload early", Consequence: "what one router turns away another one keeps: clients go round",
		offend: func(a, b *Rules) bool { return !within(a.SheddableWorkloads, b.SheddableWorkloads) },
		meet:   func(a, b, into *Rules) { into.SheddableWorkloads = both(a.SheddableWorkloads, b.SheddableWorkloads) },
		check:  func(r *Rules) error { return sorted(r.SheddableWorkloads) }},
	{Name: "kept_off", Description: "places a table group on an engine", Consequence: "a load and the reads of its group meet on one engine, and stand still",
		offend: func(a, b *Rules) bool {
			return slices.ContainsFunc(names(a.PlacementExclusions, b.PlacementExclusions), func(n string) bool { return !within(b.PlacementExclusions[n], a.PlacementExclusions[n]) })
		},
		meet: func(a, b, into *Rules) {
			into.PlacementExclusions = joined(a.PlacementExclusions, b.PlacementExclusions, func(n string) ([]string, bool) {
				return either(a.PlacementExclusions[n], b.PlacementExclusions[n]), true
			})
		},
		check: func(r *Rules) error { return lists(r.PlacementExclusions) }},
	{Name: "kinds", Description: "sends a workload to a kind of machine", Consequence: "a statement runs where it must not",
		offend: func(a, b *Rules) bool {
			return slices.ContainsFunc(names(a.AllowedMachineTypes, b.AllowedMachineTypes), func(n string) bool {
				of, bound := b.AllowedMachineTypes[n]
				mine, also := a.AllowedMachineTypes[n]
				return bound && (!also || !within(mine, of))
			})
		},
		meet: func(a, b, into *Rules) {
			into.AllowedMachineTypes = joined(a.AllowedMachineTypes, b.AllowedMachineTypes, func(n string) ([]string, bool) {
				one, ok := a.AllowedMachineTypes[n]
				other, also := b.AllowedMachineTypes[n]
				switch {
				case !ok:
					return other, true
				case !also:
					return one, true
				}
				return both(one, other), true
			})
		},
		check: func(r *Rules) error { return lists(r.AllowedMachineTypes) }},
	{Name: "engines", Description: "sends work to an engine", Consequence: "statements are lost on an engine that drains, or run where nobody looks for them",
		offend: func(a, b *Rules) bool {
			if a.Engines == nil || b.Engines == nil {
				return b.Engines != nil
			}
			return slices.ContainsFunc(names(a.Engines, b.Engines), func(n string) bool {
				x, y := a.Engine(n), b.Engine(n)
				return x.Phase == Active && y.Phase != Active || x.Phase == Draining && y.Phase == Removed ||
					x.Phase != Removed && (x.Address != y.Address || x.Kind != y.Kind || !x.WarmingUp && y.WarmingUp)
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
				e := Engine{Phase: Draining, WarmingUp: x.WarmingUp || y.WarmingUp, Address: x.Address, Kind: x.Kind}
				if x.Phase == Active && y.Phase == Active {
					e.Phase = Active
				}
				return e, x.Phase != Removed && y.Phase != Removed && x.Address == y.Address && x.Kind == y.Kind
			})
		},
		check: func(r *Rules) error {
			at := map[string]string{}
			for _, n := range slices.Sorted(maps.Keys(r.Engines)) {
				e := r.Engines[n]
				switch {
				case n == "" || len(n) > mostName:
					return fmt.Errorf("%q is no name", n)
				case e.Phase != Active && e.Phase != Draining:
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
	return Field{Name: name, Description: words, Consequence: harm,
		offend: func(a, b *Rules) bool { return *of(a) > *of(b) },
		meet:   func(a, b, into *Rules) { *of(into) = min(*of(a), *of(b)) },
		check:  func(r *Rules) error { return amount(*of(r), 0, top) }}
}

// longest is a time of which more is the cautious side.
func longest(name, words, harm string, of func(*Rules) *int64) Field {
	return Field{Name: name, Description: words, Consequence: harm,
		offend: func(a, b *Rules) bool { return *of(a) < *of(b) },
		meet:   func(a, b, into *Rules) { *of(into) = max(*of(a), *of(b)) },
		check:  func(r *Rules) error { return span(*of(r)) }}
}

// Part is a router's part of the fleet's budgets.
func (r *Rules) FleetQuota(router string) float64 {
	if p, named := r.FleetQuotas[router]; named {
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
	return Engine{Phase: Removed}
}

// Offends lists the fields in which who acts on a does what b forbids.
func Conflicts(a, b *Rules) (list []Field) {
	for _, f := range fields {
		if f.offend(a, b) {
			list = append(list, f)
		}
	}
	return list
}

// Meet is the cautious side of two: it permits what both permit.
func Intersect(a, b *Rules) *Rules {
	into := new(Rules)
	for _, f := range fields {
		f.meet(a, b, into)
	}
	return into
}

// Check brings rules into the form in which they are kept (lists sorted, each name once, no engine that has left) and tells
// what is wrong with them; an error names the field.
func (r *Rules) Validate() error {
	r.SheddableWorkloads = tidy(r.SheddableWorkloads)
	r.PlacementExclusions, r.AllowedMachineTypes = tidyLists(r.PlacementExclusions, true), tidyLists(r.AllowedMachineTypes, false)
	for _, m := range []*map[string]float64{&r.FleetQuotas, &r.PriorityWeights, &r.TenantQuotas} {
		if *m == nil {
			*m = map[string]float64{}
		}
	}
	maps.DeleteFunc(r.FleetQuotas, func(_ string, p float64) bool { return p == even(r.Routers) })
	maps.DeleteFunc(r.Engines, func(_ string, e Engine) bool { return e.Phase == Removed })
	for _, m := range []int{len(r.FleetQuotas), len(r.PriorityWeights), len(r.TenantQuotas), len(r.SheddableWorkloads), len(r.PlacementExclusions), len(r.AllowedMachineTypes), len(r.Engines)} {
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
	return r, r.Validate()
}

// Canonical is the one form in which checked rules are written: equal rules, equal bytes.
func (r *Rules) Canonical() []byte {
	raw, err := json.Marshal(r)
	if err != nil { // amounts are finite once they are checked
		panic(err)
	}
	return raw
}
