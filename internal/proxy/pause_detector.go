package proxy

import (
	"sync/atomic"
	"time"
)

const (
	pauseThreshold   = 250 * time.Millisecond // without a beat: the router did not run
	catchUpDivisor   = 4                      // 1/4 of a pause is the time for reading input that arrived during it
	maxCatchUp       = 250 * time.Millisecond // bounds that time, in which new input is taken for old
	maxDiscoveryWait = 500 * time.Millisecond // for reading the control feed's events of the pause: a long list on a slow core
	discoveryCheck   = time.Millisecond       // between two checks for unread events
)

// pauseDetector detects that the router did not run for a while, since it was stopped or had no CPU time: input read after the pause
// arrived during it, and its client's deadline counts from then. One goroutine calls beat. All times are on the module's clock, in
// nanoseconds.
type pauseDetector struct {
	lastBeat    atomic.Int64
	pausedFrom  atomic.Int64 // when the last pause began
	catchUpEnds atomic.Int64 // until when input may have arrived during the last pause
}

// beat records that the router runs. It reports whether there was a pause before.
func (p *pauseDetector) beat(now time.Duration) (wasPaused bool) {
	last := time.Duration(p.lastBeat.Load())
	wasPaused = isPause(last, now)
	if wasPaused {
		p.pausedFrom.Store(int64(last))
		p.catchUpEnds.Store(int64(now + min(maxCatchUp, (now-last)/catchUpDivisor)))
	}
	p.lastBeat.Store(int64(now))
	return wasPaused
}

// isPause reports whether the time since the last beat is a pause; 0: there was no beat yet.
func isPause(lastBeat, now time.Duration) bool {
	return lastBeat > 0 && now-lastBeat > pauseThreshold
}

// earliestArrival returns the earliest time at which input read now may have arrived.
func (p *pauseDetector) earliestArrival(now time.Duration) time.Duration {
	if last := time.Duration(p.lastBeat.Load()); isPause(last, now) {
		return last
	}
	if now < time.Duration(p.catchUpEnds.Load()) {
		return time.Duration(p.pausedFrom.Load())
	}
	return now
}

// awaitDiscovery waits, after a pause, until the control feed's events of the pause have been received, so that no decision is
// made and no attempt begins with an outdated endpoint list.
func (r *Router) awaitDiscovery() {
	now := r.now()
	if r.pauses.earliestArrival(now) == now {
		return
	}
	deadline := time.Now().Add(maxDiscoveryWait)
	caughtUp := false
	for !caughtUp && time.Now().Before(deadline) {
		caughtUp = !r.discovery.HasUnreadEvents()
		time.Sleep(discoveryCheck) // also at the end: an event read just before the check may not be posted yet
	}
}
