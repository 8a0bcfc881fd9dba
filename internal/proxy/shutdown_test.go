package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bankledge/decision"
)

// A shutdown gives requests that may still arrive their full time, and ends before the router would be killed, however short the
// statement timeouts.
func TestShutdownSchedule(t *testing.T) {
	const (
		requestsCome = 600 * time.Millisecond // after the signal
		killed       = 700 * time.Millisecond // after that and the longest statement timeout, 3 s at most
	)
	for _, longest := range []time.Duration{0, 20 * time.Millisecond, 180 * time.Millisecond, 400 * time.Millisecond, time.Second, 3 * time.Second, 25 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			schedule := newShutdownSchedule([]decision.Workload{{StatementTimeout: longest / 2}, {StatementTimeout: longest}})
			awaited := min(longest, maxAwaitedTimeout)
			assert.GreaterOrEqual(t, schedule.endAfter, requestsCome+awaited, "the last request has its time")
			assert.Less(t, schedule.endAfter, awaited+killed)
			assert.LessOrEqual(t, schedule.cancelAfter, schedule.endAfter)
			if longest > maxAwaitedTimeout {
				assert.GreaterOrEqual(t, schedule.endAfter-schedule.cancelAfter, 100*time.Millisecond, "for the answers")
			}
			assert.False(t, schedule.isOver(requestsCome-time.Millisecond, true), "a request may still arrive")
			assert.False(t, schedule.isOver(schedule.endAfter, false))
			assert.True(t, schedule.isOver(schedule.endAfter+1, false))
			assert.True(t, schedule.isOver(max(acceptGrace, schedule.endAfter)+1, true))
		})
	}
}
