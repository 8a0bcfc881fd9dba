package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// A statement beyond its tenant's quota is sent after those within their quota.
func TestBeyondQuotaWaits(t *testing.T) {
	h := newHarness(t)
	h.settings.Quotas = decision.Quotas{Tenants: []decision.Quota{{Tenant: "g", RatePerSecond: 1}}}
	for i, id := range []decision.StatementID{"1", "2", "3", "4", "5", "out"} { // five fit into the burst
		ev := read(id)
		ev.Tenant = "g"
		h.at(time.Duration(i), ev)
	}
	h.at(6, read("other"))
	h.at(7, ready("a"))
	sent := pick[decision.StartAttempt](h)
	require.Len(t, sent, 7)
	assert.EqualValues(t, "out", sent[6].Statement)
}
