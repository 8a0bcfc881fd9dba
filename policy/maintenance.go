package policy

import "time"

// maintenanceInterval is the time between two maintenances.
const maintenanceInterval = 50 * time.Millisecond

// maintain does the periodic work: it detects silent engines and missing reports, and updates the values that depend on
// all engines.
func (m *Module) maintain() {
	m.fleetQuota.startMaintenance()
	m.endpoints.removeUnlisted(m.now, m.slowStart.warmUpTime())
	allCores := 0.0 // engines in slow start count in full
	for _, e := range m.endpoints.all {
		if !e.isReady() {
			continue
		}
		allCores += e.cores
		m.maintainEngine(e)
	}
	m.priorities.update(m.workloads)
	m.slowStart.advance(m.now, m.maintenanceAt, allCores)
	m.fleetQuota.accumulateUnused(m.now - m.maintenanceAt)
	m.maintenanceAt = m.now
	m.queue.dirty = true
}

// maintainEngine does the periodic work for one engine.
func (m *Module) maintainEngine(e *engine) {
	m.detectSilentAttempts(e)
	m.slowStart.updateProbability(e, m.now)
	m.replaceMissingReports(e)
	e.decaySlowdown()
	m.fleetQuota.countAttempts(e)
	inUse := !e.unreachable && (!e.ejected || m.now >= e.ejectedUntil)
	if inUse {
		m.fleetQuota.countEngine(e, m.slowStart.capacityShare(e, m.now))
	}
}
