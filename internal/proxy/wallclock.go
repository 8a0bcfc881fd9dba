package proxy

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// leastStep is the smallest step of the wall clock that is told: less comes of adjustments, and of the time between two readings.
const leastStep = 100 * time.Millisecond

// wallClock finds steps of the wall clock, for the log and the figures. Nothing else depends on them: all spans of time are
// measured on the monotonic clock. One goroutine looks.
type wallClock struct {
	offset time.Duration // of the wall clock against the monotonic one since the origin, when it was last looked at
	steps  atomic.Int64
}

// look tells by how much the wall clock has stepped since the last look. Both times hold a monotonic reading.
func (w *wallClock) look(origin, now time.Time) (by time.Duration, stepped bool) {
	offset := now.Round(0).Sub(origin.Round(0)) - now.Sub(origin)
	by = offset - w.offset
	if by.Abs() < leastStep {
		return 0, false
	}
	w.offset = offset
	w.steps.Add(1)
	return by, true
}

// watchWallClock logs a step of the wall clock.
func (g *Router) watchWallClock() {
	if by, stepped := g.wallClock.look(g.origin, time.Now()); stepped {
		g.log.Warn("the wall clock has stepped", zap.Duration("by", by), zap.Duration("uptime", g.now()-clockBefore))
	}
}
