package policy

import "math"

const (
	// maxThreadsPerCore is the number of threads per core that all routers together may have in flight on an engine. Of
	// the values tried on three deployments, 1.6 leaves engines idle on all of them and 4.5 gives worse results on all
	// of them.
	maxThreadsPerCore = 3.2
	// routersExponent is applied to the number of routers when an engine's threads are divided among them. It is below
	// 1 so that a router may use more than its fair share of an engine, since it sees few statements at a time.
	routersExponent = 0.75
	// maxStatementsPerCore is the number of statements per core from which an engine gets no more. It includes the
	// statements of all routers and those that still run after a time-out.
	maxStatementsPerCore = 1.6
	// lightCapacityReserve, times the share of light statements, increases the count of other routers' statements when
	// a statement that is not light is placed, so that light statements of any router find capacity.
	lightCapacityReserve = 2.5
)

// maxStatementsOn returns the number of statements from which the engine gets no more.
func (m *Module) maxStatementsOn(e *engine) float64 {
	return maxStatementsPerCore * e.cores * m.slowStart.capacityShare(e, m.now)
}

// hasCapacity reports whether the engine has capacity for a statement, within this router's share and in total, and no
// bulk load would block it there.
func (m *Module) hasCapacity(e *engine, s *statement) bool {
	others := m.peerStatementsOn(e)
	if !m.priorities.isLight(s, m.now) && !m.slowStart.isWarmingUp(e, m.now) {
		others *= 1 + lightCapacityReserve*m.priorities.lightShare
	}
	capacityShare := m.slowStart.capacityShare(e, m.now)
	threads := maxThreadsPerCore * e.cores / math.Pow(m.fleetQuota.routers, routersExponent) * capacityShare
	if float64(e.threads) >= threads {
		return false
	}
	if others+float64(len(e.attempts)) >= maxStatementsPerCore*e.cores*capacityShare {
		return false
	}
	if !m.hasMemory(e, s, others) {
		return false
	}
	return !waitsForBulkLoads(s) || !e.hasBulkLoadFor(s, m.now)
}

// hasMemory reports whether the engine has memory for a statement in addition to the statements of other routers, which
// are assumed to need as much memory as those of this router.
func (m *Module) hasMemory(e *engine, s *statement, others float64) bool {
	if e.memoryMB <= 0 {
		return true
	}
	need := m.memoryNeed(s)
	if others > 0 && m.fleetQuota.expectedMemory(others)+e.memoryInFlight+need > e.memoryMB {
		return false
	}
	return e.memoryInFlight <= 0 || e.memoryInFlight+need <= e.memoryMB/m.fleetQuota.routers
}
