package invariant

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"bankledge/internal/logevent"
)

// Each violation is counted under its rule and logged with the rule's name.
func TestRecorder(t *testing.T) {
	core, lines := observer.New(zap.ErrorLevel)
	recorder := NewRecorder(zap.New(core))
	assert.Zero(t, recorder.Total())
	for rule := range numRules {
		recorder.Record(&Violation{Rule: rule, Statement: "s", Detail: "d"})
		assert.Equal(t, int64(1), recorder.Count(rule))
	}
	assert.Equal(t, int64(numRules), recorder.Total())
	require.Equal(t, int(numRules), lines.FilterMessage(logevent.InvariantViolated).Len())
	assert.Equal(t, "one attempt at a time", lines.All()[0].ContextMap()["rule"])
}
