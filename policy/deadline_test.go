package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// Every statement gets exactly one answer, before its deadline.
func TestAnswerBeforeDeadline(t *testing.T) {
	for _, c := range []struct {
		name   string
		event  decision.StatementArrived
		abort  bool
		budget time.Duration
	}{
		{"idempotent is rejected in time", read("s"), false, 4 * time.Second},
		{"non-idempotent that may have run is aborted in time", write("s"), true, 20 * time.Second},
		{"time budget shorter than the statement timeout", func() decision.StatementArrived {
			w := write("s")
			w.TimeBudget = 3 * time.Second
			return w
		}(), true, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t).at(0, ready("a"), c.event)
			require.NotEmpty(t, h.sentTo())
			answers := 0
			for now := 50 * ms; now < c.budget; now += 5 * ms {
				h.at(now, decision.AttemptProgress{Statement: "s", Engine: "a", Kind: decision.ProgressWaiting, Value: 2})
				aborts, rejects := len(pick[decision.Abort](h)), len(pick[decision.Reject](h))
				answers += aborts + rejects
				if aborts+rejects > 0 {
					assert.Equal(t, c.abort, aborts > 0)
				}
			}
			assert.Equal(t, 1, answers)
			h.at(c.budget, end("s", 0, "a", decision.TimedOut), decision.ClientCancelled{Statement: "s"})
			assert.Empty(t, pick[decision.Abort](h), "the statement is already finished")
		})
	}
}

// A router that shuts down answers all open statements at the end of its grace period, in the order of their IDs.
func TestShutdown(t *testing.T) {
	h := newHarness(t).at(0, ready("a", "b"), read("2"), read("1"), write("3"))
	h.at(10*ms, decision.ShutdownStarted{GracePeriod: time.Second})
	assert.Empty(t, pick[decision.Reject](h))
	h.at(500*ms, read("4"))
	h.at(1010*ms, decision.TimerFired{Token: timerToken})
	var rejected []decision.StatementID
	for _, r := range pick[decision.Reject](h) {
		rejected = append(rejected, r.Statement)
	}
	assert.Equal(t, []decision.StatementID{"1", "2", "4"}, rejected)
	aborted := []decision.Abort{{Statement: "3", Reason: decision.ReasonShutdown}}
	assert.Equal(t, aborted, pick[decision.Abort](h), "it may have run")
}

// A statement with a short time budget is not answered until most of the budget has passed. With a coarse clock, the
// usual margin of two clock ticks would take up most of it.
func TestShortStatementTimeout(t *testing.T) {
	h := newHarness(t)
	h.settings.Identity.ClockGranularity = 25 * ms
	s := read("s")
	s.TimeBudget = 64 * ms
	s.EstimatedWork = 5 * ms
	h.at(0, ready("a"), s)
	require.NotEmpty(t, h.sentTo())
	h.at(55 * ms)
	require.Empty(t, pick[decision.Reject](h))
	h.at(56 * ms)
	require.Len(t, pick[decision.Reject](h), 1)
}
