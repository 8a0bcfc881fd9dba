package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bankledge/decision"
)

func TestCongestionWindow(t *testing.T) {
	utilization := func(share float64) *decision.LoadReport { return reportOf(decision.FieldUtilization, share) }
	queue := func(depth float64) *decision.LoadReport { return reportOf(decision.FieldQueueDepth, depth) }
	for _, c := range []struct {
		name                  string
		size, threshold, want float64
		report                *decision.LoadReport
		late, completions     int
	}{
		{"doubles below the slow-start threshold", 2, 16, 4, utilization(0.5), 0, 0},
		{"adds one above it", 8, 4, 9, utilization(0.5), 0, 0},
		{"stops at cores x 2 / threads", 12, 16, 16, utilization(0.5), 0, 0},
		{"halves above 90 percent utilization", 8, 16, 4, utilization(0.95), 0, 0},
		{"halves on memory waits", 8, 16, 4, queue(2), 0, 0},
		{"never below one", 1, 16, 1, queue(2), 0, 0},
		{"measured latency replaces missing utilization", 8, 16, 4, queue(0), 3, 4},
		{"measured latency is ignored if utilization is reported", 8, 16, 16, utilization(0.5), 3, 4},
		{"a report without fields means no congestion", 8, 16, 16, &decision.LoadReport{}, 0, 0},
		{"no adjustment without a report", 8, 16, 8, nil, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t).at(0, ready("a"))
			w := &h.engine("a").windows[0]
			w.size = c.size
			w.threshold = c.threshold
			w.late = c.late
			w.completions = c.completions
			h.module.now = time.Second
			h.module.receiveReport(h.engine("a"), c.report)
			assert.Equal(t, c.want, w.size)
		})
	}
	t.Run("a rejection halves the window once per period and excludes the engine for one period", func(t *testing.T) {
		h := newHarness(t).at(0, ready("a", "b"))
		w := &h.engine("a").windows[0]
		w.size = 8
		h.at(time.Second, read("1"), read("2"))
		for _, id := range []decision.StatementID{"1", "2"} {
			h.engine("a").start(h.module.statements[id], time.Second, 0)
			n := decision.AttemptID(len(h.module.statements[id].attempts) - 1)
			h.at(time.Second, end(id, n, "a", decision.Overloaded))
		}
		assert.Equal(t, 4.0, w.size)
		assert.True(t, w.excluded)
		h.at(time.Second + reportPeriod)
		assert.False(t, w.excluded)
	})
	t.Run("a new engine starts at the mean of its machine type", func(t *testing.T) {
		h := newHarness(t).at(0, ready("a", "b"))
		h.engine("a").windows[0].size = 6
		h.engine("b").windows[0].size = 10
		h.at(time.Second, ready("a", "b", "c"))
		assert.Equal(t, 8.0, h.engine("c").windows[0].size)
	})
}
