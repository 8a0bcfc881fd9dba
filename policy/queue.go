package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bankledge/decision"
)

// maxWithoutEngine is how many statements of a workload may find no engine before a pass skips the workload.
const maxWithoutEngine = 4

// statementQueue is the statements that are queued for an attempt.
type statementQueue struct {
	waiting  []*statement
	examined int  // the first so many found no place since the queue was last dirty
	dirty    bool // statements may find a place that they did not find before
}

// enqueue has a statement wait for its next attempt. One that waits already, for a hedge, keeps its place: it waits for
// one attempt, whatever that will be.
func (m *Module) enqueue(s *statement) {
	s.parked = false
	if s.queued {
		return
	}
	s.queued = true
	m.queue.waiting = append(m.queue.waiting, s)
}

// dispatch starts attempts of the statements that wait, by what their answers count for their work, and sheds those
// whose answers no longer count. Unless the queue is dirty, only what has just arrived is examined.
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
		s.queued = !m.leavesQueue(s, withoutEngine)
		return !s.queued
	})
	q.examined += len(remaining)
	q.waiting = q.waiting[:q.examined]
}

// leavesQueue starts a statement's next attempt or sheds it, and reports whether it no longer waits. The slice counts,
// by workload, the statements that found no engine in this pass.
func (m *Module) leavesQueue(s *statement, withoutEngine []int) bool {
	if m.isTooLate(s) {
		m.endUnanswered(s, decision.ReasonTooLate)
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

// isTooLate reports whether a statement that has no attempt in flight is to be shed: it cannot be answered in time, or
// its answer would no longer count for anything.
func (m *Module) isTooLate(s *statement) bool {
	if s.openAttempts > 0 || s.workload.Protected {
		return false
	}
	lastStart := s.deadline - time.Duration(s.classifiedAs.pace*float64(s.expectedRun))
	if m.now > lastStart {
		return true
	}
	return s.workload.LateFactor == 0 && m.now > (s.objectiveAt+s.latestStart())/2
}

// clientReadStateChanged parks the statements of a client that does not read, since their answers might have to be
// dropped, and queues them again. Their time runs on. What is answered and no longer waited for is finished.
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
