package estimate

import (
	"math"
	"time"
)

// PeerLoad estimates from load reports how many statements other routers have in flight on one of many similar engines.
// A router among hundreds gets a report only when one of its own attempts ends on an engine, so it gets none from an
// engine on which nothing ends: an old report does not mean that the engine is idle. A report has full weight while it
// is fresh, and then decays towards the mean of all engines. The mean decays towards zero if no engine reports, so that
// a router that queues all statements because of its estimate starts sending again.
type PeerLoad struct {
	// FreshFor is the time for which a report has full weight. The weight falls to 1/e after the same time again.
	FreshFor time.Duration
	// LearningRate is the weight of one report in the mean.
	LearningRate float64

	mean       float64 // statements of other routers at an engine
	lastReport time.Duration
}

// Observe records a report of the number of statements that other routers have in flight on an engine.
func (p *PeerLoad) Observe(now time.Duration, others float64) {
	p.mean += p.LearningRate * (others - p.mean)
	p.lastReport = now
}

// Estimate returns the estimated number of statements that other routers have in flight now on an engine whose last
// report, at the given time, had the given number.
func (p *PeerLoad) Estimate(now time.Duration, reported float64, at time.Duration) float64 {
	mean := p.mean * p.weight(now-p.lastReport)
	return mean + (reported-mean)*p.weight(now-at)
}

// weight returns the weight of a report of this age, from 1 down to 0.
func (p *PeerLoad) weight(age time.Duration) float64 {
	if age <= p.FreshFor {
		return 1
	}
	return math.Exp(-float64(age-p.FreshFor) / float64(p.FreshFor))
}
