package policy

import (
	"slices"
	"time"

	"bankledge/decision"
)

// attempt is one execution of a statement on an engine.
type attempt struct {
	statement *statement
	engine    *engine
	number    decision.AttemptID
	sentAt    time.Duration
	memoryMB  float64 // expected need
	ended     bool
	neverRan  bool // it ended, and is known not to have run
	cancelled bool
	spilled   bool // it ran out of memory and spilled to disk
	errored   bool
}

// startAttempt sends a statement to an engine.
func (m *Module) startAttempt(s *statement, e *engine) {
	if len(s.attempts) > 0 && m.rules.RetryBudgetWindow > 0 {
		m.retryBudget.recordRetry(m.now)
	}
	if m.slowStart.isWarmingUp(e, m.now) {
		e.slowStartWork.Add(m.now, s.work)
	}
	action := decision.StartAttempt{Statement: s.id, Engine: e.Engine}
	if s.firstRun != nil && s.idempotency == decision.Deduplicated { // the host may send it late
		action.StartBefore = s.firstRun.sentAt + s.workload.DedupWindow
	}
	m.attemptsInFlight++
	e.start(s, m.now, m.memoryNeed(s))
	e.touch(s.tables, recentTableGroups)
	m.setResources(s)
	m.emit(action)
}

// cancelAttempt cancels an attempt if the host supports cancellation.
func (m *Module) cancelAttempt(a *attempt, reason decision.Reason) {
	if a.ended || a.cancelled || !m.limits.Cancellation {
		return
	}
	a.cancelled = true
	m.emit(decision.CancelAttempt{Statement: a.statement.id, Attempt: a.number, Reason: reason})
}

// attemptEnded handles the outcome of an attempt: it updates the estimates, and retries or finishes the statement.
func (m *Module) attemptEnded(ev decision.AttemptEnded) {
	a := m.endpoints.finishAttempt(ev)
	if a == nil {
		return
	}
	m.attemptsInFlight--
	if a.statement.key != "" {
		m.releaseKey(a.statement, ev.Outcome)
	}
	m.recordOutcome(a, ev.Outcome)
	m.receiveReport(a.engine, ev.Report)
	m.retryOrFinish(a, ev.StatementFinished)
}

// recordOutcome updates the state of the attempt's engine and workload.
func (m *Module) recordOutcome(a *attempt, outcome decision.Outcome) {
	e := a.engine
	switch outcome {
	case decision.Errored: // a response shows neither that the engine works nor how fast it is
		a.errored = true
		if e.ejected {
			m.eject(e, false)
		}
	case decision.Completed:
		m.attemptCompleted(a)
	case decision.Overloaded:
		m.attemptOverloaded(a)
	case decision.ConnectFailed:
		m.eject(e, m.failsTrial(e))
	case decision.ConnectionReset: // a crash resets all connections, a flaky link only some of them
		if len(e.attempts) == 0 {
			m.eject(e, false)
		}
	}
}

// attemptCompleted updates the state of the engine and the workload after a completed attempt.
func (m *Module) attemptCompleted(a *attempt) {
	s, e := a.statement, a.engine
	runTime := m.now - a.sentAt
	m.updateErrorShares(s, e)
	m.readmit(e)
	e.skippedUntilArrival = 0
	e.window(s.classifiedAs).recordCompletion(runTime > s.workload.objective(s.expectedRun)/2)
	e.updateSlowdown(runTime, s)
	s.classifiedAs.updateRunTimeFactor(runTime, s.expectedRun)
	if !a.spilled {
		s.classifiedAs.shrinkMemoryFactor()
	}
}

// start registers a statement's next attempt on the engine.
func (e *engine) start(s *statement, now time.Duration, memoryMB float64) {
	if len(e.attempts) == 0 {
		e.lastEventAt = now
	}
	a := &attempt{statement: s, engine: e, number: decision.AttemptID(len(s.attempts)), sentAt: now, memoryMB: memoryMB}
	s.attempts = append(s.attempts, a)
	s.openAttempts++
	s.updateFirstRun()
	e.attempts = append(e.attempts, a)
	w := s.classifiedAs
	e.threads += w.Threads
	w.threadsInFlight += w.Threads
	e.memoryInFlight += memoryMB
	w.memoryInFlight += memoryMB
	e.window(w).inFlight++
}

// finish removes an attempt from the engine and returns it, or nil if the engine has no such attempt.
func (e *engine) finish(id decision.StatementID, number decision.AttemptID, neverRan bool) *attempt {
	i := slices.IndexFunc(e.attempts, func(a *attempt) bool { return a.statement.id == id && a.number == number })
	if i < 0 {
		return nil
	}
	a := e.attempts[i]
	e.attempts = slices.Delete(e.attempts, i, i+1)
	w := a.statement.classifiedAs
	e.threads -= w.Threads
	w.threadsInFlight -= w.Threads
	e.memoryInFlight -= a.memoryMB
	w.memoryInFlight -= a.memoryMB
	e.window(w).inFlight--
	a.ended = true
	a.neverRan = neverRan
	a.statement.openAttempts--
	a.statement.updateFirstRun()
	return a
}
