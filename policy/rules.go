package policy

import (
	"cmp"
	"math"
	"slices"

	"bankledge/decision"
)

// mayStart reports whether the rules allow a statement to be sent to an engine now. Every attempt has to pass this
// check.
func (m *Module) mayStart(s *statement, e *engine) bool {
	return m.mayRun(s) &&
		isPlacementAllowed(s.workload, e) &&
		isInDedupScope(s, e) &&
		m.mayRepeat(s) &&
		m.keyQueues.mayRun(s, m.now) &&
		m.isWithinRetryBudget(s) &&
		m.slowStart.mayStart(s, e, m.now) &&
		!slices.Contains(m.rules.PlacementExclusions[s.tables], e.Engine)
}

// mayRun reports whether a statement may have another attempt, on any engine.
func (m *Module) mayRun(s *statement) bool {
	if s.finished || s.streaming || m.now >= s.deadline {
		return false
	}
	return s.openAttempts == 0 || m.limits.Hedging
}

// isPlacementAllowed reports whether statements of a workload may run on the engine. A draining engine gets no
// statements, even during its grace period.
func isPlacementAllowed(w *workload, e *engine) bool {
	return e.isReady() &&
		(len(w.AllowedZones) == 0 || slices.Contains(w.AllowedZones, e.Zone)) &&
		(len(w.AllowedMachineTypes) == 0 || slices.Contains(w.AllowedMachineTypes, e.MachineType))
}

// isInDedupScope reports whether the engine drops a repeat of a statement that may have run before.
func isInDedupScope(s *statement, e *engine) bool {
	if s.idempotency != decision.Deduplicated || s.firstRun == nil {
		return true
	}
	first := s.firstRun.engine
	switch s.workload.DedupScope {
	case decision.ScopeAll:
		return true
	case decision.ScopeZone:
		return first.Zone == e.Zone
	case decision.ScopeCell:
		return first.Cell == e.Cell
	}
	return false
}

// mayRepeat reports whether another attempt is allowed and cannot apply an effect twice: a statement that may have run
// is only repeated where that is harmless.
func (m *Module) mayRepeat(s *statement) bool {
	if len(s.attempts) >= cmp.Or(m.limits.MaxAttempts, math.MaxInt) {
		return false
	}
	if s.firstRun == nil || s.idempotency == decision.Idempotent {
		return true
	}
	return s.idempotency == decision.Deduplicated && m.now < s.firstRun.sentAt+s.workload.DedupWindow
}

// mayReject reports whether the statement may be rejected, which tells the client that a retry is harmless.
func mayReject(s *statement) bool {
	if s.firstRun == nil || s.idempotency == decision.Idempotent {
		return true
	}
	return s.idempotency == decision.Deduplicated && s.workload.DedupScope == decision.ScopeAll
}
