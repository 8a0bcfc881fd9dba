// Package rules defines the fleet-wide rules: the part of the configuration on which all routers of a fleet have to agree. It reports in
// which fields two versions of the rules conflict, and computes their intersection: the most permissive rules that conflict with neither.
// The package does no I/O and reads no clock.
//
// The values of every field are partially ordered by how much they permit. Rules a conflict with rules b in a field if a permits something
// that b forbids; the Field describes this conflict and its consequence for users. Intersect(a, b) permits exactly what both permit, so it
// conflicts with neither. A setting whose values have no such order can't be part of Rules. A test checks that the table of fields covers
// every field of Rules.
//
// The design is described in docs/control.md.
package rules

import (
	"encoding/json"
	"fmt"
	"maps"

	"bankledge/internal/strictjson"
)

// Rules are the fleet-wide rules, including the engine list. If a map has no entry for a name, each router applies its local settings to
// that name, unless the field's comment says otherwise. Fields whose names end in Millis are durations in milliseconds. The zero value is
// invalid; see Validate.
type Rules struct {
	// Routers is the number of routers that share the fleet of engines, from 1 to 1,000,000.
	Routers int `json:"routers"`
	// FleetQuotas is the fraction, from 0 to 1, of the fleet's capacity and budgets that a router may use, by router name. A router
	// without an entry gets an equal fraction, 1/Routers.
	FleetQuotas map[string]float64 `json:"parts"`
	// PriorityWeights is the weight of an answered statement relative to those of other workloads, by workload.
	PriorityWeights map[string]float64 `json:"importance"`
	// TenantQuotas is the quota in statements per second, over all routers together, by tenant.
	TenantQuotas map[string]float64 `json:"shares"`
	// OverQuotaFactor is the factor, from 0 to 1, by which the priority weight of statements beyond their tenant's quota is multiplied.
	OverQuotaFactor float64 `json:"over_importance"`
	// RetryBudgetShare is the number of additional attempts (retries and hedges) per statement that the retry budget permits in its window.
	RetryBudgetShare float64 `json:"further_share"`
	// RetryBudgetFree is the number of additional attempts per window that are permitted on top of RetryBudgetShare.
	RetryBudgetFree float64 `json:"further_free"`
	// RetryBudgetWindowMillis is the window of the retry budget; 0 means that additional attempts are not limited.
	RetryBudgetWindowMillis int64 `json:"further_window"`
	// HealthChecksPerStatement is the maximum number of health checks per statement.
	HealthChecksPerStatement float64 `json:"probes"`
	// SlowStartShare is the fraction, from 0 to 1, of its full capacity that an engine is assumed to have when it starts.
	SlowStartShare float64 `json:"cold_share"`
	// SlowStartMultiple is the maximum load that may be sent to an engine while it warms up, as a multiple of its current capacity.
	SlowStartMultiple float64 `json:"cold_multiple"`
	// SlowStartDurationMillis is the age from which an engine is no longer treated as warming up.
	SlowStartDurationMillis int64 `json:"warm_after"`
	// DrainGraceMillis is how long work may still be sent to a draining engine.
	DrainGraceMillis int64 `json:"drain_grace"`
	// KeyQuietPeriodMillis is how long a key stays blocked if an earlier statement with this key may still be running.
	KeyQuietPeriodMillis int64 `json:"key_rest"`
	// SheddableWorkloads is the sorted list of workloads whose statements may be rejected early. Statements of other workloads are
	// rejected only after their deadline.
	SheddableWorkloads []string `json:"may_turn_away"`
	// PlacementExclusions holds, by table group, the sorted list of engines on which the group must not be placed.
	PlacementExclusions map[string][]string `json:"kept_off"`
	// AllowedMachineTypes holds, by workload, the sorted list of machine types that the workload may use. A workload without an entry may
	// use any machine type.
	AllowedMachineTypes map[string][]string `json:"kinds"`
	// Engines is the engine list, by engine ID. An engine without an entry has been removed. Nil (null in JSON) means that the rules
	// contain no engine list; routers then use the engines of the control feed.
	Engines map[string]Engine `json:"engines"`
}

// Engine is an entry of the engine list.
type Engine struct {
	Phase       string `json:"phase"`   // Active or Draining; Removed is accepted as input
	WarmingUp   bool   `json:"cold"`    // treat the engine as warming up, regardless of its age, until a later version clears the flag
	Address     string `json:"address"` // host:port, unique in the list
	MachineType string `json:"kind"`    // machine type
}

// Values of Engine.Phase.
const (
	Active   = "active"
	Draining = "leaving"
	Removed  = "left" // Validate deletes these entries
)

// FleetQuota returns the fraction of the fleet's capacity and budgets that the named router may use.
func (r *Rules) FleetQuota(router string) float64 {
	if quota, named := r.FleetQuotas[router]; named {
		return quota
	}
	return equalQuota(r.Routers)
}

// equalQuota returns the default quota, which is the same for each of the fleet's routers.
func equalQuota(routers int) float64 { return 1 / float64(max(1, routers)) }

// Engine returns the entry of an engine. For an engine that is not listed, it returns an entry in phase Removed.
func (r *Rules) Engine(id string) Engine {
	if engine, listed := r.Engines[id]; listed {
		return engine
	}
	return Engine{Phase: Removed}
}

// FieldError is returned by Validate for an invalid field.
type FieldError struct {
	Field string // JSON key
	Err   error
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the error without the field name.
func (e *FieldError) Unwrap() error { return e.Err }

// Validate normalizes the rules in place: it sorts lists, removes duplicates, and deletes removed engines, empty placement exclusions and
// quotas equal to the default. It returns a *FieldError for the first invalid field, or another error if a map or list has too many
// entries.
func (r *Rules) Validate() error {
	r.normalize()
	if err := r.checkSizes(); err != nil {
		return err
	}
	for _, f := range fields {
		if err := f.check(r); err != nil {
			return &FieldError{Field: f.Name, Err: err}
		}
	}
	return nil
}

func (r *Rules) normalize() {
	r.SheddableWorkloads = sortedUnique(r.SheddableWorkloads)
	r.PlacementExclusions = withoutEmptyLists(sortedUniqueLists(r.PlacementExclusions)) // an empty list equals no entry
	r.AllowedMachineTypes = sortedUniqueLists(r.AllowedMachineTypes)
	for _, m := range []*map[string]float64{&r.FleetQuotas, &r.PriorityWeights, &r.TenantQuotas} {
		if *m == nil {
			*m = map[string]float64{}
		}
	}
	maps.DeleteFunc(r.FleetQuotas, func(_ string, quota float64) bool { return quota == equalQuota(r.Routers) })
	maps.DeleteFunc(r.Engines, func(_ string, engine Engine) bool { return engine.Phase == Removed })
}

func (r *Rules) checkSizes() error {
	sizes := []int{
		len(r.FleetQuotas),
		len(r.PriorityWeights),
		len(r.TenantQuotas),
		len(r.SheddableWorkloads),
		len(r.PlacementExclusions),
		len(r.AllowedMachineTypes),
		len(r.Engines),
	}
	for _, size := range sizes {
		if size > maxEntries {
			return fmt.Errorf("rules: a list of %d, over %d", size, maxEntries)
		}
	}
	return nil
}

// Parse decodes rules from JSON and validates them. An unknown field is an error, because it would be a rule that no router follows.
func Parse(raw []byte) (*Rules, error) {
	r := new(Rules)
	if err := strictjson.Decode(raw, r); err != nil {
		return nil, fmt.Errorf("rules: %w", err)
	}
	return r, r.Validate()
}

// Canonical returns the JSON encoding of valid rules that is stored and hashed. Equal rules have equal encodings.
func (r *Rules) Canonical() []byte {
	raw, err := json.Marshal(r)
	if err != nil { // programming error: the numbers in valid rules are finite
		panic(err)
	}
	return raw
}
