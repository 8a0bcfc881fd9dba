package policy

import (
	"maps"
	"slices"
	"time"

	"bankledge/decision"
)

// rejectOrAbort ends a statement without a response: it rejects the statement if a retry by the client is harmless, and
// aborts it otherwise. A response that is already streaming continues.
func (m *Module) rejectOrAbort(s *statement, reason decision.Reason) {
	if s.finished || s.streaming {
		return
	}
	if mayReject(s) {
		m.emit(decision.Reject{Statement: s.id, RetryAfter: m.limits.MaxRetryAfter, Reason: reason})
	} else {
		m.emit(decision.Abort{Statement: s.id, Reason: reason})
	}
	m.finish(s)
}

// finish removes a statement that is answered or that its client no longer waits for, and cancels its attempts.
func (m *Module) finish(s *statement) {
	m.keyQueues.remove(s, m.now)
	s.finished = true
	m.timers.Cancel(s.deadlineTimer)
	delete(m.statements, s.id)
	for _, a := range s.attempts {
		m.cancelAttempt(a, decision.ReasonFinished)
	}
}

// responseStarted records that a statement's response is streaming. From now on no other attempt may answer it.
func (m *Module) responseStarted(ev decision.ResponseStarted) {
	if s := m.statements[ev.Statement]; s != nil {
		s.streaming = true
	}
}

// scheduleShutdown ends all statements that are still open when the grace period is over, in the order of their IDs.
func (m *Module) scheduleShutdown(gracePeriod time.Duration) {
	m.timers.Schedule(m.now+gracePeriod, func() {
		for _, id := range slices.Sorted(maps.Keys(m.statements)) {
			m.rejectOrAbort(m.statements[id], decision.ReasonShutdown)
		}
	})
}
