package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// An attempt whose progress shows a bad plan is cancelled, and its statement sent elsewhere.
func TestSlowAttemptMovesElsewhere(t *testing.T) {
	h := newHarness(t)
	h.traits.ProgressInterval = 500 * ms
	h.workloads[0].LatencyObjective = 3 * time.Second
	h.workloads[0].LateFactor = 0.5
	e := h.at(0, ready("a", "b"), read("s")).sentTo()
	h.at(500*ms, note("s", e, decision.ProgressShareDone, 0.05))
	require.Len(t, pick[decision.CancelAttempt](h), 1)
	other := h.at(501*ms, end("s", 0, e, decision.Cancelled)).sentTo()
	assert.NotEmpty(t, other)
	assert.NotEqual(t, e, other)
}

// Where the host cannot cancel, what is stuck is hedged, if that is allowed.
func TestHedgeWithoutCancellation(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		h := newHarness(t)
		h.limits.Cancellation = false
		h.limits.Hedging = allowed
		h.workloads[0].LatencyObjective = 2 * time.Second
		e := h.at(0, ready("a", "b"), read("s")).sentTo()
		other := h.at(1900 * ms).sentTo()
		assert.Equal(t, allowed, other != "")
		assert.NotEqual(t, e, other)
		assert.Empty(t, h.at(2200*ms).sentTo(), "one hedge, no more")
	}
}
