package fakes

import "time"

const (
	idleWake      = time.Hour              // when nothing is to happen
	warmUpStep    = 100 * time.Millisecond // after which the speed of a cold engine is computed again
	wakeSlack     = time.Millisecond       // so that work is done when the timer fires
	finishedSlack = 1e-6                   // seconds of work that count as done
	minWork       = 1e-9                   // seconds
	keepFinished  = 2 * time.Second        // how long a result can be read
)

// account takes off the work done since the last change. The lock is held.
func (e *SimulatedEngine) account() {
	now := time.Now()
	passed := now.Sub(e.accountedAt).Seconds()
	speed := e.threadSpeed()
	e.accountedAt = now
	for _, x := range e.executions {
		if !x.ended {
			x.remaining -= passed * x.threads * speed
		}
	}
}

// running returns how many statements run, and their threads.
func (e *SimulatedEngine) running() (count int, threads float64) {
	for _, x := range e.executions {
		if !x.ended {
			count++
			threads += x.threads
		}
	}
	return count, threads
}

// threadSpeed is the share of a core that each thread has.
func (e *SimulatedEngine) threadSpeed() float64 {
	_, threads := e.running()
	cores := e.Cores * e.warmShare(e.accountedAt)
	slowdown := max(1, e.slowdown)
	if threads <= cores {
		return 1 / slowdown
	}
	return cores / threads / max(1, threads/(cores*e.ThreadsPerCore)) / slowdown
}

// advance ends statements that have had their work, drops those that nobody polls, and sets the timer to when the next thing happens. Work
// is accounted, and the lock is held.
func (e *SimulatedEngine) advance() {
	e.finishDone()
	speed := e.threadSpeed()
	next := min(idleWake, e.abandonUnpolled())
	if e.warmShare(e.accountedAt) < 1 { // it speeds up meanwhile
		next = min(next, warmUpStep)
	}
	running := 0
	for _, x := range e.executions {
		if !x.ended {
			running++
			next = min(next, seconds(x.remaining/(x.threads*speed))+wakeSlack)
		}
	}
	e.peakConcurrency = max(e.peakConcurrency, running)
	e.timer.Reset(next)
}

func (e *SimulatedEngine) finishDone() {
	for id, x := range e.executions {
		if !x.ended && x.remaining <= finishedSlack {
			x.ended = true
			e.notify(EngineEvent{Kind: AttemptEnded, ID: id, Workload: x.workload})
			close(x.done)
			time.AfterFunc(keepFinished, func() { e.forget(id, x) })
		}
	}
}

// abandonUnpolled drops statements that nobody has polled for long, and returns how long until the next one is to be dropped.
func (e *SimulatedEngine) abandonUnpolled() (next time.Duration) {
	next = idleWake
	if e.AbandonAfter == 0 {
		return next
	}
	for id, x := range e.executions {
		if x.ended || x.polls > 0 {
			continue
		}
		next = min(next, x.polledAt.Add(e.AbandonAfter+wakeSlack).Sub(e.accountedAt))
		if e.accountedAt.Sub(x.polledAt) >= e.AbandonAfter {
			x.ended = true
			delete(e.executions, id)
			e.notify(EngineEvent{Kind: AttemptAbandoned, ID: id, Workload: x.workload})
		}
	}
	return next
}

// wake is called by the timer.
func (e *SimulatedEngine) wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account()
	e.advance()
}

// forget removes a finished statement, unless its id has been used again.
func (e *SimulatedEngine) forget(id string, x *execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.executions[id] == x {
		delete(e.executions, id)
	}
}
