package policy

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// A bulk load and the reads that it would block are placed on different engines.
func TestBulkLoadExcludesReads(t *testing.T) {
	h := newHarness(t).at(0, ready("a", "b"))
	e := h.at(1, write("w")).sentTo()
	for i := range 4 {
		assert.NotEqual(t, e, h.at(2, read(decision.StatementID(fmt.Sprint(i)))).sentTo())
	}
}

// A message that an attempt waits for another router's bulk load excludes the engine for that table group only.
func TestBulkLoadOfAnotherRouter(t *testing.T) {
	h := newHarness(t)
	h.settings.Engines.ProgressInterval = 500 * ms
	h.settings.Workloads[0].LatencyObjective = 3 * time.Second
	e := h.at(0, ready("a", "b"), read("s")).sentTo()
	h.at(500*ms, progress("s", e, decision.ProgressWaiting, decision.WaitingForBulkLoad))
	require.Len(t, pick[decision.CancelAttempt](h), 1)
	assert.NotEqual(t, e, h.at(501*ms, read("s2")).sentTo(), "same table group")
	other := read("s3")
	other.TableGroup = 9
	h.engine("a").touch(9, recentTableGroups)
	h.engine("b").touch(9, recentTableGroups)
	h.at(502*ms, end("s", 0, e, decision.Cancelled))
	assert.Equal(t, e, h.at(503*ms, other).sentTo(), "another table group")
}

// Bulk loads of one table group are spread over half of the engines.
func TestBulkLoadsSpreadOverHalfOfTheEngines(t *testing.T) {
	h := newHarness(t).at(0, ready("a", "b", "c", "d", "e", "f"))
	load := h.unsent(1, 7)
	assert.Len(t, h.module.candidates(load, slices.Clone(h.module.endpoints.all)), 3)
}

// Bulk loads run on the half of the engines in hash order where their table group is read least. If that half is
// congested they run on all engines but the first, where reads of the group find no bulk load to wait for.
func TestBulkLoadsLeaveOneEngineToReads(t *testing.T) {
	for _, c := range []struct {
		name      string
		congested bool
		placed    int
	}{{"free", false, 2}, {"congested", true, 3}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t).at(0, ready("a", "b", "c", "d"))
			first := h.module.endpoints.ranked(0)[0].Engine
			for _, e := range h.module.endpoints.all {
				e.utilization = 0.1
				e.utilizationKnown = true
				e.windows[1].size = 4
			}
			for _, e := range h.module.candidates(h.unsent(1, 0), slices.Clone(h.module.endpoints.ranked(0))) {
				if c.congested {
					e.utilization = busyUtilization + 0.1
				}
			}
			on := map[decision.EngineID]bool{}
			for i := range 4 { // no engine runs two bulk loads of one table group
				if e := h.at(time.Duration(i+1), write(decision.StatementID(strconv.Itoa(i)))).sentTo(); e != "" {
					on[e] = true
				}
			}
			require.Len(t, on, c.placed)
			require.NotContains(t, on, first)
			require.Equal(t, first, h.at(5, read("r")).sentTo())
		})
	}
}
