package proxy

import (
	"sync/atomic"
	"time"
)

const (
	pauseThreshold       = 250 * time.Millisecond // a longer time without a heartbeat is a pause
	catchUpDivisor       = 4                      // after a pause, input counts as received during it for 1/4 of its length
	maxCatchUp           = 250 * time.Millisecond // limits that time, since new input is also treated as old during it
	maxCatchUpWait       = 500 * time.Millisecond // for reading the control feed's events of a pause: a long list on a slow core
	catchUpCheckInterval = time.Millisecond       // between two checks for unread input
)

// pauseDetector detects that the router did not run for a while because it was suspended or had no CPU time. Input read soon after such
// a pause may have arrived during it, so the client's deadline counts from the start of the pause. One goroutine calls heartbeat. All times
// are on the module's clock, in nanoseconds.
type pauseDetector struct {
	lastHeartbeat atomic.Int64
	pausedFrom    atomic.Int64 // when the last pause began
	catchUpEnds   atomic.Int64 // until when input may have arrived during the last pause
}

// heartbeat records that the router is running. It reports whether a pause has just ended.
func (p *pauseDetector) heartbeat(now time.Duration) (wasPaused bool) {
	last := time.Duration(p.lastHeartbeat.Load())
	wasPaused = isPause(last, now)
	if wasPaused {
		p.pausedFrom.Store(int64(last))
		p.catchUpEnds.Store(int64(now + min(maxCatchUp, (now-last)/catchUpDivisor)))
	}
	p.lastHeartbeat.Store(int64(now))
	return wasPaused
}

// isPause reports whether the time since the last heartbeat is a pause. lastHeartbeat is 0 before the first heartbeat.
func isPause(lastHeartbeat, now time.Duration) bool {
	return lastHeartbeat > 0 && now-lastHeartbeat > pauseThreshold
}

// earliestArrival returns the earliest time at which input read now may have arrived.
func (p *pauseDetector) earliestArrival(now time.Duration) time.Duration {
	if last := time.Duration(p.lastHeartbeat.Load()); isPause(last, now) {
		return last
	}
	if now < time.Duration(p.catchUpEnds.Load()) {
		return time.Duration(p.pausedFrom.Load())
	}
	return now
}

// awaitDiscovery waits, after a pause, until the control feed's events of the pause have been received or maxCatchUpWait is over, so
// that the router neither decides nor starts an attempt with an outdated endpoint list.
func (r *Router) awaitDiscovery() {
	r.awaitCatchUp(func() bool { return !r.discovery.HasUnreadEvents() })
}

// clientWaits reports whether the client of a request still waits for the answer. After a pause, it first waits until the client's input
// of the pause, which may cancel the request, has been read or maxCatchUpWait is over.
func (r *Router) clientWaits(req *request) bool {
	r.awaitCatchUp(func() bool { return !req.client.HasUnreadInput() })
	return req.client.Waits(req.stream)
}

// awaitCatchUp waits, after a pause, until caughtUp returns true or maxCatchUpWait is over.
func (r *Router) awaitCatchUp(caughtUp func() bool) {
	now := r.now()
	if r.pauses.earliestArrival(now) == now {
		return
	}
	deadline := time.Now().Add(maxCatchUpWait)
	for done := false; !done && time.Now().Before(deadline); {
		done = caughtUp()
		time.Sleep(catchUpCheckInterval) // also after the last check: input read just before it may not be handled yet
	}
}
