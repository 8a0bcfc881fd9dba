package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bankledge/decision"
)

// A shutdown gives requests that may still arrive their full time, and ends before the process would be killed, for short and long
// statement timeouts.
func TestShutdownSchedule(t *testing.T) {
	const (
		lastArrival = 600 * time.Millisecond // requests may arrive until this time after the signal
		killMargin  = 700 * time.Millisecond // the process is killed this time plus the longest statement timeout (at most 3 s) after the signal
	)
	for _, longest := range []time.Duration{0, 20 * time.Millisecond, 180 * time.Millisecond, 400 * time.Millisecond, time.Second, 3 * time.Second, 25 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			schedule := newShutdownSchedule([]decision.Workload{{StatementTimeout: longest / 2}, {StatementTimeout: longest}})
			awaited := min(longest, maxAwaitedTimeout)
			assert.GreaterOrEqual(t, schedule.endAfter, lastArrival+awaited, "the last request has its full time")
			assert.Less(t, schedule.endAfter, awaited+killMargin)
			assert.LessOrEqual(t, schedule.cancelAfter, schedule.endAfter)
			if longest > maxAwaitedTimeout {
				assert.GreaterOrEqual(t, schedule.endAfter-schedule.cancelAfter, 100*time.Millisecond, "time to send the answers")
			}
			assert.False(t, schedule.isOver(lastArrival-time.Millisecond, true), "a request may still arrive")
			assert.False(t, schedule.isOver(schedule.endAfter, false))
			assert.True(t, schedule.isOver(schedule.endAfter+1, false))
			assert.True(t, schedule.isOver(max(acceptGrace, schedule.endAfter)+1, true))
		})
	}
}
