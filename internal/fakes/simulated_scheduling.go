package fakes

import "time"

const (
	maxTimerDelay     = time.Hour              // delay of the timer if nothing is scheduled
	warmUpStep        = 100 * time.Millisecond // time after which the speed of a cold engine is computed again
	wakeSlack         = time.Millisecond       // added to the delay of the timer, so that the work is done when it fires
	finishedTolerance = 1e-6                   // seconds; a statement with at most this much remaining work is finished
	minWork           = 1e-9                   // seconds
	resultRetention   = 2 * time.Second        // time for which the engine keeps a result
)

// applyElapsedWork subtracts the work done since the last call from the remaining work. The caller holds the lock.
func (e *SimulatedEngine) applyElapsedWork() {
	now := time.Now()
	passed := now.Sub(e.lastUpdate).Seconds()
	speed := e.threadSpeed()
	e.lastUpdate = now
	for _, x := range e.executions {
		if !x.ended {
			x.remaining -= passed * x.threads * speed
		}
	}
}

// running returns the number of running statements and of their threads.
func (e *SimulatedEngine) running() (count int, threads float64) {
	for _, x := range e.executions {
		if !x.ended {
			count++
			threads += x.threads
		}
	}
	return count, threads
}

// threadSpeed returns the share of a core that each thread gets.
func (e *SimulatedEngine) threadSpeed() float64 {
	_, threads := e.running()
	cores := e.Cores * e.warmShare(e.lastUpdate)
	slowdown := max(1, e.slowdown)
	if threads <= cores {
		return 1 / slowdown
	}
	return cores / threads / max(1, threads/(cores*e.ThreadsPerCore)) / slowdown
}

// advance finishes statements without remaining work, drops statements that were not polled in time, and sets the timer to the next such
// change. The caller has called applyElapsedWork and holds the lock.
func (e *SimulatedEngine) advance() {
	e.finishDone()
	speed := e.threadSpeed()
	next := min(maxTimerDelay, e.abandonUnpolled())
	if e.warmShare(e.lastUpdate) < 1 { // the engine speeds up while it warms up
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
		if !x.ended && x.remaining <= finishedTolerance {
			x.ended = true
			e.notify(EngineEvent{Kind: AttemptEnded, ID: id, Workload: x.workload})
			close(x.done)
			time.AfterFunc(resultRetention, func() { e.removeFinished(id, x) })
		}
	}
}

// abandonUnpolled drops statements that were not polled for AbandonAfter, and returns the time until the next one can be dropped.
func (e *SimulatedEngine) abandonUnpolled() (next time.Duration) {
	next = maxTimerDelay
	if e.AbandonAfter == 0 {
		return next
	}
	for id, x := range e.executions {
		if x.ended || x.polls > 0 {
			continue
		}
		next = min(next, x.polledAt.Add(e.AbandonAfter+wakeSlack).Sub(e.lastUpdate))
		if e.lastUpdate.Sub(x.polledAt) >= e.AbandonAfter {
			x.ended = true
			delete(e.executions, id)
			e.notify(EngineEvent{Kind: AttemptAbandoned, ID: id, Workload: x.workload})
		}
	}
	return next
}

// wake updates the state of the engine; the timer calls it.
func (e *SimulatedEngine) wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyElapsedWork()
	e.advance()
}

// removeFinished removes a finished statement, unless its id has been reused.
func (e *SimulatedEngine) removeFinished(id string, x *execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.executions[id] == x {
		delete(e.executions, id)
	}
}
