package estimate

import (
	"math"
	"time"
)

// Crowd is what others are believed to hold on one of many like engines. A router among hundreds hears of an engine only
// when something of its own ends there, so from one where nothing ends it hears nothing: an old report does not mean that the
// engine is empty. It counts whole while it is fresh, and then fades towards the mean of all; that fades towards nothing when
// no engine is heard of, so that a router that holds everything back for what it believes looks again.
type PeerLoad struct {
	FreshFor     time.Duration // a report counts whole so long; it fades to 1/e in as long again
	LearningRate float64       // of the mean, at a report
	mean         float64
	heard        time.Duration
}

// Hear takes one report of what others hold.
func (c *PeerLoad) Observe(now time.Duration, others float64) {
	c.mean += c.LearningRate * (others - c.mean)
	c.heard = now
}

// Held is the belief about one engine that was reported to hold so many at a time.
func (c *PeerLoad) Estimate(now time.Duration, reported float64, at time.Duration) float64 {
	mean := c.mean * c.counts(now-c.heard)
	return mean + (reported-mean)*c.counts(now-at)
}

func (c *PeerLoad) counts(age time.Duration) float64 {
	if age <= c.FreshFor {
		return 1
	}
	return math.Exp(-float64(age-c.FreshFor) / float64(c.FreshFor))
}
