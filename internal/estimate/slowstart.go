package estimate

import (
	"math"
	"time"

	"bankledge/decision"
)

const (
	// workLearningRate is the weight of one statement in the moving average of the work.
	workLearningRate = 0.02
	// safetyDeviations is the number of standard deviations by which the expected sum over all routers stays below the
	// capacity of an engine.
	safetyDeviations = 4.0
	// minDivisor is the lower bound of divisors that may be zero.
	minDivisor = 1e-9
)

// SlowStartBudget divides the capacity of an engine in slow start, per window of time, among routers that do not
// communicate. Each statement draws at random whether it may go there. The probability follows from the work that all
// routers may have to serve; the sum of many independent draws varies far less than that of a few large shares. Work is
// in core seconds.
type SlowStartBudget struct {
	Rules decision.Rules // only those about slow start are used
	// AgeUncertainty is the amount by which an engine may be younger than it appears.
	AgeUncertainty time.Duration
	// UsableShare is the share of an engine's cores that statements may use.
	UsableShare float64
	// SafetyShare is the share of an engine's capacity that the budgets of all routers add up to.
	SafetyShare float64
	// Routers is the number of routers, as configured.
	Routers float64
	// MinDemandShare is the lower bound of the demand on all routers, as a share of all cores, so that a value of
	// Routers that is too low does no harm.
	MinDemandShare float64

	meanWork        float64 // moving average of a statement's work
	meanSquareWork  float64
	maxWorkloadMean float64 // highest mean work of any workload
	arrivals        ArrivalRate
	cores           float64 // of all engines, where those in slow start count in full
}

// ObserveStatement records an arriving statement with its work and the mean work of its workload. A client's retry does
// not count as an arrival: it may not be sent to an engine in slow start either.
func (b *SlowStartBudget) ObserveStatement(work, workloadMean float64, clientRetry bool) {
	b.maxWorkloadMean = max(b.maxWorkloadMean, workloadMean)
	if clientRetry {
		return
	}
	if b.meanWork == 0 {
		b.meanWork = work
		b.meanSquareWork = work * max(work, b.maxWorkloadMean)
	}
	b.meanWork += workLearningRate * (work - b.meanWork)
	b.meanSquareWork += workLearningRate * (work*work - b.meanSquareWork)
	b.arrivals.Observe(work)
}

// Advance records the elapsed time and the cores of all engines, where those in slow start count in full.
func (b *SlowStartBudget) Advance(elapsed time.Duration, cores float64) {
	b.cores = cores
	b.arrivals.Advance(float64(elapsed) / float64(max(1, b.Rules.SlowStartWindow)))
}

// capacity returns the work that all routers together may send in a window to an engine with this many cores and this
// age.
func (b *SlowStartBudget) capacity(cores float64, age time.Duration) float64 {
	progress := max(0, age-b.AgeUncertainty).Seconds() / max(minDivisor, b.Rules.SlowStartDuration.Seconds())
	usable := min(1, b.Rules.SlowStartShare+(1-b.Rules.SlowStartShare)*progress) * b.UsableShare * cores
	return b.Rules.SlowStartMultiple * usable * b.Rules.SlowStartWindow.Seconds()
}

// RouterBudget returns the maximum work that this router may send to such an engine in a window. certain is true if
// each router's share has capacity for two of the heaviest statements; then the shares alone bound the sum. Otherwise
// the result is half of the sum of all shares, as a limit on bursts of one router, and SendProbability has to be
// applied too.
func (b *SlowStartBudget) RouterBudget(cores float64, age time.Duration) (work float64, certain bool) {
	all := b.SafetyShare * b.capacity(cores, age)
	if all/b.Routers >= 2*b.maxWorkloadMean {
		return all / b.Routers, true
	}
	return all / 2, false
}

// SendProbability returns the share of all statements that may be sent to such an engine. It is at most the engine's
// share of all cores, and low enough that the expected sum over all routers stays below the engine's capacity by four
// standard deviations. The work sent is a compound Poisson process: its variance is its mean times the ratio of the
// mean square of a statement's work to its mean work.
func (b *SlowStartBudget) SendProbability(cores float64, age time.Duration) float64 {
	demand := max(b.MinDemandShare*b.cores*b.Rules.SlowStartWindow.Seconds(), b.Routers*b.arrivals.Expected(b.maxWorkloadMean))
	// The square root of the mean is the positive solution of: mean + spread × √mean = capacity.
	spread := safetyDeviations * math.Sqrt(b.meanSquareWork/max(minDivisor, b.meanWork))
	root := (math.Sqrt(spread*spread+4*b.capacity(cores, age)) - spread) / 2
	return min(cores/max(minDivisor, b.cores), root*root/max(minDivisor, demand))
}
