package policy

import (
	"cmp"
	"math"
	"time"
)

const (
	// quotaAveragingTime is the time over which a router stays within its quota on average, since the load of a few
	// statements varies strongly.
	quotaAveragingTime = 4 * time.Second
	// attemptMemoryDecay is the factor by which each maintenance reduces the sums that give the mean memory of an
	// attempt.
	attemptMemoryDecay = 0.995
)

// fleetQuota is this router's quota of the threads and memory of all engines. Its fair share of one engine may be less
// than one statement, but it may still send one statement there; the quota bounds the sum over all engines.
type fleetQuota struct {
	routers   float64 // number of routers that share the fleet
	workloads []*workload

	cores    float64 // of the engines in use; those in slow start count at their current capacity
	memoryMB float64 // of the same engines
	unused   float64 // unused quota, in seconds for which twice the quota may be used; negative after overuse

	attempts      float64 // decaying sum of this router's attempts in flight
	attemptMemory float64 // decaying sum of their memory, in MB
}

// startMaintenance resets the sums over the engines and decays the sums over the attempts.
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

// countEngine adds an engine in use, at the share of its capacity that it currently has.
func (q *fleetQuota) countEngine(e *engine, capacityShare float64) {
	q.cores += capacityShare * e.cores
	q.memoryMB += capacityShare * e.memoryMB
}

// accumulateUnused adds the quota that was not used in the elapsed time to unused, and subtracts overuse. The result
// stays within quotaAveragingTime of zero.
func (q *fleetQuota) accumulateUnused(elapsed time.Duration) {
	q.unused += (1 - q.used(math.Inf(1), 0, 0)) * elapsed.Seconds()
	q.unused = min(max(q.unused, -quotaAveragingTime.Seconds()), quotaAveragingTime.Seconds())
}

// used returns the share of the quota in use by workloads whose mean work is at most maxMeanWork, plus the given
// threads and memory.
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

// expectedMemory returns the memory in MB that a number of attempts needs if they are like those of this router.
func (q *fleetQuota) expectedMemory(attempts float64) float64 {
	return attempts * q.attemptMemory / max(1, q.attempts)
}

// isWithinFleetQuota reports whether the quota, on average, allows a statement. Heavier workloads do not delay lighter
// ones. A statement that is already late may only use quota that nothing else needs.
func (m *Module) isWithinFleetQuota(s *statement) bool {
	q := &m.fleetQuota
	threads := float64(s.classifiedAs.Threads)
	memoryMB := m.memoryNeed(s)
	if m.now > s.latestStart() {
		return q.unused > 0 && q.used(math.Inf(1), threads, memoryMB) <= 1
	}
	return q.unused > 0 || q.used(s.classifiedAs.meanWork, threads, memoryMB) <= 1
}
