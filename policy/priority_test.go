package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// Late statements do not get the lowest priority, at which they would starve.
func TestLateWorkIsNotStarved(t *testing.T) {
	h := newHarness(t)
	h.settings.Engines.Priorities = true
	h.settings.Workloads[0].LateFactor = 0.5
	h.at(0, read("s"))
	h.at(1500*ms, ready("a"))
	require.NotEmpty(t, h.sentTo())
	for _, resources := range pick[decision.SetResources](h) {
		assert.Positive(t, resources.Priority)
	}
}

// An attempt that is more than half done gets the highest priority, if engines use priorities.
func TestNearlyDoneAttemptGetsHighPriority(t *testing.T) {
	h := newHarness(t)
	h.settings.Engines.Priorities = true
	h.settings.Engines.ProgressInterval = 500 * ms
	h.at(0, ready("a"), heavyWrite("s"))
	h.at(500*ms, progress("s", "a", decision.ProgressShareDone, 0.4))
	assert.Empty(t, pick[decision.SetResources](h))
	h.at(time.Second, progress("s", "a", decision.ProgressShareDone, 0.6))
	require.Len(t, pick[decision.SetResources](h), 1)
	assert.Equal(t, 3, pick[decision.SetResources](h)[0].Priority)
}
