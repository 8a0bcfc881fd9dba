package policy

import "math"

const (
	// maxThreadsPerCore is the number of threads a core that all routers together have in flight on an engine. It was
	// chosen on three deployments together: 1.6 leaves engines idle on all of them, 4.5 loses on all of them.
	maxThreadsPerCore = 3.2
	// routersExponent: one router may use more of an engine than its fair share, since it sees few statements at a time.
	routersExponent = 0.75
	// maxStatementsPerCore is the number of statements a core, all routers' and what time-outs left, up to which an
	// engine takes more.
	maxStatementsPerCore = 1.6
	// heavyMargin: what other routers have in flight counts for more, by the share of light statements, for a statement
	// that is not light, so that light statements of any router find capacity.
	heavyMargin = 2.5
)

// maxStatementsOn is the number of statements up to which an engine takes more.
func (m *Module) maxStatementsOn(e *engine) float64 {
	return maxStatementsPerCore * e.cores * m.slowStart.capacityShare(e, m.now)
}

// hasCapacity reports whether the engine has capacity for a statement, within this router's share and in total, and no
// bulk load locks its tables.
func (m *Module) hasCapacity(e *engine, s *statement) bool {
	others := m.othersOn(e)
	if !m.priorities.isLight(s, m.now) && !m.slowStart.isWarmingUp(e, m.now) {
		others *= 1 + heavyMargin*m.priorities.lightShare
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
	return !waitsForLoads(s) || !e.hasLoadOn(s, m.now)
}

// hasMemory reports whether the engine has memory for a statement, beside that of other routers' statements, which are
// taken to need as much as own ones do.
func (m *Module) hasMemory(e *engine, s *statement, others float64) bool {
	if e.memoryMB <= 0 {
		return true
	}
	need := m.memoryNeed(s)
	if others > 0 && m.fleetQuota.memoryOf(others)+e.memoryInFlight+need > e.memoryMB {
		return false
	}
	return e.memoryInFlight <= 0 || e.memoryInFlight+need <= e.memoryMB/m.fleetQuota.routers
}
