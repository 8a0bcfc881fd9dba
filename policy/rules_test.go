package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// The module retries, rejects or aborts a statement after its first attempt, depending on its idempotency and the
// outcome.
func TestRetryRules(t *testing.T) {
	for _, c := range []struct {
		name        string
		idempotency decision.Idempotency
		scope       decision.DedupScope
		outcome     decision.Outcome
		after       time.Duration
		want        string // "sent", "reject" or "abort"
	}{
		{"idempotent is retried after an error",
			decision.Idempotent, 0, decision.Errored, 10 * ms, "sent"},
		{"non-idempotent that may have run is aborted",
			decision.NonIdempotent, 0, decision.ConnectionReset, 10 * ms, "abort"},
		{"non-idempotent after a time-out is aborted",
			decision.NonIdempotent, 0, decision.TimedOut, 10 * ms, "abort"},
		{"non-idempotent that never ran is retried",
			decision.NonIdempotent, 0, decision.Overloaded, 10 * ms, "sent"},
		{"deduplicated is retried within its window",
			decision.Deduplicated, decision.ScopeAll, decision.ConnectionReset, 10 * ms, "sent"},
		{"deduplicated is rejected after its window",
			decision.Deduplicated, decision.ScopeAll, decision.ConnectionReset, 2 * time.Second, "reject"},
		{"deduplicated in a cell is not sent to another cell",
			decision.Deduplicated, decision.ScopeCell, decision.ConnectionReset, 10 * ms, ""},
		{"deduplicated in a cell is aborted after its window",
			decision.Deduplicated, decision.ScopeCell, decision.ConnectionReset, 2 * time.Second, "abort"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.settings.Workloads[0].Idempotency = c.idempotency
			h.settings.Workloads[0].DedupScope = c.scope
			h.settings.Workloads[0].LatencyObjective = 3 * time.Second
			list := ready("a", "b")
			list.Endpoints[0].Cell = 1
			list.Endpoints[1].Cell = 2
			e := h.at(0, list, read("s")).sentTo()
			require.NotEmpty(t, e)
			h.at(c.after, end("s", 0, e, c.outcome))
			got := ""
			for _, a := range h.actions {
				switch a.(type) {
				case decision.StartAttempt:
					got = "sent"
				case decision.Reject:
					got = "reject"
				case decision.Abort:
					got = "abort"
				}
			}
			assert.Equal(t, c.want, got)
		})
	}
}

// Repeats of a deduplicated statement are dropped only within a window after its first send, so a host that is slow
// must not send a retry after the window.
func TestRetryStartsWithinDedupWindow(t *testing.T) {
	for _, c := range []struct {
		name        string
		idempotency decision.Idempotency
		first       decision.Outcome
		want        time.Duration
	}{
		{"deduplicated", decision.Deduplicated, decision.ConnectionReset, 500*ms + time.Second},
		{"the first never ran", decision.Deduplicated, decision.Overloaded, 0},
		{"idempotent", decision.Idempotent, decision.ConnectionReset, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.settings.Workloads[0].Idempotency = c.idempotency
			h.settings.Workloads[0].DedupWindow = time.Second
			h.settings.Workloads[0].LatencyObjective = 3 * time.Second
			first := pick[decision.StartAttempt](h.at(500*ms, ready("a", "b"), read("s")))
			require.Len(t, first, 1)
			assert.Zero(t, first[0].StartBefore, "a first attempt has no limit")
			again := pick[decision.StartAttempt](h.at(600*ms, end("s", 0, first[0].Engine, c.first)))
			require.Len(t, again, 1)
			assert.Equal(t, c.want, again[0].StartBefore)
		})
	}
}

func TestForbiddenPlacements(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(h *harness, e *decision.Endpoint)
	}{
		{"draining", func(_ *harness, e *decision.Endpoint) { e.State = decision.Draining }},
		{"removed", func(_ *harness, e *decision.Endpoint) { e.State = decision.Removed }},
		{"zone not allowed", func(h *harness, e *decision.Endpoint) {
			h.settings.Workloads[0].AllowedZones = []decision.Zone{"z9"}
		}},
		{"machine type not allowed", func(h *harness, e *decision.Endpoint) {
			h.settings.Workloads[0].AllowedMachineTypes = []decision.MachineType{"k4"}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, list := newHarness(t), ready("a")
			c.change(h, &list.Endpoints[0])
			assert.Empty(t, h.at(0, list, read("s")).sentTo())
			h.at(4*time.Second-10*ms, decision.TimerFired{})
			assert.Empty(t, h.sentTo())
			assert.Empty(t, h.module.statements, "answered before the deadline")
		})
	}
	t.Run("no engine at all", func(t *testing.T) {
		h := newHarness(t).at(0, read("s"))
		assert.Empty(t, h.sentTo())
		h.at(2 * time.Second)
		assert.Len(t, pick[decision.Reject](h), 1, "rejected once its answer has no value")
	})
	t.Run("missing from a complete list", func(t *testing.T) {
		h := newHarness(t).at(0, ready("a", "b")).at(1, ready("b"))
		assert.EqualValues(t, "b", h.at(2, read("s")).sentTo())
	})
}
