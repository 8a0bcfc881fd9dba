package estimate

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestPeerLoad(t *testing.T) {
	p := PeerLoad{FreshFor: 3 * time.Second, LearningRate: 0.5}
	for i := range 20 {
		p.Observe(time.Duration(i)*time.Second, 10)
	}
	now := 20 * time.Second
	p.Observe(now, 10)
	assert.InDelta(t, 40, p.Estimate(now, 40, now), 1e-9, "a fresh report has full weight")
	assert.InDelta(t, 40, p.Estimate(now, 40, now-3*time.Second), 1e-9)
	assert.InDelta(t, 10+30/math.E, p.Estimate(now, 40, now-6*time.Second), 0.1)
	assert.InDelta(t, 10, p.Estimate(now, 0, now-time.Minute), 0.1, "an engine without reports is not idle")
	assert.InDelta(t, 0, p.Estimate(now+time.Minute, 40, now), 0.1, "no engine reports: the estimate decays to zero")
	assert.Less(t, p.Estimate(now+7*time.Second, 40, now), 13.0)
}
