package estimate

import (
	"math"
	"time"
)

// PeerLoad estimates how many statements other routers have in flight on one of many like engines, from load reports. A
// router among hundreds gets a report only when one of its own attempts ends there, so from an engine where nothing
// ends it gets none: an old report does not mean that the engine is empty. A report counts in full while it is fresh,
// and then fades towards the mean of all engines. That mean fades towards zero when no engine reports, so that a router
// that queues everything because of its estimate sends again.
type PeerLoad struct {
	// FreshFor is how long a report counts in full; it fades to 1/e of that in as long again.
	FreshFor time.Duration
	// LearningRate is the weight of one report in the mean.
	LearningRate float64

	mean       float64 // statements of other routers at an engine
	lastReport time.Duration
}

// Observe takes one report of how many statements others have in flight at an engine.
func (p *PeerLoad) Observe(now time.Duration, others float64) {
	p.mean += p.LearningRate * (others - p.mean)
	p.lastReport = now
}

// Estimate returns how many statements others have in flight now at an engine that reported so many of them at a time.
func (p *PeerLoad) Estimate(now time.Duration, reported float64, at time.Duration) float64 {
	mean := p.mean * p.weight(now-p.lastReport)
	return mean + (reported-mean)*p.weight(now-at)
}

// weight returns how much a report of this age counts, from 1 down to 0.
func (p *PeerLoad) weight(age time.Duration) float64 {
	if age <= p.FreshFor {
		return 1
	}
	return math.Exp(-float64(age-p.FreshFor) / float64(p.FreshFor))
}
