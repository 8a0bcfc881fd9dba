package configversion

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"bankledge/internal/rules"
)

// Guards reject versions that are likely mistakes. The author of a version can override each guard by its name.
type Guards struct {
	// MaxRemovedShare is the fraction, from 0 to 1, of the active engines that one version may remove or drain. The JSON key is the
	// former name of the field; stored snapshots contain it.
	MaxRemovedShare float64 `json:"MostGone"`
}

// Names of the guards, each with the reason for which it rejects a version. An author overrides a guard by its name.
const (
	GuardNoActiveEngine  = "all-engines"        // no engine is active
	GuardMaxRemovedShare = "share-of-engines"   // more than MaxRemovedShare of the active engines are removed or drained
	GuardMachineType     = "kind"               // a workload is restricted to machine types that no active engine has
	GuardPlacement       = "placement"          // a table group is excluded from every active engine
	GuardNoEngineOverlap = "nothing-in-between" // no engine is active in both the previous and the new version
	GuardFloor           = "floor"              // the version forbids something that the floor permits; see Guards.Violations
)

// GuardNames returns the names of all guards.
func GuardNames() []string {
	return []string{GuardNoActiveEngine, GuardMaxRemovedShare, GuardMachineType, GuardPlacement, GuardNoEngineOverlap, GuardFloor}
}

// CheckGuardNames returns an error for the first element of names that is not a guard's name.
func CheckGuardNames(names []string) error {
	for _, name := range names {
		if !slices.Contains(GuardNames(), name) {
			return fmt.Errorf("forced: %q is no guard: %s", name, strings.Join(GuardNames(), ", "))
		}
	}
	return nil
}

// Violation names a guard that rejects a version and says why.
type Violation struct{ Guard, Message string }

// GuardError is the error for a version that one or more guards reject.
type GuardError struct{ Violations []Violation }

func (e *GuardError) Error() string {
	messages := make([]string, 0, len(e.Violations))
	for _, v := range e.Violations {
		messages = append(messages, v.Message+" (force it by the name "+v.Guard+")")
	}
	return strings.Join(messages, "; ")
}

// Check returns a *GuardError if Violations returns any violations, and nil otherwise.
func (g Guards) Check(previous, floor, next *rules.Rules, forced []string) error {
	violations := g.Violations(previous, floor, next, forced)
	if len(violations) == 0 {
		return nil
	}
	return &GuardError{Violations: violations}
}

// Violations returns the violations of all guards that are not named in forced. The previous rules are nil for the first version. The floor
// is the rules of the first version of the lineage, which routers without a lease may rely on; it is nil as long as there is no version.
func (g Guards) Violations(previous, floor, next *rules.Rules, forced []string) []Violation {
	violations := slices.Concat(
		g.checkEngineList(previous, next),
		checkOverlap(previous, next),
		checkFloor(floor, next),
	)
	return slices.DeleteFunc(violations, func(v Violation) bool { return slices.Contains(forced, v.Guard) })
}

// checkEngineList applies the guards that check the engine list of the new version, if it has one.
func (g Guards) checkEngineList(previous, next *rules.Rules) []Violation {
	if next.Engines == nil {
		return nil
	}
	var violations []Violation
	active := countActive(next, anyEngine)
	if active == 0 {
		violations = append(violations, Violation{GuardNoActiveEngine, "no engine is active"})
	}
	violations = append(violations, g.checkRemovedShare(previous, next)...)
	for _, workload := range slices.Sorted(maps.Keys(next.AllowedMachineTypes)) {
		allowed := countActive(next, func(_ string, e rules.Engine) bool {
			return slices.Contains(next.AllowedMachineTypes[workload], e.MachineType)
		})
		if allowed == 0 {
			violations = append(violations, Violation{GuardMachineType, fmt.Sprintf("no active engine is of a kind that %s is bound to", workload)})
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

// checkRemovedShare rejects a version that removes or drains more than MaxRemovedShare of the active engines of the previous version.
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
	return []Violation{{GuardMaxRemovedShare, message}}
}

// checkOverlap rejects a change during which routers would have no active engine: while both versions are in force, routers act on their
// intersection.
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
	return []Violation{{GuardNoEngineOverlap, "no engine is active before and after: between the two, routers would have none"}}
}

// checkFloor rejects a version that forbids something that the floor permits. Fields that list engines or restrict which engines may be
// used are not checked: see docs/control.md, "What is not promised".
func checkFloor(floor, next *rules.Rules) []Violation {
	if floor == nil {
		return nil
	}
	var forbidden []string
	for _, field := range rules.ConflictingFields(floor, next) {
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

// countActive returns the number of active engines for which matches returns true.
func countActive(r *rules.Rules, matches func(id string, engine rules.Engine) bool) int {
	count := 0
	for id, engine := range r.Engines {
		if engine.Phase == rules.Active && matches(id, engine) {
			count++
		}
	}
	return count
}
