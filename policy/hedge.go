package policy

import (
	"bankledge/decision"
)

const (
	// slowAttemptFactor is the multiple of its expected run time above which an attempt may be cancelled, and the
	// engine slowdown above which an engine counts as congested.
	slowAttemptFactor = 4.0
	// minExpectedRun is the lower bound of the expected run time that slowAttemptFactor applies to, in seconds.
	minExpectedRun = 0.5
	// minRemainingRuns is the number of expected run times that must remain for an attempt to be cancelled.
	minRemainingRuns = 2
	// minShareDone replaces a reported progress near zero.
	minShareDone = 0.002
	// nearlyDoneShare is the reported progress above which an attempt gets the highest priority.
	nearlyDoneShare = 0.5
)

// attemptProgressed handles a progress message about a running attempt.
func (m *Module) attemptProgressed(ev decision.AttemptProgress) {
	if e := m.endpoints.find(ev.Engine); e != nil {
		m.readmit(e)
	}
	s := m.statements[ev.Statement]
	if s == nil || int(ev.Attempt) >= len(s.attempts) || s.attempts[ev.Attempt].ended {
		return
	}
	a := s.attempts[ev.Attempt]
	switch ev.Kind {
	case decision.ProgressSpilling:
		m.attemptSpilled(a)
	case decision.ProgressWaiting:
		if ev.Value == decision.WaitingForBulkLoad {
			m.attemptWaitsForBulkLoad(a)
		}
	case decision.ProgressShareDone:
		m.checkProgress(a, ev.Value)
	}
}

// checkProgress cancels or hedges an attempt whose progress indicates a bad plan. It raises the priority of an attempt
// that is nearly done, since completing it is the fastest way to free memory and threads.
func (m *Module) checkProgress(a *attempt, shareDone float64) {
	s := a.statement
	elapsed := (m.now - a.sentAt).Seconds()
	remaining := elapsed * (1 - shareDone) / max(shareDone, minShareDone)
	expected := s.expectedRun.Seconds()
	if elapsed+remaining > slowAttemptFactor*max(expected, minExpectedRun) && remaining > minRemainingRuns*expected {
		m.cancelOrHedge(a, decision.ReasonSlow)
		return
	}
	if shareDone > nearlyDoneShare {
		m.raisePriority(s)
	}
}

// cancelOrHedge cancels an attempt that is stuck or slow, so that its statement is retried. If the host cannot cancel,
// the statement is hedged: it gets one more attempt while the first one still runs.
func (m *Module) cancelOrHedge(a *attempt, reason decision.Reason) {
	s := a.statement
	if s.finished || s.streaming || s.idempotency != decision.Idempotent || !m.mayRepeat(s) {
		return
	}
	// Skip this engine until one statement per known engine has arrived.
	a.engine.skippedUntilArrival = m.arrivals + len(m.endpoints.all)
	m.cancelAttempt(a, reason)
	if a.cancelled || !m.limits.Hedging || s.openAttempts != 1 || s.queued {
		return
	}
	s.avoid = a.engine
	m.enqueue(s)
}
