package rules

import (
	"fmt"
	"maps"
	"slices"
)

// Names of the fields that list engines or choose among them.
const (
	FieldPlacementExclusions = "kept_off"
	FieldAllowedMachineTypes = "kinds"
	FieldEngines             = "engines"
)

// Consequences that several fields have in common.
const (
	consequenceOverload       = "the parts of all come to more than the whole: engines are overrun"
	consequenceUnevenShedding = "what one router turns away another one keeps: clients go round"
	consequenceRetryStorm     = "work that is repeated fills engines that are full already"
	consequenceColdOverload   = "a cold engine is sent more than it bears, and falls over"
)

// fields lists all fields of Rules, in the order of the type. Conflicts and errors are reported in this order.
var fields = []Field{
	{
		Name:        "routers",
		Description: "counts on fewer routers beside it",
		Consequence: consequenceOverload,
		conflicts:   func(a, b *Rules) bool { return a.Routers < b.Routers },
		intersect:   func(a, b, result *Rules) { result.Routers = max(a.Routers, b.Routers) },
		check:       checkRouters,
	},
	{
		Name:        "parts",
		Description: "takes a larger part of the fleet's budgets",
		Consequence: consequenceOverload,
		conflicts:   fleetQuotasConflict,
		intersect:   intersectFleetQuotas,
		check:       checkFleetQuotas,
	},
	{
		Name:        "importance",
		Description: "holds a workload to be more important",
		Consequence: consequenceUnevenShedding,
		conflicts:   func(a, b *Rules) bool { return anyAbove(a.PriorityWeights, b.PriorityWeights) },
		intersect:   func(a, b, result *Rules) { result.PriorityWeights = lowerOf(a.PriorityWeights, b.PriorityWeights) },
		check:       func(r *Rules) error { return checkAmounts(r.PriorityWeights, 0, 1e9) },
	},
	{
		Name:        "shares",
		Description: "gives a member group a larger share",
		Consequence: "a member group gets more than it is due, at the others' cost",
		conflicts:   func(a, b *Rules) bool { return anyAbove(a.TenantQuotas, b.TenantQuotas) },
		intersect:   func(a, b, result *Rules) { result.TenantQuotas = lowerOf(a.TenantQuotas, b.TenantQuotas) },
		check:       func(r *Rules) error { return checkAmounts(r.TenantQuotas, 0, 1e9) },
	},
	upperBound("over_importance", "holds what is beyond a share to be more important", "a member group beyond its share crowds out the others",
		1, func(r *Rules) *float64 { return &r.OverQuotaFactor }),
	upperBound("further_share", "allows itself more further executions", consequenceRetryStorm,
		10, func(r *Rules) *float64 { return &r.RetryBudgetShare }),
	upperBound("further_free", "allows itself more further executions", consequenceRetryStorm,
		1e9, func(r *Rules) *float64 { return &r.RetryBudgetFree }),
	lowerBound("further_window", "counts its further executions over a shorter time", consequenceRetryStorm,
		maxMillis, func(r *Rules) *int64 { return &r.RetryBudgetWindowMillis }),
	upperBound("probes", "allows itself more probes", "engines are busy answering probes",
		1e6, func(r *Rules) *float64 { return &r.HealthChecksPerStatement }),
	upperBound("cold_share", "counts on a larger part of a cold engine", consequenceColdOverload,
		1, func(r *Rules) *float64 { return &r.SlowStartShare }),
	upperBound("cold_multiple", "sends a cold engine more", consequenceColdOverload,
		1e6, func(r *Rules) *float64 { return &r.SlowStartMultiple }),
	lowerBound("warm_after", "takes an engine for warm sooner", consequenceColdOverload,
		maxMillis, func(r *Rules) *int64 { return &r.WarmAfterMillis }),
	upperBound("drain_grace", "sends a leaving engine work for longer", "an engine ends with work on it",
		maxMillis, func(r *Rules) *int64 { return &r.DrainGraceMillis }),
	lowerBound("key_rest", "goes on with a key sooner", "two statements of one key run at once",
		maxMillis, func(r *Rules) *int64 { return &r.KeyQuietPeriodMillis }),
	{
		Name:        "may_turn_away",
		Description: "turns away a workload early",
		Consequence: consequenceUnevenShedding,
		conflicts:   func(a, b *Rules) bool { return !subset(a.SheddableWorkloads, b.SheddableWorkloads) },
		intersect: func(a, b, result *Rules) {
			result.SheddableWorkloads = intersection(a.SheddableWorkloads, b.SheddableWorkloads)
		},
		check: func(r *Rules) error { return checkNames(r.SheddableWorkloads) },
	},
	{
		Name:        FieldPlacementExclusions,
		Description: "places a table group on an engine",
		Consequence: "a load and the reads of its group meet on one engine, and stand still",
		conflicts:   placementExclusionsConflict,
		intersect:   intersectPlacementExclusions,
		check:       func(r *Rules) error { return checkLists(r.PlacementExclusions) },
	},
	{
		Name:        FieldAllowedMachineTypes,
		Description: "sends a workload to a kind of machine",
		Consequence: "a statement runs where it must not",
		conflicts:   allowedMachineTypesConflict,
		intersect:   intersectAllowedMachineTypes,
		check:       func(r *Rules) error { return checkLists(r.AllowedMachineTypes) },
	},
	{
		Name:        FieldEngines,
		Description: "sends work to an engine",
		Consequence: "statements are lost on an engine that drains, or run where nobody looks for them",
		conflicts:   enginesConflict,
		intersect:   intersectEngines,
		check:       checkEngines,
	},
}

// upperBound describes an amount from 0 to limit of which the lower one is more restrictive.
func upperBound[T int64 | float64](name, description, consequence string, limit float64, value func(*Rules) *T) Field {
	return Field{
		Name:        name,
		Description: description,
		Consequence: consequence,
		conflicts:   func(a, b *Rules) bool { return *value(a) > *value(b) },
		intersect:   func(a, b, result *Rules) { *value(result) = min(*value(a), *value(b)) },
		check:       func(r *Rules) error { return checkAmount(float64(*value(r)), 0, limit) },
	}
}

// lowerBound describes an amount from 0 to limit of which the higher one is more restrictive.
func lowerBound[T int64 | float64](name, description, consequence string, limit float64, value func(*Rules) *T) Field {
	return Field{
		Name:        name,
		Description: description,
		Consequence: consequence,
		conflicts:   func(a, b *Rules) bool { return *value(a) < *value(b) },
		intersect:   func(a, b, result *Rules) { *value(result) = max(*value(a), *value(b)) },
		check:       func(r *Rules) error { return checkAmount(float64(*value(r)), 0, limit) },
	}
}

// MaxRouters is the largest value of Rules.Routers.
const MaxRouters = 1_000_000

func checkRouters(r *Rules) error {
	if r.Routers < 1 || r.Routers > MaxRouters {
		return fmt.Errorf("%d is not from 1 to 1,000,000", r.Routers)
	}
	return nil
}

func fleetQuotasConflict(a, b *Rules) bool {
	return slices.ContainsFunc(namesOf(a.FleetQuotas, b.FleetQuotas), func(router string) bool {
		return a.FleetQuota(router) > b.FleetQuota(router)
	})
}

// intersectFleetQuotas leaves out quotas that equal the default of the result, as Validate does.
func intersectFleetQuotas(a, b, result *Rules) {
	defaultQuota := equalQuota(max(a.Routers, b.Routers))
	result.FleetQuotas = merge(a.FleetQuotas, b.FleetQuotas, func(router string) (float64, bool) {
		quota := min(a.FleetQuota(router), b.FleetQuota(router))
		return quota, quota != defaultQuota
	})
}

// quotaTolerance is how far the sum of all quotas may exceed 1, for rounding.
const quotaTolerance = 1e-9

// checkFleetQuotas checks that the quotas of all routers, unnamed ones included, do not exceed the fleet. They are summed in the order of
// the names: the sum's rounding depends on the order, and all replicas of the control group have to find the same.
func checkFleetQuotas(r *Rules) error {
	sum := 0.0
	for _, router := range slices.Sorted(maps.Keys(r.FleetQuotas)) {
		sum += r.FleetQuotas[router]
	}
	if unnamed := r.Routers - len(r.FleetQuotas); unnamed > 0 && r.Routers > 0 {
		sum += float64(unnamed) / float64(r.Routers)
	}
	if sum > 1+quotaTolerance {
		return fmt.Errorf("all together come to %.3f, which is over 1", sum)
	}
	return checkAmounts(r.FleetQuotas, 0, 1)
}

func placementExclusionsConflict(a, b *Rules) bool {
	return slices.ContainsFunc(namesOf(a.PlacementExclusions, b.PlacementExclusions), func(tableGroup string) bool {
		return !subset(b.PlacementExclusions[tableGroup], a.PlacementExclusions[tableGroup])
	})
}

func intersectPlacementExclusions(a, b, result *Rules) {
	result.PlacementExclusions = merge(a.PlacementExclusions, b.PlacementExclusions, func(tableGroup string) ([]string, bool) {
		return union(a.PlacementExclusions[tableGroup], b.PlacementExclusions[tableGroup]), true
	})
}

func allowedMachineTypesConflict(a, b *Rules) bool {
	return slices.ContainsFunc(namesOf(a.AllowedMachineTypes, b.AllowedMachineTypes), func(workload string) bool {
		allowedByB, boundByB := b.AllowedMachineTypes[workload]
		if !boundByB {
			return false
		}
		allowedByA, boundByA := a.AllowedMachineTypes[workload]
		return !boundByA || !subset(allowedByA, allowedByB)
	})
}

func intersectAllowedMachineTypes(a, b, result *Rules) {
	result.AllowedMachineTypes = merge(a.AllowedMachineTypes, b.AllowedMachineTypes, func(workload string) ([]string, bool) {
		allowedByA, boundByA := a.AllowedMachineTypes[workload]
		allowedByB, boundByB := b.AllowedMachineTypes[workload]
		switch {
		case !boundByA:
			return allowedByB, true
		case !boundByB:
			return allowedByA, true
		}
		return intersection(allowedByA, allowedByB), true
	})
}

func enginesConflict(a, b *Rules) bool {
	if a.Engines == nil || b.Engines == nil {
		return b.Engines != nil
	}
	return slices.ContainsFunc(namesOf(a.Engines, b.Engines), func(id string) bool {
		return engineConflicts(a.Engine(id), b.Engine(id))
	})
}

// engineConflicts reports whether a router that acts on entry a sends an engine work that entry b forbids.
func engineConflicts(a, b Engine) bool {
	switch {
	case a.Phase == Active && b.Phase != Active:
		return true
	case a.Phase == Draining && b.Phase == Removed:
		return true
	case a.Phase == Removed:
		return false
	}
	return a.Address != b.Address || a.Kind != b.Kind || !a.WarmingUp && b.WarmingUp
}

func intersectEngines(a, b, result *Rules) {
	switch {
	case a.Engines == nil:
		result.Engines = maps.Clone(b.Engines)
	case b.Engines == nil:
		result.Engines = maps.Clone(a.Engines)
	default:
		result.Engines = merge(a.Engines, b.Engines, func(id string) (Engine, bool) {
			return intersectEngine(a.Engine(id), b.Engine(id))
		})
	}
}

// intersectEngine returns the entry that permits what both permit, or false if that is nothing: the engine is listed in one only, or
// the two entries name different machines.
func intersectEngine(a, b Engine) (Engine, bool) {
	result := Engine{Phase: Draining, WarmingUp: a.WarmingUp || b.WarmingUp, Address: a.Address, Kind: a.Kind}
	if a.Phase == Active && b.Phase == Active {
		result.Phase = Active
	}
	listed := a.Phase != Removed && b.Phase != Removed
	return result, listed && a.Address == b.Address && a.Kind == b.Kind
}

func checkEngines(r *Rules) error {
	idByAddress := map[string]string{}
	for _, id := range slices.Sorted(maps.Keys(r.Engines)) {
		engine := r.Engines[id]
		switch {
		case !validName(id):
			return fmt.Errorf("%q is no name", id)
		case engine.Phase != Active && engine.Phase != Draining:
			return fmt.Errorf("%s: phase: %q is none", id, engine.Phase)
		case !validName(engine.Address):
			return fmt.Errorf("%s: address: missing", id)
		case idByAddress[engine.Address] != "":
			return fmt.Errorf("%s: address: %s has it, too", id, idByAddress[engine.Address])
		}
		idByAddress[engine.Address] = id
	}
	return nil
}
