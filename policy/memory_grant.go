package policy

import (
	"math"

	"bankledge/decision"
)

// The learned factor of memory needed over memory estimated, by workload.
const (
	firstMemoryFactor = 1.25
	minMemoryFactor   = 1.0
	maxMemoryFactor   = 3.0
	// memoryFactorIncrease is the relative step at a spill, memoryFactorDecrease that at a completion without one: about
	// one attempt in ten spills.
	memoryFactorIncrease = 0.04
	memoryFactorDecrease = 0.004
)

// memoryNeed is the memory that a statement is taken to need, in MB: its estimate, corrected by what spilled.
func (m *Module) memoryNeed(s *statement) float64 {
	if m.traits.OnOvercommit == decision.OvercommitPage {
		return s.memoryMB // what is granted beyond the need is not in use
	}
	return s.memoryMB * s.classifiedAs.memoryFactor
}

// setResources names the memory grant and the priority of a statement's next attempt, where engines heed them and they
// differ from what was named before.
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
	m.act(resources)
}

// attemptSpilled handles the message that an attempt spills for want of memory. Where this router's share of the memory
// there was not used up, the estimates are too low.
func (m *Module) attemptSpilled(a *attempt) {
	if !a.spilled && a.engine.memoryInFlight <= a.engine.memoryMB/m.fleetQuota.routers {
		a.statement.classifiedAs.growMemoryFactor()
	}
	a.spilled = true
}

func (w *workload) growMemoryFactor() {
	w.memoryFactor = min(maxMemoryFactor, w.memoryFactor*(1+memoryFactorIncrease))
}

func (w *workload) shrinkMemoryFactor() {
	w.memoryFactor = max(minMemoryFactor, w.memoryFactor*(1-memoryFactorDecrease))
}
