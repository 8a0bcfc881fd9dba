package policy

import (
	"maps"
	"slices"
	"time"

	"bankledge/decision"
)

// endUnanswered ends a statement without an answer: rejected where sending it again is harmless, else aborted. A
// response that streams already goes on.
func (m *Module) endUnanswered(s *statement, reason decision.Reason) {
	if s.finished || s.streaming {
		return
	}
	if mayReject(s) {
		m.act(decision.Reject{Statement: s.id, RetryAfter: m.limits.MaxRetryAfter, Reason: reason})
	} else {
		m.act(decision.Abort{Statement: s.id, Reason: reason})
	}
	m.finish(s)
}

// finish forgets a statement that is answered, ended or no longer waited for, and cancels its attempts.
func (m *Module) finish(s *statement) {
	m.keyQueues.leave(s, m.now)
	s.finished = true
	m.timers.Cancel(s.deadlineTimer)
	delete(m.statements, s.id)
	for _, a := range s.attempts {
		m.cancelAttempt(a, decision.ReasonFinished)
	}
}

// responseStarted records that a statement's response streams: from now on no other attempt may answer it.
func (m *Module) responseStarted(ev decision.ResponseStarted) {
	if s := m.statements[ev.Statement]; s != nil {
		s.streaming = true
	}
}

// scheduleShutdown ends all statements that are still open when this router's time is up, in the order of their IDs.
func (m *Module) scheduleShutdown(gracePeriod time.Duration) {
	m.timers.Schedule(m.now+gracePeriod, func() {
		for _, id := range slices.Sorted(maps.Keys(m.statements)) {
			m.endUnanswered(m.statements[id], decision.ReasonShutdown)
		}
	})
}
