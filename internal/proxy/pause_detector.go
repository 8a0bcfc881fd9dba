package proxy

import (
	"sync/atomic"
	"time"
)

const (
	pauseThreshold   = 250 * time.Millisecond // without a beat: the router did not run
	catchUpDivisor   = 4                      // one part in so many of a pause is given to reading what came meanwhile
	maxCatchUp       = 250 * time.Millisecond // and no more: what arrives fresh then is treated as old
	maxDiscoveryWait = 500 * time.Millisecond // for what the control feed has sent meanwhile: a long list on a slow core
	discoveryCheck   = time.Millisecond       // between two checks of that
)

// pauseDetector finds out that the router did not run for a while, stopped or without its core: what it then reads arrived during the pause,
// and its client's time has been running since. One goroutine beats. All times are on the module's clock, in nanoseconds.
type pauseDetector struct {
	lastBeat    atomic.Int64
	pausedFrom  atomic.Int64 // when the last pause began
	catchUpEnds atomic.Int64 // until when what is read may have come during it
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

// earliestArrival is the earliest time at which what is read now may have come.
func (p *pauseDetector) earliestArrival(now time.Duration) time.Duration {
	if last := time.Duration(p.lastBeat.Load()); isPause(last, now) {
		return last
	}
	if now < time.Duration(p.catchUpEnds.Load()) {
		return time.Duration(p.pausedFrom.Load())
	}
	return now
}

// awaitDiscovery waits, after a pause, until what the control feed sent meanwhile has been received: nothing
// is decided, and no attempt begins, on a list that old.
func (r *Router) awaitDiscovery() {
	now := r.now()
	if r.pauses.earliestArrival(now) == now {
		return
	}
	deadline := time.Now().Add(maxDiscoveryWait)
	caughtUp := false
	for !caughtUp && time.Now().Before(deadline) {
		caughtUp = !r.discovery.HasUnreadEvents()
		time.Sleep(discoveryCheck) // also at the end: an event that was read at the instant of the check is still on its way
	}
}
