package policy

import "time"

// maintenanceInterval is the time between two maintenances.
const maintenanceInterval = 50 * time.Millisecond

// maintain is the periodic work: it finds silent engines and missing reports, and updates what follows from all
// engines.
func (m *Module) maintain() {
	m.fleetQuota.startMaintenance()
	m.endpoints.forget(m.now, m.slowStart.warmUpTime())
	allCores := 0.0 // as if none were in slow start
	for _, e := range m.endpoints.all {
		if !e.isReady() {
			continue
		}
		allCores += e.cores
		m.maintainEngine(e)
	}
	m.priorities.update(m.workloads)
	m.slowStart.advance(m.now, m.maintenanceAt, allCores)
	m.fleetQuota.save(m.now - m.maintenanceAt)
	m.maintenanceAt = m.now
	m.queue.dirty = true
}

// maintainEngine is the periodic work for one engine.
func (m *Module) maintainEngine(e *engine) {
	m.detectSilence(e)
	m.slowStart.updateProbability(e, m.now)
	m.replaceMissingReports(e)
	e.recoverPace()
	m.fleetQuota.countAttempts(e)
	inUse := !e.unreachable && (!e.ejected || m.now >= e.ejectedUntil)
	if inUse {
		m.fleetQuota.countEngine(e, m.slowStart.capacityShare(e, m.now))
	}
}
