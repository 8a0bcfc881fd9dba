package proxy

import (
	"sync/atomic"
	"time"

	"bankledge/internal/logevent"
)

// minWallClockStep is the smallest step that is reported: smaller ones result from clock adjustments and from the time between two readings.
const minWallClockStep = 100 * time.Millisecond

// wallClockMonitor finds steps of the wall clock, for the log and the metrics. Nothing else depends on them: all durations are
// measured on the monotonic clock. One goroutine checks.
type wallClockMonitor struct {
	offset time.Duration // of the wall clock against the monotonic one since the origin, at the last check
	steps  atomic.Int64
}

// check returns by how much the wall clock has stepped since the last check. Both times hold a monotonic reading.
func (w *wallClockMonitor) check(origin, now time.Time) (by time.Duration, stepped bool) {
	offset := now.Round(0).Sub(origin.Round(0)) - now.Sub(origin)
	by = offset - w.offset
	if by.Abs() < minWallClockStep {
		return 0, false
	}
	w.offset = offset
	w.steps.Add(1)
	return by, true
}

// checkWallClock logs a step of the wall clock.
func (r *Router) checkWallClock() {
	if by, stepped := r.wallClock.check(r.clockOrigin, time.Now()); stepped {
		r.log.Warn(logevent.WallClockStepped, logevent.Milliseconds("by_ms", by), logevent.Milliseconds("uptime_ms", r.now()-clockHeadStart))
	}
}
