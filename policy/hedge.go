package policy

import (
	"bankledge/decision"
)

const (
	// slowAttemptFactor is the multiple of its expected run time from which an attempt may be cancelled, and of the
	// usual pace from which an engine counts as congested.
	slowAttemptFactor = 4.0
	// minExpectedRun is the least expected run time that slowAttemptFactor applies to, in seconds.
	minExpectedRun = 0.5
	// minRemainingRuns is how many expected run times must remain for an attempt to be cancelled.
	minRemainingRuns = 2
	// minShareDone stands in for a reported progress of nearly nothing.
	minShareDone = 0.002
	// nearlyDoneShare is the reported progress from which an attempt gets the highest priority.
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
			m.attemptWaitsForLoad(a)
		}
	case decision.ProgressShareDone:
		m.checkProgress(a, ev.Value)
	}
}

// checkProgress moves an attempt whose progress shows a bad plan elsewhere, and has one that is nearly done finish
// first, since that frees its memory and threads soonest.
func (m *Module) checkProgress(a *attempt, shareDone float64) {
	s := a.statement
	elapsed := (m.now - a.sentAt).Seconds()
	remaining := elapsed * (1 - shareDone) / max(shareDone, minShareDone)
	expected := s.expectedRun.Seconds()
	if elapsed+remaining > slowAttemptFactor*max(expected, minExpectedRun) && remaining > minRemainingRuns*expected {
		m.moveElsewhere(a, decision.ReasonSlow)
		return
	}
	if shareDone > nearlyDoneShare {
		m.raisePriority(s)
	}
}

// moveElsewhere cancels an attempt that is stuck or slow, so that its statement is sent again. Where the host cannot
// cancel, the statement is hedged: it gets one more attempt while the first still runs.
func (m *Module) moveElsewhere(a *attempt, reason decision.Reason) {
	s := a.statement
	if s.finished || s.streaming || s.idempotency != decision.Idempotent || !m.mayRepeat(s) {
		return
	}
	// Not again before each engine might have had its turn.
	a.engine.passedOverUntil = m.arrivals + len(m.endpoints.all)
	m.cancelAttempt(a, reason)
	if a.cancelled || !m.limits.Hedging || s.openAttempts != 1 || s.queued {
		return
	}
	s.avoid = a.engine
	m.enqueue(s)
}
