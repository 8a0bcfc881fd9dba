package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bankledge/decision"
)

// Clients go on sending until a router that shuts down has ended. When its time is up it ends all statements that are open. Those that came
// after that were started like any other, and lost with the process: two in a soak (seed 7), read 3.5 s after SIGTERM, started on their
// engines at once, and closed with no answer 0.1 s later.
func TestStatementAfterShutdownGraceIsRejected(t *testing.T) {
	h := newHarness(t)
	h.at(0, ready("a"))
	h.at(time.Second, decision.ShutdownStarted{GracePeriod: time.Second})
	assert.NotEmpty(t, h.at(1500*ms, read("in time")).sentTo())
	h.at(2*time.Second, end("in time", 0, "a", decision.Completed))
	h.at(2100*ms, read("late"))
	assert.Empty(t, h.sentTo())
	rejected := pick[decision.Reject](h)
	if assert.Len(t, rejected, 1) {
		assert.Equal(t, decision.StatementID("late"), rejected[0].Statement)
		assert.Equal(t, decision.ReasonShutdown, rejected[0].Reason)
	}
	assert.Empty(t, h.module.statements)
}
