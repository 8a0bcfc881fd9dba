package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A router stays within its fleet quota on average, and heavy statements do not delay light ones.
func TestFleetQuotaOnAverage(t *testing.T) {
	h := newHarness(t)
	h.settings.Identity.Routers = 16 // the quota: 3.2 x 8 / 16 = 1.6 threads, a write takes two
	h.at(0, ready("a", "b")).at(time.Second)
	first := write("first")
	require.NotEmpty(t, h.at(1001*ms, first).sentTo(), "uses accumulated quota")
	second := write("second")
	second.TableGroup = 9
	h.module.fleetQuota.unused = 0
	assert.Empty(t, h.at(1002*ms, second).sentTo())
	assert.NotEmpty(t, h.at(1003*ms, read("light")).sentTo())
}
