package configversion

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"bankledge/internal/rules"
)

// Guards bound what one version may change. An author can override each guard by its name.
type Guards struct {
	// MaxRemovedShare is the fraction, from 0 to 1, of the active engines that one version may remove or drain. Its key in stored
	// snapshots is the name that the field once had.
	MaxRemovedShare float64 `json:"MostGone"`
}

// Names of the guards, as an author gives them to override one.
const (
	GuardAllEngines       = "all-engines"        // no engine would be active
	GuardShareOfEngines   = "share-of-engines"   // more engines would be removed at once than MaxRemovedShare
	GuardKind             = "kind"               // no active engine would be of a kind that a workload is bound to
	GuardPlacement        = "placement"          // a table group would be excluded from every active engine
	GuardNothingInBetween = "nothing-in-between" // no engine is active both before and after
	GuardFloor            = "floor"              // it would forbid what routers without a lease may rely on
)

// GuardNames lists the guards.
func GuardNames() []string {
	return []string{GuardAllEngines, GuardShareOfEngines, GuardKind, GuardPlacement, GuardNothingInBetween, GuardFloor}
}

// CheckGuardNames returns an error for the first name that is not the name of a guard.
func CheckGuardNames(names []string) error {
	for _, name := range names {
		if !slices.Contains(GuardNames(), name) {
			return fmt.Errorf("forced: %q is no guard: %s", name, strings.Join(GuardNames(), ", "))
		}
	}
	return nil
}

// Violation is a guard that rejects a version, with the reason.
type Violation struct{ Guard, Message string }

// GuardError is returned for a version that guards reject.
type GuardError struct{ Violations []Violation }

func (e *GuardError) Error() string {
	messages := make([]string, 0, len(e.Violations))
	for _, v := range e.Violations {
		messages = append(messages, v.Message+" (force it by the name "+v.Guard+")")
	}
	return strings.Join(messages, "; ")
}

// Check returns a *GuardError if Violations finds any.
func (g Guards) Check(previous, floor, next *rules.Rules, forced []string) error {
	violations := g.Violations(previous, floor, next, forced)
	if len(violations) == 0 {
		return nil
	}
	return &GuardError{Violations: violations}
}

// Violations returns the guards that a change of rules violates and that are not forced. The previous rules are nil for the first
// version. The floor is the first version of the lineage, on which routers without a lease may rely; nil means that there is none yet.
func (g Guards) Violations(previous, floor, next *rules.Rules, forced []string) []Violation {
	violations := slices.Concat(
		g.checkEngineList(previous, next),
		checkOverlap(previous, next),
		checkFloor(floor, next),
	)
	return slices.DeleteFunc(violations, func(v Violation) bool { return slices.Contains(forced, v.Guard) })
}

// checkEngineList applies the guards that look at the engine list of the new version, if it has one.
func (g Guards) checkEngineList(previous, next *rules.Rules) []Violation {
	if next.Engines == nil {
		return nil
	}
	var violations []Violation
	active := countActive(next, anyEngine)
	if active == 0 {
		violations = append(violations, Violation{GuardAllEngines, "no engine is active"})
	}
	violations = append(violations, g.checkRemovedShare(previous, next)...)
	for _, workload := range slices.Sorted(maps.Keys(next.AllowedMachineTypes)) {
		allowed := countActive(next, func(_ string, e rules.Engine) bool {
			return slices.Contains(next.AllowedMachineTypes[workload], e.Kind)
		})
		if allowed == 0 {
			violations = append(violations, Violation{GuardKind, fmt.Sprintf("no active engine is of a kind that %s is bound to", workload)})
		}
	}
	for _, tableGroup := range slices.Sorted(maps.Keys(next.PlacementExclusions)) {
		eligible := countActive(next, func(id string, _ rules.Engine) bool {
			return !slices.Contains(next.PlacementExclusions[tableGroup], id)
		})
		if eligible == 0 && active > 0 {
			violations = append(violations, Violation{GuardPlacement, fmt.Sprintf("table group %s is kept off every active engine", tableGroup)})
		}
	}
	return violations
}

func (g Guards) checkRemovedShare(previous, next *rules.Rules) []Violation {
	if previous == nil || previous.Engines == nil {
		return nil
	}
	active := countActive(previous, anyEngine)
	removed := countActive(previous, func(id string, _ rules.Engine) bool {
		return next.Engine(id).Phase != rules.Active
	})
	if float64(removed)/float64(max(1, active)) <= g.MaxRemovedShare {
		return nil
	}
	message := fmt.Sprintf("%d of %d active engines go at once, over a share of %v", removed, active, g.MaxRemovedShare)
	return []Violation{{GuardShareOfEngines, message}}
}

// checkOverlap rejects a change during which routers, acting on the intersection of both versions, would have no engine.
func checkOverlap(previous, next *rules.Rules) []Violation {
	if previous == nil || previous.Engines == nil || next.Engines == nil {
		return nil
	}
	if countActive(previous, anyEngine) == 0 || countActive(next, anyEngine) == 0 {
		return nil
	}
	if countActive(rules.Intersect(previous, next), anyEngine) > 0 {
		return nil
	}
	return []Violation{{GuardNothingInBetween, "no engine is active before and after: between the two, routers would have none"}}
}

// checkFloor rejects a version that forbids what the floor permits. Lists of engines are not covered: see docs/control.md, "What is
// not promised".
func checkFloor(floor, next *rules.Rules) []Violation {
	if floor == nil {
		return nil
	}
	var forbidden []string
	for _, field := range rules.Conflicts(floor, next) {
		switch field.Name {
		case rules.FieldEngines, rules.FieldPlacementExclusions, rules.FieldAllowedMachineTypes:
		default:
			forbidden = append(forbidden, field.Name)
		}
	}
	if len(forbidden) == 0 {
		return nil
	}
	message := "it forbids what the first version of the lineage permits, and routers without a term count on: " + strings.Join(forbidden, ", ")
	return []Violation{{GuardFloor, message}}
}

func anyEngine(string, rules.Engine) bool { return true }

func countActive(r *rules.Rules, matches func(id string, engine rules.Engine) bool) int {
	count := 0
	for id, engine := range r.Engines {
		if engine.Phase == rules.Active && matches(id, engine) {
			count++
		}
	}
	return count
}
