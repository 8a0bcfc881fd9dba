package policy

import (
	"cmp"
	"math"
	"time"
)

const (
	// quotaAveragingTime is the time over which a router stays within its quota on average, since few statements vary
	// much.
	quotaAveragingTime = 4 * time.Second
	// attemptMemoryDecay is what one maintenance leaves of the sums that give the mean memory of an attempt.
	attemptMemoryDecay = 0.995
)

// fleetQuota is this router's quota of the threads and the memory of the complete fleet. Its fair share of one engine
// may be below one statement, which each router may still send; the quota bounds the sum.
type fleetQuota struct {
	routers   float64 // that share the fleet
	workloads []*workload

	cores    float64 // of the engines in use; those in slow start count at their present capacity
	memoryMB float64 // of the same
	saved    float64 // seconds for which twice the quota may be used; below 0: it was used too much

	attempts      float64 // decaying sum of own attempts in flight
	attemptMemory float64 // of their memory, in MB
}

// startMaintenance begins a new sum over the engines.
func (q *fleetQuota) startMaintenance() {
	q.cores = 0
	q.memoryMB = 0
	q.attempts *= attemptMemoryDecay
	q.attemptMemory *= attemptMemoryDecay
}

// countAttempts adds an engine's attempts to the sums that give the mean memory of an attempt.
func (q *fleetQuota) countAttempts(e *engine) {
	q.attempts += float64(len(e.attempts))
	q.attemptMemory += e.memoryInFlight
}

// countEngine adds an engine in use, at the share of its capacity that it has.
func (q *fleetQuota) countEngine(e *engine, capacityShare float64) {
	q.cores += capacityShare * e.cores
	q.memoryMB += capacityShare * e.memoryMB
}

// save adds what was not used of the quota in a time to saved, up to a limit.
func (q *fleetQuota) save(elapsed time.Duration) {
	q.saved += (1 - q.used(math.Inf(1), 0, 0)) * elapsed.Seconds()
	q.saved = min(max(q.saved, -quotaAveragingTime.Seconds()), quotaAveragingTime.Seconds())
}

// used is the share of the quota that workloads up to a mean work use, with a little more.
func (q *fleetQuota) used(maxMeanWork, threads, memoryMB float64) float64 {
	for _, w := range q.workloads {
		if w.meanWork <= maxMeanWork {
			threads += float64(w.threadsInFlight)
			memoryMB += w.memoryInFlight
		}
	}
	threadShare := threads / max(1, maxThreadsPerCore*q.cores)
	memoryShare := memoryMB / cmp.Or(q.memoryMB, math.Inf(1))
	return q.routers * max(threadShare, memoryShare)
}

// memoryOf is the memory that so many attempts need if they are like own ones, in MB.
func (q *fleetQuota) memoryOf(attempts float64) float64 {
	return attempts * q.attemptMemory / max(1, q.attempts)
}

// isWithinFleetQuota reports whether a statement is within the quota, on average. Heavier workloads do not delay
// lighter ones. What is late already takes only what nobody else needs.
func (m *Module) isWithinFleetQuota(s *statement) bool {
	q := &m.fleetQuota
	threads := float64(s.classifiedAs.Threads)
	memoryMB := m.memoryNeed(s)
	if m.now > s.latestStart() {
		return q.saved > 0 && q.used(math.Inf(1), threads, memoryMB) <= 1
	}
	return q.saved > 0 || q.used(s.classifiedAs.meanWork, threads, memoryMB) <= 1
}
