package policy

import "time"

const (
	// lightShareLearningRate is the weight of one arrival in the share of statements that are light.
	lightShareLearningRate = 0.05
	// lightDivisor: a statement is light if its value is above that of the lightest workload divided by this.
	lightDivisor = 2
	// minWork stands in for an expected work of nearly nothing, in seconds.
	minWork = 0.001

	// normalPriority and highPriority go to engines that heed them. Nothing gets 0: what starves keeps its memory.
	normalPriority = 1
	highPriority   = 3
)

// priorities ranks statements by what their answers count for the work that they take.
type priorities struct {
	overQuotaFactor float64 // of the priority weight, beyond a tenant's quota
	lightestValue   float64 // the highest value of a workload's mean statement
	lightShare      float64 // of recent arrivals
}

// update finds the lightest workload.
func (p *priorities) update(workloads []*workload) {
	p.lightestValue = 0
	for _, w := range workloads {
		p.lightestValue = max(p.lightestValue, w.PriorityWeight/w.meanWork)
	}
}

// observeArrival counts a statement in the share of light ones.
func (p *priorities) observeArrival(s *statement, now time.Duration) {
	p.lightShare *= 1 - lightShareLearningRate
	if p.isLight(s, now) {
		p.lightShare += lightShareLearningRate
	}
}

// isLight reports whether a statement takes little work for what it counts.
func (p *priorities) isLight(s *statement, now time.Duration) bool {
	return p.value(s, now) > p.lightestValue/lightDivisor
}

// value is what a statement's answer still counts, a second of its work: less when it will be late or is beyond its
// tenant's quota.
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

// raisePriority has a running attempt finish before others, where engines heed priorities.
func (m *Module) raisePriority(s *statement) {
	if !m.traits.Priorities || s.resources.Priority == highPriority {
		return
	}
	s.resources.Statement = s.id
	s.resources.Priority = highPriority
	m.act(s.resources)
}
