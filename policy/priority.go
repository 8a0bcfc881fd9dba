package policy

import "time"

const (
	// lightShareLearningRate is the weight of one arrival in the moving average of the share of light statements.
	lightShareLearningRate = 0.05
	// lightDivisor defines a light statement: its value exceeds that of the lightest workload divided by lightDivisor.
	lightDivisor = 2
	// minWork is the lower bound of the expected work, in seconds.
	minWork = 0.001

	// normalPriority and highPriority are sent to engines that use priorities. No statement gets 0, since a starved
	// statement keeps its memory.
	normalPriority = 1
	highPriority   = 3
)

// priorities ranks statements by the weight of their answers relative to the work that they take.
type priorities struct {
	overQuotaFactor float64 // applied to the priority weight beyond a tenant's quota
	lightestValue   float64 // highest value of any workload's mean statement
	lightShare      float64 // share of light statements in recent arrivals
}

// update recomputes the value of the lightest workload.
func (p *priorities) update(workloads []*workload) {
	p.lightestValue = 0
	for _, w := range workloads {
		p.lightestValue = max(p.lightestValue, w.PriorityWeight/w.meanWork)
	}
}

// observeArrival updates the share of light statements.
func (p *priorities) observeArrival(s *statement, now time.Duration) {
	p.lightShare *= 1 - lightShareLearningRate
	if p.isLight(s, now) {
		p.lightShare += lightShareLearningRate
	}
}

// isLight reports whether a statement takes little work relative to its weight.
func (p *priorities) isLight(s *statement, now time.Duration) bool {
	return p.value(s, now) > p.lightestValue/lightDivisor
}

// value returns the weight of a statement's answer per second of its work. It is lower if the answer will be late or
// the statement is beyond its tenant's quota.
func (p *priorities) value(s *statement, now time.Duration) float64 {
	value := s.priorityWeight / max(minWork, s.expectedRun.Seconds()*float64(s.classifiedAs.Threads))
	if now > s.latestStart() {
		value *= s.workload.LateFactor
	}
	if s.overQuota {
		value *= p.overQuotaFactor
	}
	return value
}

// raisePriority gives a running attempt the highest priority, if engines use priorities.
func (m *Module) raisePriority(s *statement) {
	if !m.traits.Priorities || s.resources.Priority == highPriority {
		return
	}
	s.resources.Statement = s.id
	s.resources.Priority = highPriority
	m.emit(s.resources)
}
