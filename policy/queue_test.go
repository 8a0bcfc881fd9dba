package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// A statement that cannot complete before its deadline is rejected at once.
func TestShedsStatementThatCannotCompleteInTime(t *testing.T) {
	h := newHarness(t).at(0, ready("a"))
	endless := read("s")
	endless.EstimatedWork = 5 * time.Second
	h.at(ms, endless)
	assert.Empty(t, h.sentTo())
	assert.Len(t, pick[decision.Reject](h), 1)
}

// Statements beyond the host's limit of concurrent attempts are queued, and sent as other attempts end.
func TestMaxInFlightAttempts(t *testing.T) {
	h := newHarness(t)
	h.settings.Limits.MaxInFlightAttempts = 1
	h.at(0, ready("a", "b"), read("1"), read("2"))
	first := h.sentTo()
	require.NotEmpty(t, first)
	h.at(10*ms, end("1", 0, first, decision.Completed))
	assert.NotEmpty(t, h.sentTo())
	h.at(20*ms, read("3"))
	assert.Empty(t, h.sentTo())
}

// Statements whose client does not read are parked. Their deadlines still apply, and a disconnect finishes them.
func TestClientThatDoesNotRead(t *testing.T) {
	reading := func(reads, gone bool) decision.ClientReadStateChanged {
		return decision.ClientReadStateChanged{
			Statements:   []decision.StatementID{"s", "none"},
			Reading:      reads,
			Disconnected: gone,
		}
	}
	h := newHarness(t).at(0).at(time.Second, read("s")).at(time.Second+ms, reading(false, false), ready("a"))
	assert.Empty(t, h.sentTo())
	assert.Empty(t, h.module.queue.waiting, "parked")
	assert.Equal(t, decision.EngineID("a"), h.at(1500*ms, reading(true, false)).sentTo())
	h.at(1501*ms, reading(false, true))
	assert.Len(t, pick[decision.CancelAttempt](h), 1, "the client has disconnected")
	assert.Empty(t, h.module.statements)
	h = newHarness(t).at(0).at(time.Second, read("s")).at(time.Second+ms, reading(false, false), ready("a"))
	assert.Len(t, pick[decision.Reject](h.at(6*time.Second)), 1, "the deadline is reached, and the statement never ran")
}
