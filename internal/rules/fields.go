package rules

import (
	"fmt"
	"maps"
	"slices"
)

// Names of the fields that list engines or restrict which engines may be used.
const (
	FieldPlacementExclusions = "kept_off"
	FieldAllowedMachineTypes = "kinds"
	FieldEngines             = "engines"
)

// Consequences that apply to several fields.
const (
	consequenceOverload       = "the parts of all come to more than the whole: engines are overrun"
	consequenceUnevenShedding = "what one router turns away another one keeps: clients go round"
	consequenceRetryStorm     = "work that is repeated fills engines that are full already"
	consequenceColdOverload   = "a cold engine is sent more than it bears, and falls over"
)

// fields describes all fields of Rules, in the order of their declaration. Conflicts and errors are reported in this order.
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
		conflicts:   func(a, b *Rules) bool { return exceedsAnyBound(a.PriorityWeights, b.PriorityWeights) },
		intersect:   func(a, b, result *Rules) { result.PriorityWeights = minByName(a.PriorityWeights, b.PriorityWeights) },
		check:       func(r *Rules) error { return checkAmounts(r.PriorityWeights, 0, 1e9) },
	},
	{
		Name:        "shares",
		Description: "gives a member group a larger share",
		Consequence: "a member group gets more than it is due, at the others' cost",
		conflicts:   func(a, b *Rules) bool { return exceedsAnyBound(a.TenantQuotas, b.TenantQuotas) },
		intersect:   func(a, b, result *Rules) { result.TenantQuotas = minByName(a.TenantQuotas, b.TenantQuotas) },
		check:       func(r *Rules) error { return checkAmounts(r.TenantQuotas, 0, 1e9) },
	},
	upperBoundField("over_importance", "holds what is beyond a share to be more important", "a member group beyond its share crowds out the others",
		1, func(r *Rules) *float64 { return &r.OverQuotaFactor }),
	upperBoundField("further_share", "allows itself more further executions", consequenceRetryStorm,
		10, func(r *Rules) *float64 { return &r.RetryBudgetShare }),
	upperBoundField("further_free", "allows itself more further executions", consequenceRetryStorm,
		1e9, func(r *Rules) *float64 { return &r.RetryBudgetFree }),
	lowerBoundField("further_window", "counts its further executions over a shorter time", consequenceRetryStorm,
		maxMillis, func(r *Rules) *int64 { return &r.RetryBudgetWindowMillis }),
	upperBoundField("probes", "allows itself more probes", "engines are busy answering probes",
		1e6, func(r *Rules) *float64 { return &r.HealthChecksPerStatement }),
	upperBoundField("cold_share", "counts on a larger part of a cold engine", consequenceColdOverload,
		1, func(r *Rules) *float64 { return &r.SlowStartShare }),
	upperBoundField("cold_multiple", "sends a cold engine more", consequenceColdOverload,
		1e6, func(r *Rules) *float64 { return &r.SlowStartMultiple }),
	lowerBoundField("warm_after", "takes an engine for warm sooner", consequenceColdOverload,
		maxMillis, func(r *Rules) *int64 { return &r.SlowStartDurationMillis }),
	upperBoundField("drain_grace", "sends a leaving engine work for longer", "an engine ends with work on it",
		maxMillis, func(r *Rules) *int64 { return &r.DrainGraceMillis }),
	lowerBoundField("key_rest", "goes on with a key sooner", "two statements of one key run at once",
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
		check:       func(r *Rules) error { return checkNameLists(r.PlacementExclusions) },
	},
	{
		Name:        FieldAllowedMachineTypes,
		Description: "sends a workload to a kind of machine",
		Consequence: "a statement runs where it must not",
		conflicts:   allowedMachineTypesConflict,
		intersect:   intersectAllowedMachineTypes,
		check:       func(r *Rules) error { return checkNameLists(r.AllowedMachineTypes) },
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

// upperBoundField returns the Field of an upper bound, a number from 0 to limit: the lower of two values is the more restrictive one.
func upperBoundField[T int64 | float64](name, description, consequence string, limit float64, value func(*Rules) *T) Field {
	return Field{
		Name:        name,
		Description: description,
		Consequence: consequence,
		conflicts:   func(a, b *Rules) bool { return *value(a) > *value(b) },
		intersect:   func(a, b, result *Rules) { *value(result) = min(*value(a), *value(b)) },
		check:       func(r *Rules) error { return checkAmount(float64(*value(r)), 0, limit) },
	}
}

// lowerBoundField returns the Field of a lower bound, a number from 0 to limit: the higher of two values is the more restrictive one.
func lowerBoundField[T int64 | float64](name, description, consequence string, limit float64, value func(*Rules) *T) Field {
	return Field{
		Name:        name,
		Description: description,
		Consequence: consequence,
		conflicts:   func(a, b *Rules) bool { return *value(a) < *value(b) },
		intersect:   func(a, b, result *Rules) { *value(result) = max(*value(a), *value(b)) },
		check:       func(r *Rules) error { return checkAmount(float64(*value(r)), 0, limit) },
	}
}

// MaxRouters is the highest valid value of Rules.Routers.
const MaxRouters = 1_000_000

func checkRouters(r *Rules) error {
	if r.Routers < 1 || r.Routers > MaxRouters {
		return fmt.Errorf("%d is not from 1 to 1,000,000", r.Routers)
	}
	return nil
}

func fleetQuotasConflict(a, b *Rules) bool {
	return slices.ContainsFunc(unionOfKeys(a.FleetQuotas, b.FleetQuotas), func(router string) bool {
		return a.FleetQuota(router) > b.FleetQuota(router)
	})
}

// intersectFleetQuotas omits quotas that equal the default quota of the result, as Validate does.
func intersectFleetQuotas(a, b, result *Rules) {
	defaultQuota := equalQuota(max(a.Routers, b.Routers))
	result.FleetQuotas = mergeMaps(a.FleetQuotas, b.FleetQuotas, func(router string) (float64, bool) {
		quota := min(a.FleetQuota(router), b.FleetQuota(router))
		return quota, quota != defaultQuota
	})
}

// quotaTolerance is how far the sum of all quotas may exceed 1, to allow for rounding errors.
const quotaTolerance = 1e-9

// checkFleetQuotas checks that the quotas of all routers, including the default quotas of unnamed routers, add up to at most 1. They are
// added in the order of the router names: rounding depends on the order, and all replicas of the control group have to get the same result.
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
	return slices.ContainsFunc(unionOfKeys(a.PlacementExclusions, b.PlacementExclusions), func(tableGroup string) bool {
		return !subset(b.PlacementExclusions[tableGroup], a.PlacementExclusions[tableGroup])
	})
}

func intersectPlacementExclusions(a, b, result *Rules) {
	result.PlacementExclusions = mergeMaps(a.PlacementExclusions, b.PlacementExclusions, func(tableGroup string) ([]string, bool) {
		return union(a.PlacementExclusions[tableGroup], b.PlacementExclusions[tableGroup]), true
	})
}

func allowedMachineTypesConflict(a, b *Rules) bool {
	return slices.ContainsFunc(unionOfKeys(a.AllowedMachineTypes, b.AllowedMachineTypes), func(workload string) bool {
		allowedByB, restrictedByB := b.AllowedMachineTypes[workload]
		if !restrictedByB {
			return false
		}
		allowedByA, restrictedByA := a.AllowedMachineTypes[workload]
		return !restrictedByA || !subset(allowedByA, allowedByB)
	})
}

func intersectAllowedMachineTypes(a, b, result *Rules) {
	result.AllowedMachineTypes = mergeMaps(a.AllowedMachineTypes, b.AllowedMachineTypes, func(workload string) ([]string, bool) {
		allowedByA, restrictedByA := a.AllowedMachineTypes[workload]
		allowedByB, restrictedByB := b.AllowedMachineTypes[workload]
		switch {
		case !restrictedByA:
			return allowedByB, true
		case !restrictedByB:
			return allowedByA, true
		}
		return intersection(allowedByA, allowedByB), true
	})
}

func enginesConflict(a, b *Rules) bool {
	if a.Engines == nil || b.Engines == nil {
		return b.Engines != nil
	}
	return slices.ContainsFunc(unionOfKeys(a.Engines, b.Engines), func(id string) bool {
		return engineConflicts(a.Engine(id), b.Engine(id))
	})
}

// engineConflicts reports whether entry a permits sending work to an engine that entry b forbids.
func engineConflicts(a, b Engine) bool {
	switch {
	case a.Phase == Active && b.Phase != Active:
		return true
	case a.Phase == Draining && b.Phase == Removed:
		return true
	case a.Phase == Removed:
		return false
	}
	return a.Address != b.Address || a.MachineType != b.MachineType || !a.WarmingUp && b.WarmingUp
}

func intersectEngines(a, b, result *Rules) {
	switch {
	case a.Engines == nil:
		result.Engines = maps.Clone(b.Engines)
	case b.Engines == nil:
		result.Engines = maps.Clone(a.Engines)
	default:
		result.Engines = mergeMaps(a.Engines, b.Engines, func(id string) (Engine, bool) {
			return intersectEngine(a.Engine(id), b.Engine(id))
		})
	}
}

// intersectEngine returns the entry that permits exactly what a and b permit. It returns false if they permit nothing in common: the engine
// is removed in one of them, or the addresses or machine types differ.
func intersectEngine(a, b Engine) (Engine, bool) {
	result := Engine{Phase: Draining, WarmingUp: a.WarmingUp || b.WarmingUp, Address: a.Address, MachineType: a.MachineType}
	if a.Phase == Active && b.Phase == Active {
		result.Phase = Active
	}
	listed := a.Phase != Removed && b.Phase != Removed
	return result, listed && a.Address == b.Address && a.MachineType == b.MachineType
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
