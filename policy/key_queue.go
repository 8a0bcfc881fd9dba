package policy

import (
	"slices"
	"time"

	"bankledge/decision"
)

// keyQueue is the queue of the statements with one key, which run one at a time in the order of arrival.
type keyQueue struct {
	statements   []*statement
	openAttempts int           // attempts without an outcome, of finished statements
	quietUntil   time.Duration // until when an ended attempt may still run on its engine
}

// keyQueues holds the queues by key.
type keyQueues map[decision.Key]*keyQueue

// add appends a statement to its key's queue.
func (k keyQueues) add(s *statement) {
	if k[s.key] == nil {
		k[s.key] = &keyQueue{}
	}
	k[s.key].statements = append(k[s.key].statements, s)
}

// remove removes a finished statement from its queue. Its open attempts still delay the next statement.
func (k keyQueues) remove(s *statement, now time.Duration) {
	queue := k[s.key]
	if queue == nil {
		return
	}
	queue.statements = slices.DeleteFunc(queue.statements, func(other *statement) bool { return other == s })
	queue.openAttempts += s.openAttempts
	k.deleteIdle(s.key, now)
}

// deleteIdle deletes a key's queue if it is empty, has no open attempts and its quiet period is over.
func (k keyQueues) deleteIdle(key decision.Key, now time.Duration) {
	queue := k[key]
	if queue != nil && len(queue.statements) == 0 && queue.openAttempts == 0 && now >= queue.quietUntil {
		delete(k, key)
	}
}

// attemptEnded records that an attempt of the statement has ended, and extends the quiet period of its key.
func (k keyQueues) attemptEnded(s *statement, quietUntil time.Duration) {
	queue := k[s.key]
	if queue == nil {
		return
	}
	queue.quietUntil = max(queue.quietUntil, quietUntil)
	if s.finished {
		queue.openAttempts--
	}
}

// mayRun reports whether it is a statement's turn. Retries of the statement do not wait for the quiet period.
func (k keyQueues) mayRun(s *statement, now time.Duration) bool {
	if s.key == "" {
		return true
	}
	queue := k[s.key]
	if queue.statements[0] != s {
		return false
	}
	return len(s.attempts) > 0 || queue.openAttempts == 0 && now >= queue.quietUntil
}

// releaseKey lets the next statement of a key run. If the attempt may still run despite its outcome, the key first
// stays quiet for KeyQuietPeriod.
func (m *Module) releaseKey(s *statement, outcome decision.Outcome) {
	quietUntil := m.now
	switch outcome {
	case decision.TimedOut, decision.ConnectionReset, decision.Cancelled:
		quietUntil += m.rules.KeyQuietPeriod
	}
	m.keyQueues.attemptEnded(s, quietUntil)
	m.timers.Schedule(quietUntil, func() {
		m.queue.dirty = true
		m.keyQueues.deleteIdle(s.key, quietUntil)
	})
}
