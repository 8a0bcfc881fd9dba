package policy

import (
	"slices"
	"time"

	"bankledge/decision"
)

// keyQueue is the queue of the statements with one key, which run one at a time in the order of their arrival.
type keyQueue struct {
	statements   []*statement
	openAttempts int           // without an outcome, of statements that are finished
	quietUntil   time.Duration // an attempt that lost its connection may run until then
}

// keyQueues holds the queues by key.
type keyQueues map[decision.Key]*keyQueue

// join puts a statement at the end of its key's queue.
func (k keyQueues) join(s *statement) {
	if k[s.key] == nil {
		k[s.key] = &keyQueue{}
	}
	k[s.key].statements = append(k[s.key].statements, s)
}

// leave takes a statement that finishes out of its queue; its open attempts still delay the next one.
func (k keyQueues) leave(s *statement, now time.Duration) {
	queue := k[s.key]
	if queue == nil {
		return
	}
	queue.statements = slices.DeleteFunc(queue.statements, func(other *statement) bool { return other == s })
	queue.openAttempts += s.openAttempts
	k.forget(s.key, now)
}

// forget drops a key's queue when nothing is left of it and its quiet period is over.
func (k keyQueues) forget(key decision.Key, now time.Duration) {
	queue := k[key]
	if queue != nil && len(queue.statements) == 0 && queue.openAttempts == 0 && now >= queue.quietUntil {
		delete(k, key)
	}
}

// attemptEnded records that an attempt of the statement has an outcome, and until when its key stays quiet.
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

// mayRun reports whether it is a statement's turn. Its own retries need not wait for the quiet period.
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

// releaseKey lets the next statement of a key run. After some outcomes the attempt may still run: then the key stays
// quiet for the time that the rules name.
func (m *Module) releaseKey(s *statement, outcome decision.Outcome) {
	quietUntil := m.now
	switch outcome {
	case decision.TimedOut, decision.ConnectionReset, decision.Cancelled:
		quietUntil += m.rules.KeyQuietPeriod
	}
	m.keyQueues.attemptEnded(s, quietUntil)
	m.timers.Schedule(quietUntil, func() {
		m.queue.dirty = true
		m.keyQueues.forget(s.key, quietUntil)
	})
}
