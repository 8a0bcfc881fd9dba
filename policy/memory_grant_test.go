package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// Memory grants grow if attempts spill because memory estimates are too low.
func TestMemoryGrantFollowsSpills(t *testing.T) {
	h := newHarness(t)
	h.settings.Engines.MemoryGrants = true
	ev := read("s")
	ev.EstimatedMemoryMB = 100
	e := h.at(0, ready("a"), ev).sentTo()
	require.Equal(t, int64(125), pick[decision.SetResources](h)[0].MemoryGrantMB)
	h.at(ms, progress("s", e, decision.ProgressSpilling, 40))
	ev.Statement = "s2"
	assert.Greater(t, pick[decision.SetResources](h.at(2*ms, ev))[0].MemoryGrantMB, int64(125))
}
