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
	// slowStartUsableShare is the share of its cores that an engine in slow start is taken to have for statements.
	slowStartUsableShare = 0.85
	// slowStartMargin widens the rules' times, since the host's clock and the engines' differ.
	slowStartMargin = 500 * time.Millisecond
	// slowStartMinDemand is the share of all cores that the demand on all routers is taken to be at least, so that
	// settings that name too few routers do no harm.
	slowStartMinDemand = 1
)

// slowStart limits what goes to engines that have just started, in sum over all routers, none of which knows what the
// others send: each statement draws whether it may go there.
type slowStart struct {
	budget    estimate.SlowStartBudget
	seed      uint64
	startedAt time.Duration // first call to this router's module; below 0: there was none
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

// start records the time of the first call.
func (s *slowStart) start(now time.Duration) {
	if s.startedAt < 0 {
		s.startedAt = now
	}
}

// changeRules takes other rules; what was learned of the arrivals stays.
func (s *slowStart) changeRules(rules decision.Rules, routers float64) {
	s.budget.Rules = rules
	s.budget.Routers = routers
}

// observeArrival counts a statement.
func (s *slowStart) observeArrival(st *statement) {
	s.budget.ObserveStatement(st.work, st.classifiedAs.meanWork, st.clientRetry)
}

// isWarmingUp reports whether an engine started so recently that the rules limit what it is sent.
func (s *slowStart) isWarmingUp(e *engine, now time.Duration) bool {
	return e.StartedAt > 0 && now < e.StartedAt+s.warmUpTime() && s.budget.Rules.SlowStartWindow > 0
}

// warmUpTime is the time from an engine's start for which it counts as warming up.
func (s *slowStart) warmUpTime() time.Duration {
	return s.budget.Rules.SlowStartDuration + slowStartMargin
}

// capacityShare is the share of its capacity that an engine is taken to have.
func (s *slowStart) capacityShare(e *engine, now time.Duration) float64 {
	if !s.isWarmingUp(e, now) {
		return 1
	}
	rules := &s.budget.Rules
	age := float64(now-e.StartedAt) / float64(max(1, rules.SlowStartDuration))
	return min(1, rules.SlowStartShare+(1-rules.SlowStartShare)*age)
}

// mayStart reports whether a statement may go to an engine, if that is warming up. A router that has just started does
// not know what it sent before, and waits.
func (s *slowStart) mayStart(st *statement, e *engine, now time.Duration) bool {
	if !s.isWarmingUp(e, now) {
		return true
	}
	if now < s.startedAt+s.budget.Rules.SlowStartWindow {
		return false
	}
	budget, certain := s.budget.RouterBudget(e.cores, now-e.StartedAt)
	if !certain && !s.isDrawn(st, e, now) {
		return false
	}
	from := now - s.budget.Rules.SlowStartWindow - slowStartMargin
	return e.slowStartWork.Since(from)+st.work <= budget
}

// isDrawn reports whether a statement is one of those that may go to the engine, the same at each call. A client's
// retry and what has waited for long would come on top of what arrives.
func (s *slowStart) isDrawn(st *statement, e *engine, now time.Duration) bool {
	if st.clientRetry || now >= st.arrivedAt+slowStartMargin {
		return false
	}
	return detrand.Fraction(string(e.Engine+" ")+string(st.id), s.seed) < e.slowStartProbability
}

// updateProbability finds the share of all statements that may go to an engine that is warming up.
func (s *slowStart) updateProbability(e *engine, now time.Duration) {
	if s.isWarmingUp(e, now) {
		e.slowStartProbability = s.budget.SendProbability(e.cores, now-e.StartedAt)
	}
}

// advance records that time has passed, and the cores of all engines as if none were in slow start.
func (s *slowStart) advance(now, since time.Duration, cores float64) {
	s.budget.Advance(now-max(since, s.startedAt), cores)
}
