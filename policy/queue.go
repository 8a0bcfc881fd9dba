package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bankledge/decision"
)

// maxWithoutEngine is the number of statements of a workload that may find no engine before a dispatch pass skips the
// workload.
const maxWithoutEngine = 4

// statementQueue holds the statements that wait for an attempt.
type statementQueue struct {
	waiting  []*statement
	examined int  // number of statements at the front that could not be sent since the queue was last dirty
	dirty    bool // statements that could not be sent before may be sent now
}

// enqueue queues a statement for its next attempt. A statement that already waits for a hedge keeps its position, and
// gets one attempt only.
func (m *Module) enqueue(s *statement) {
	s.parked = false
	if s.queued {
		return
	}
	s.queued = true
	m.queue.waiting = append(m.queue.waiting, s)
}

// dispatch starts attempts of the waiting statements in the order of their value, and sheds those whose answers no
// longer have any. Unless the queue is dirty, it examines only new arrivals.
func (m *Module) dispatch() {
	q := &m.queue
	if q.dirty {
		q.dirty = false
		q.examined = 0
		slices.SortStableFunc(q.waiting, func(a, b *statement) int {
			return cmp.Compare(m.priorities.value(b, m.now), m.priorities.value(a, m.now))
		})
	}
	withoutEngine := make([]int, len(m.workloads))
	remaining := slices.DeleteFunc(q.waiting[q.examined:], func(s *statement) bool {
		s.queued = !m.tryDispatch(s, withoutEngine)
		return !s.queued
	})
	q.examined += len(remaining)
	q.waiting = q.waiting[:q.examined]
}

// tryDispatch starts a statement's next attempt or sheds it, and reports whether the statement has left the queue.
// withoutEngine counts, by workload, the statements that found no engine in this pass.
func (m *Module) tryDispatch(s *statement, withoutEngine []int) bool {
	if m.shouldShed(s) {
		m.rejectOrAbort(s, decision.ReasonDeadlineUnreachable)
	}
	s.parked = s.clientBlocked && !s.finished
	if s.parked || s.finished {
		return true
	}
	id := s.classifiedAs.id
	if withoutEngine[id] >= maxWithoutEngine || !m.keyQueues.mayRun(s, m.now) || !m.isWithinFleetQuota(s) {
		return false
	}
	if m.attemptsInFlight >= cmp.Or(m.limits.MaxInFlightAttempts, math.MaxInt) {
		return false
	}
	e := m.selectEngine(s)
	if e == nil {
		withoutEngine[id]++
		return false
	}
	m.startAttempt(s, e)
	return true
}

// shouldShed reports whether a statement without an attempt in flight has to be shed: it cannot be answered before its
// deadline, or its answer would no longer have any value.
func (m *Module) shouldShed(s *statement) bool {
	if s.openAttempts > 0 || s.workload.Protected {
		return false
	}
	lastStart := s.deadline - time.Duration(s.classifiedAs.runTimeFactor*float64(s.expectedRun))
	if m.now > lastStart {
		return true
	}
	return s.workload.LateFactor == 0 && m.now > (s.objectiveAt+s.latestStart())/2
}

// clientReadStateChanged parks the statements of a client that stops reading, since their responses might have to be
// dropped, and queues them again once it reads. Their deadlines still apply. The statements of a disconnected client
// are finished.
func (m *Module) clientReadStateChanged(ev decision.ClientReadStateChanged) {
	for _, id := range ev.Statements {
		s := m.statements[id]
		switch {
		case s == nil:
		case ev.Disconnected:
			m.finish(s)
		default:
			s.clientBlocked = !ev.Reading
			if s.parked && ev.Reading {
				m.enqueue(s)
			}
		}
	}
}
