package estimate

import (
	"math"
	"time"

	"bankledge/decision"
)

const (
	// workLearningRate is the weight of one statement in the mean work.
	workLearningRate = 0.02
	// deviations is by how many standard deviations the expected sum of all routers stays below what an engine can take.
	deviations = 4.0
	// minDivisor keeps divisors above zero.
	minDivisor = 1e-9
)

// SlowStartBudget divides what an engine in slow start can take in a window of time among routers that do not talk to
// each other. Each statement draws for itself whether it may go there, with a probability that follows from what all
// routers may have to serve; the sum of many independent draws is far more certain than that of a few large shares.
// Work is in core seconds.
type SlowStartBudget struct {
	Rules decision.Rules // those about slow start
	// AgeUncertainty is by how much an engine may be younger than it seems.
	AgeUncertainty time.Duration
	// UsableShare is the share of an engine's cores that statements may use.
	UsableShare float64
	// SafetyShare is the share of what an engine can take that the budgets of all routers add up to.
	SafetyShare float64
	// Routers is the number of routers, as the settings have it.
	Routers float64
	// MinDemandShare is the share of all cores that the demand on all routers is taken to be at least, so that a value of
	// Routers that is too low does no harm.
	MinDemandShare float64

	meanWork       float64 // of a statement, learned
	meanSquareWork float64
	heaviest       float64 // highest mean work of a workload
	arrivals       ArrivalRate
	cores          float64 // of all engines, as if none were in slow start
}

// ObserveStatement records a statement that arrived, with its work and the mean work of its workload. A client's retry
// counts for nothing: it may not go to an engine in slow start either.
func (b *SlowStartBudget) ObserveStatement(work, workloadMean float64, clientRetry bool) {
	b.heaviest = max(b.heaviest, workloadMean)
	if clientRetry {
		return
	}
	if b.meanWork == 0 {
		b.meanWork = work
		b.meanSquareWork = work * max(work, b.heaviest)
	}
	b.meanWork += workLearningRate * (work - b.meanWork)
	b.meanSquareWork += workLearningRate * (work*work - b.meanSquareWork)
	b.arrivals.Observe(work)
}

// Advance records that time has passed, and the cores of all engines as if none were in slow start.
func (b *SlowStartBudget) Advance(passed time.Duration, cores float64) {
	b.cores = cores
	b.arrivals.Advance(float64(passed) / float64(max(1, b.Rules.SlowStartWindow)))
}

// capacity returns the work that all routers together may send to an engine of so many cores and this age in a window.
func (b *SlowStartBudget) capacity(cores float64, age time.Duration) float64 {
	progress := max(0, age-b.AgeUncertainty).Seconds() / max(minDivisor, b.Rules.SlowStartDuration.Seconds())
	usable := min(1, b.Rules.SlowStartShare+(1-b.Rules.SlowStartShare)*progress) * b.UsableShare * cores
	return b.Rules.SlowStartMultiple * usable * b.Rules.SlowStartWindow.Seconds()
}

// RouterBudget returns the most work that this router may send to such an engine in a window. It is certain if each
// router's budget has capacity for two of the heaviest statements: then the budgets alone bound the sum. Else it is
// half of what certain budgets add up to, against a burst at one router, and SendProbability has to be respected, too.
func (b *SlowStartBudget) RouterBudget(cores float64, age time.Duration) (work float64, certain bool) {
	all := b.SafetyShare * b.capacity(cores, age)
	if all/b.Routers >= 2*b.heaviest {
		return all / b.Routers, true
	}
	return all / 2, false
}

// SendProbability returns the share of all statements that may go to such an engine: at most its share of the cores,
// and so much that the sum over all routers stays within what the engine can take by four standard deviations. What
// they send is a compound Poisson process, whose variance is its mean times the mean square of a statement's work over
// its mean.
func (b *SlowStartBudget) SendProbability(cores float64, age time.Duration) float64 {
	demand := max(b.MinDemandShare*b.cores*b.Rules.SlowStartWindow.Seconds(), b.Routers*b.arrivals.Expected(b.heaviest))
	// The root of the mean is the positive solution of: mean + spread × √mean = capacity.
	spread := deviations * math.Sqrt(b.meanSquareWork/max(minDivisor, b.meanWork))
	root := (math.Sqrt(spread*spread+4*b.capacity(cores, age)) - spread) / 2
	return min(cores/max(minDivisor, b.cores), root*root/max(minDivisor, demand))
}
