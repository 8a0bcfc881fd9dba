package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// Statements with the same key run one at a time, in the order of arrival.
func TestOrderByKey(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome decision.Outcome
		wait    time.Duration // until the second statement may be sent
	}{
		{"at once after the first completed", decision.Completed, 0},
		{"after the quiet period if the first may still run", decision.TimedOut, 500 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.settings.Workloads[1].OrderedByKey = true
			h.settings.Rules.KeyQuietPeriod = 500 * ms
			one, two := write("one"), write("two")
			one.Key = "k"
			two.Key = "k"
			e := h.at(0, ready("a", "b"), one, two).sentTo()
			require.NotEmpty(t, e)
			h.at(100*ms, end("one", 0, e, c.outcome))
			assert.Equal(t, c.wait == 0, h.sentTo() != "")
			if c.wait > 0 {
				assert.Empty(t, h.at(100*ms+c.wait-1).sentTo())
				assert.NotEmpty(t, h.at(100*ms+c.wait).sentTo())
			}
		})
	}
}
