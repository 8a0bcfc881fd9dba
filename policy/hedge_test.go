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
	h.settings.Engines.ProgressInterval = 500 * ms
	h.settings.Workloads[0].LatencyObjective = 3 * time.Second
	h.settings.Workloads[0].LateFactor = 0.5
	e := h.at(0, ready("a", "b"), read("s")).sentTo()
	h.at(500*ms, progress("s", e, decision.ProgressShareDone, 0.05))
	require.Len(t, pick[decision.CancelAttempt](h), 1)
	other := h.at(501*ms, end("s", 0, e, decision.Cancelled)).sentTo()
	assert.NotEmpty(t, other)
	assert.NotEqual(t, e, other)
}

// Where the host cannot cancel, what is stuck is hedged, if that is allowed.
func TestHedgeWithoutCancellation(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		h := newHarness(t)
		h.settings.Limits.Cancellation = false
		h.settings.Limits.Hedging = allowed
		h.settings.Workloads[0].LatencyObjective = 2 * time.Second
		e := h.at(0, ready("a", "b"), read("s")).sentTo()
		other := h.at(1900 * ms).sentTo()
		assert.Equal(t, allowed, other != "")
		assert.NotEqual(t, e, other)
		assert.Empty(t, h.at(2200*ms).sentTo(), "one hedge, no more")
	}
}

// A slow attempt that cannot be cancelled has its statement queued for a hedge. Before there is an engine for it, the attempt errs, and the
// statement is queued for a retry. It stood in the queue twice then: once engines had joined, one pass sent it to two of them.
func TestHedgeAndRetryQueueOnce(t *testing.T) {
	h := newHarness(t)
	h.settings.Limits.Cancellation = false
	h.settings.Limits.Hedging = true
	h.settings.Workloads[0].LatencyObjective = 3 * time.Second
	h.settings.Workloads[0].LateFactor = 0.5
	e := h.at(0, ready("a"), read("s")).sentTo()
	require.Equal(t, decision.EngineID("a"), e)
	assert.Empty(t, h.at(1000*ms, progress("s", e, decision.ProgressShareDone, 0.01)).sentTo())
	assert.Empty(t, h.at(1100*ms, end("s", 0, e, decision.Errored)).sentTo())
	assert.Len(t, h.module.queue.waiting, 1)
	assert.NotEmpty(t, h.at(1200*ms, ready("a", "b", "c", "d")).sentTo(), "one attempt")
	assert.Empty(t, h.module.queue.waiting)
}
