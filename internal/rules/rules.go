// Package rules defines the part of the configuration on which all routers of a fleet have to agree, reports when two routers that act on
// different rules conflict, and computes the most permissive rules that conflict with neither of two others. It does no I/O and has no
// clock.
//
// The values of every field are ordered by how much they permit. Rules a conflict with rules b in a field if a permits there what b
// forbids; the field describes that conflict and its consequence for users. Intersect(a, b) permits what both permit, so it conflicts
// with neither. A value without such an order can't be a field; a test compares the table of fields with the type.
//
// The design is described in docs/control.md.
package rules

import (
	"encoding/json"
	"fmt"
	"maps"

	"bankledge/internal/strictjson"
)

// Rules are the fleet-wide rules and lists. A name that a map does not hold is handled as each router's local settings say, unless the
// field says otherwise. Fields whose name ends in Millis are durations in milliseconds. The zero value is not valid; see Validate.
type Rules struct {
	// Routers is the number of routers that share the fleet of engines, from 1 to 1,000,000.
	Routers int `json:"routers"`
	// FleetQuotas is the fraction, from 0 to 1, of the fleet's capacity and budgets that a router may use, by router name. A router
	// that is not named gets an equal fraction, 1/Routers.
	FleetQuotas map[string]float64 `json:"parts"`
	// PriorityWeights is the weight of an answer by workload.
	PriorityWeights map[string]float64 `json:"importance"`
	// TenantQuotas is the quota of a tenant in statements per second, summed over all routers.
	TenantQuotas map[string]float64 `json:"shares"`
	// OverQuotaFactor is the factor, from 0 to 1, on the priority weight of statements beyond their tenant's quota.
	OverQuotaFactor float64 `json:"over_importance"`
	// RetryBudgetShare is the retry budget: additional attempts (retries and hedges) per statement in the window.
	RetryBudgetShare float64 `json:"further_share"`
	// RetryBudgetFree is the number of additional attempts per window that are permitted beyond the ratio.
	RetryBudgetFree float64 `json:"further_free"`
	// RetryBudgetWindowMillis is the window of the retry budget; 0 means that there is no budget.
	RetryBudgetWindowMillis int64 `json:"further_window"`
	// HealthChecksPerStatement bounds the health checks that are sent per statement.
	HealthChecksPerStatement float64 `json:"probes"`
	// SlowStartShare is the fraction, from 0 to 1, of its full capacity that an engine is given when it starts.
	SlowStartShare float64 `json:"cold_share"`
	// SlowStartMultiple is the load that a warming engine may be sent, as a multiple of its current capacity.
	SlowStartMultiple float64 `json:"cold_multiple"`
	// WarmAfterMillis is the age at which an engine counts as warm.
	WarmAfterMillis int64 `json:"warm_after"`
	// DrainGraceMillis is how long a draining engine may still be sent work.
	DrainGraceMillis int64 `json:"drain_grace"`
	// KeyQuietPeriodMillis is how long a key is blocked while a statement with it may still be running.
	KeyQuietPeriodMillis int64 `json:"key_rest"`
	// SheddableWorkloads lists, sorted, the workloads of which statements may be rejected early. A statement of another workload is
	// rejected only when its deadline has passed.
	SheddableWorkloads []string `json:"may_turn_away"`
	// PlacementExclusions lists, sorted, the engines on which a table group is not placed, by table group.
	PlacementExclusions map[string][]string `json:"kept_off"`
	// AllowedMachineTypes lists, sorted, the kinds of machine to which a workload is bound; a workload that is not named may use any.
	AllowedMachineTypes map[string][]string `json:"kinds"`
	// Engines is the engine list by engine id. An engine that is not named has been removed. Nil (null) means that only the control
	// feed says which engines there are.
	Engines map[string]Engine `json:"engines"`
}

// Engine is the entry of an engine in the engine list.
type Engine struct {
	Phase     string `json:"phase"`   // Active or Draining; in documents also Removed
	WarmingUp bool   `json:"cold"`    // treated as warming up, whatever its age, until a later version says otherwise
	Address   string `json:"address"` // host:port; no two engines have the same one
	Kind      string `json:"kind"`    // of machine
}

// Values of Engine.Phase.
const (
	Active   = "active"
	Draining = "leaving"
	Removed  = "left" // Validate drops such entries
)

// FleetQuota returns the fraction of the fleet's capacity and budgets that a router may use.
func (r *Rules) FleetQuota(router string) float64 {
	if quota, named := r.FleetQuotas[router]; named {
		return quota
	}
	return equalQuota(r.Routers)
}

func equalQuota(routers int) float64 { return 1 / float64(max(1, routers)) }

// Engine returns the entry of an engine; one that is not listed has been removed.
func (r *Rules) Engine(id string) Engine {
	if engine, listed := r.Engines[id]; listed {
		return engine
	}
	return Engine{Phase: Removed}
}

// FieldError is the error of Validate for one field.
type FieldError struct {
	Field string // as in a document
	Err   error
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *FieldError) Unwrap() error { return e.Err }

// Validate normalizes the rules in place (lists are sorted without duplicates, removed engines and quotas equal to the default are
// dropped) and returns a *FieldError for the first field that is not valid, or an error if a map or list has too many entries.
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
	r.PlacementExclusions = withoutEmptyLists(sortedUniqueLists(r.PlacementExclusions)) // to exclude nothing is the default
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

// Parse reads rules from JSON and validates them. An unknown field is an error: it would be a rule that no router follows.
func Parse(raw []byte) (*Rules, error) {
	r := new(Rules)
	if err := strictjson.Decode(raw, r); err != nil {
		return nil, fmt.Errorf("rules: %w", err)
	}
	return r, r.Validate()
}

// Canonical returns the encoding of valid rules that is stored and hashed: equal rules give equal bytes.
func (r *Rules) Canonical() []byte {
	raw, err := json.Marshal(r)
	if err != nil { // valid amounts are finite, so this is a programming error
		panic(err)
	}
	return raw
}
