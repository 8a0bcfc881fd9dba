package proxy

import (
	"sync/atomic"
	"time"

	"bankledge/internal/logevent"
)

// minWallClockStep is the smallest step that is reported. Smaller ones result from clock adjustments and from the time between two
// readings.
const minWallClockStep = 100 * time.Millisecond

// wallClockMonitor detects steps of the wall clock, for the log and the metrics. Nothing else depends on them, since all durations are
// measured on the monotonic clock. Only one goroutine may call check.
type wallClockMonitor struct {
	offset time.Duration // of the wall clock relative to the monotonic clock since the origin, at the last check
	steps  atomic.Int64
}

// check returns the step of the wall clock since the last check, if there was one. Both times must hold a monotonic reading.
func (w *wallClockMonitor) check(origin, now time.Time) (step time.Duration, stepped bool) {
	offset := now.Round(0).Sub(origin.Round(0)) - now.Sub(origin)
	step = offset - w.offset
	if step.Abs() < minWallClockStep {
		return 0, false
	}
	w.offset = offset
	w.steps.Add(1)
	return step, true
}

// checkWallClock logs a step of the wall clock.
func (r *Router) checkWallClock() {
	if step, stepped := r.wallClock.check(r.clockOrigin, time.Now()); stepped {
		r.log.Warn(logevent.WallClockStepped, logevent.Milliseconds("by_ms", step), logevent.Milliseconds("uptime_ms", r.now()-clockOriginOffset))
	}
}
