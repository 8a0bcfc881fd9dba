package policy

import (
	"time"

	"bankledge/decision"
	"bankledge/internal/detrand"
	"bankledge/internal/estimate"
)

const (
	// slowStartSafety is the share of an engine's budget that all routers together plan to use.
	slowStartSafety = 0.6
	// slowStartUsableShare is the share of its cores that an engine in slow start is assumed to have for statements.
	slowStartUsableShare = 0.85
	// slowStartMargin extends the times of the rules, since the host's clock and the engines' clocks differ.
	slowStartMargin = 500 * time.Millisecond
	// slowStartMinDemand is the lower bound of the demand on all routers, as a share of all cores, so that settings
	// with too few routers do no harm.
	slowStartMinDemand = 1
)

// slowStart limits the work that all routers together send to engines that have just started. Since no router knows
// what the others send, each statement draws at random whether it may be sent there.
type slowStart struct {
	budget    estimate.SlowStartBudget
	seed      uint64
	startedAt time.Duration // time of the first call to the module; negative: none yet
}

func newSlowStart(rules decision.Rules, routers float64, seed uint64) slowStart {
	return slowStart{seed: seed, startedAt: -1, budget: estimate.SlowStartBudget{
		Rules:          rules,
		AgeUncertainty: rules.SlowStartWindow + slowStartMargin,
		UsableShare:    slowStartUsableShare,
		SafetyShare:    slowStartSafety,
		Routers:        routers,
		MinDemandShare: slowStartMinDemand,
	}}
}

// recordFirstCall records the time of the first call to the module.
func (s *slowStart) recordFirstCall(now time.Duration) {
	if s.startedAt < 0 {
		s.startedAt = now
	}
}

// changeRules applies changed rules, and keeps what was learned of the arrivals.
func (s *slowStart) changeRules(rules decision.Rules, routers float64) {
	s.budget.Rules = rules
	s.budget.Routers = routers
}

// observeArrival counts a statement in the estimate of arrivals.
func (s *slowStart) observeArrival(st *statement) {
	s.budget.ObserveStatement(st.work, st.classifiedAs.meanWork, st.clientRetry)
}

// isWarmingUp reports whether an engine started so recently that the rules limit what it is sent.
func (s *slowStart) isWarmingUp(e *engine, now time.Duration) bool {
	return e.StartedAt > 0 && now < e.StartedAt+s.warmUpTime() && s.budget.Rules.SlowStartWindow > 0
}

// warmUpTime returns the time after its start for which an engine counts as warming up.
func (s *slowStart) warmUpTime() time.Duration {
	return s.budget.Rules.SlowStartDuration + slowStartMargin
}

// capacityShare returns the share of its capacity that an engine is assumed to have now.
func (s *slowStart) capacityShare(e *engine, now time.Duration) float64 {
	if !s.isWarmingUp(e, now) {
		return 1
	}
	rules := &s.budget.Rules
	age := float64(now-e.StartedAt) / float64(max(1, rules.SlowStartDuration))
	return min(1, rules.SlowStartShare+(1-rules.SlowStartShare)*age)
}

// mayStart reports whether a statement may be sent to an engine that may be warming up. A router that has just started
// does not know what it sent before, and waits for one window.
func (s *slowStart) mayStart(st *statement, e *engine, now time.Duration) bool {
	if !s.isWarmingUp(e, now) {
		return true
	}
	if now < s.startedAt+s.budget.Rules.SlowStartWindow {
		return false
	}
	budget, certain := s.budget.RouterBudget(e.cores, now-e.StartedAt)
	if !certain && !s.isSampled(st, e, now) {
		return false
	}
	from := now - s.budget.Rules.SlowStartWindow - slowStartMargin
	return e.slowStartWork.Since(from)+st.work <= budget
}

// isSampled reports whether a statement is one of those that may be sent to the engine; the result is the same at each
// call. Client retries and statements that have waited for long are not, since they come in addition to the arrivals
// that the probability is based on.
func (s *slowStart) isSampled(st *statement, e *engine, now time.Duration) bool {
	if st.clientRetry || now >= st.arrivedAt+slowStartMargin {
		return false
	}
	return detrand.Fraction(string(e.Engine+" ")+string(st.id), s.seed) < e.slowStartProbability
}

// updateProbability recomputes the share of all statements that may be sent to an engine that is warming up.
func (s *slowStart) updateProbability(e *engine, now time.Duration) {
	if s.isWarmingUp(e, now) {
		e.slowStartProbability = s.budget.SendProbability(e.cores, now-e.StartedAt)
	}
}

// advance records the elapsed time and the cores of all engines, where those in slow start count in full.
func (s *slowStart) advance(now, since time.Duration, cores float64) {
	s.budget.Advance(now-max(since, s.startedAt), cores)
}
