package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// Starts are judged by the workload's pace.
func TestPaceIsLearned(t *testing.T) {
	h := newHarness(t).at(0, ready("a"))
	for i := range 100 {
		now, id := time.Duration(i)*time.Second, decision.StatementID(fmt.Sprint(i))
		e := h.at(now, read(id)).sentTo()
		h.at(now+300*ms, end(id, 0, e, decision.Completed))
	}
	assert.InDelta(t, 3, h.module.workloads[0].pace, 0.3, "three times the expected 100 ms")
}

// What clients claim beyond reason, and how fast attempts fail, teaches little: good statements go on as before.
func TestClaimsAndErrorsTeachLittle(t *testing.T) {
	h := newHarness(t).at(0, ready("a"), read("1"))
	h.at(1, end("1", 0, "a", decision.Completed))
	before, pace := h.module.workloads[0].meanWork, h.module.workloads[0].pace
	claim := read("2")
	claim.EstimatedWork = 24 * time.Hour
	h.at(2, claim)
	require.Len(t, pick[decision.Reject](h), 1, "it cannot end in time")
	require.Less(t, h.module.workloads[0].meanWork, 4*before)
	h.at(3, read("3")).at(4, end("3", 0, "a", decision.Errored))
	require.Equal(t, pace, h.module.workloads[0].pace)
}
