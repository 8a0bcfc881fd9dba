package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// The run-time factor of a workload follows the measured run times.
func TestRunTimeFactorIsLearned(t *testing.T) {
	h := newHarness(t).at(0, ready("a"))
	for i := range 100 {
		now, id := time.Duration(i)*time.Second, decision.StatementID(fmt.Sprint(i))
		e := h.at(now, read(id)).sentTo()
		h.at(now+300*ms, end(id, 0, e, decision.Completed))
	}
	assert.InDelta(t, 3, h.module.workloads[0].runTimeFactor, 0.3, "three times the expected 100 ms")
}

// Excessive estimates of clients and fast errors hardly change what is learned of a workload, so valid statements are
// served as before.
func TestExcessiveEstimatesAndErrorsHaveLittleEffect(t *testing.T) {
	h := newHarness(t).at(0, ready("a"), read("1"))
	h.at(1, end("1", 0, "a", decision.Completed))
	before, factor := h.module.workloads[0].meanWork, h.module.workloads[0].runTimeFactor
	claim := read("2")
	claim.EstimatedWork = 24 * time.Hour
	h.at(2, claim)
	require.Len(t, pick[decision.Reject](h), 1, "it cannot complete in time")
	require.Less(t, h.module.workloads[0].meanWork, 4*before)
	h.at(3, read("3")).at(4, end("3", 0, "a", decision.Errored))
	require.Equal(t, factor, h.module.workloads[0].runTimeFactor)
}
