package policy

import (
	"math"

	"bankledge/decision"
)

// The bounds and steps of a workload's learned ratio of needed memory to estimated memory.
const (
	initialMemoryFactor = 1.25
	minMemoryFactor     = 1.0
	maxMemoryFactor     = 3.0
	// memoryFactorIncrease is the relative step after a spill, and memoryFactorDecrease the one after a completion
	// without a spill. They balance when about one attempt in ten spills.
	memoryFactorIncrease = 0.04
	memoryFactorDecrease = 0.004
)

// memoryNeed returns the memory in MB that a statement is expected to need: its estimate times the workload's learned
// factor.
func (m *Module) memoryNeed(s *statement) float64 {
	if m.traits.OnOvercommit == decision.OvercommitPage {
		return s.memoryMB // memory that is granted but not needed is not in use
	}
	return s.memoryMB * s.classifiedAs.memoryFactor
}

// setResources sets the memory grant and the priority of a statement's next attempt, if engines use them and they have
// changed since they were last set.
func (m *Module) setResources(s *statement) {
	resources := decision.SetResources{Statement: s.id, Priority: normalPriority}
	if m.traits.MemoryGrants {
		resources.MemoryGrantMB = int64(math.Ceil(m.memoryNeed(s)))
	}
	if m.traits.Priorities && m.priorities.isLight(s, m.now) {
		resources.Priority = highPriority
	}
	if resources == s.resources || resources.MemoryGrantMB <= 0 && resources.Priority == normalPriority {
		return
	}
	s.resources = resources
	m.emit(resources)
}

// attemptSpilled handles the message that an attempt spills because it lacks memory. If this router was within its
// share of the engine's memory, the estimates are too low.
func (m *Module) attemptSpilled(a *attempt) {
	if !a.spilled && a.engine.memoryInFlight <= a.engine.memoryMB/m.fleetQuota.routers {
		a.statement.classifiedAs.growMemoryFactor()
	}
	a.spilled = true
}

// growMemoryFactor increases the factor after a spill.
func (w *workload) growMemoryFactor() {
	w.memoryFactor = min(maxMemoryFactor, w.memoryFactor*(1+memoryFactorIncrease))
}

// shrinkMemoryFactor decreases the factor after a completion without a spill.
func (w *workload) shrinkMemoryFactor() {
	w.memoryFactor = max(minMemoryFactor, w.memoryFactor*(1-memoryFactorDecrease))
}
