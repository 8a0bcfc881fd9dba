package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// An attempt whose progress indicates a bad plan is cancelled, and its statement is retried on another engine.
func TestSlowAttemptIsRetriedElsewhere(t *testing.T) {
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

// If the host cannot cancel attempts, a stuck statement is hedged, provided that hedging is allowed.
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
		assert.Empty(t, h.at(2200*ms).sentTo(), "only one hedge")
	}
}

// A statement that waits for a hedge is not queued again for a retry. The hedge of a slow attempt is queued while no
// other engine is available; then the attempt fails, and a retry is due. The statement used to be queued twice, and one
// dispatch pass sent it to two engines that had joined.
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
