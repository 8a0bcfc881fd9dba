// Package observer sums the extra work of all routers and checks that the sum stays within the bounds that each router enforces
// without communication. It is for auditors, simulations and tests, since a router does not know the totals.
package observer

import (
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"bankledge/internal/retrybudget"
	"bankledge/internal/slidingwindow"
)

// defaultTailProbability is the default probability of a false alarm in one window.
const defaultTailProbability = 1e-6

// Observer sums the statements and the extra work of all routers. It is not safe for concurrent use.
type Observer struct {
	// Allowance is the number of units, by kind, that all routers may cause in any window in addition to the bounds.
	Allowance [retrybudget.NumWorkKinds]float64
	// TailProbability is the probability that routers that enforce their bounds cause more units than MaxUnits in a window.
	TailProbability float64

	bounds     retrybudget.Bounds
	admitted   slidingwindow.Sum
	completed  slidingwindow.Sum
	extra      [retrybudget.NumWorkKinds]slidingwindow.Sum
	reportedAt [retrybudget.NumWorkKinds]time.Duration // time of the last violation returned, by kind; 0 if none
}

// New returns an Observer of routers that have these bounds.
func New(bounds retrybudget.Bounds) *Observer {
	return &Observer{bounds: bounds, TailProbability: defaultTailProbability}
}

// RecordAdmitted records a statement that a router admitted.
func (o *Observer) RecordAdmitted(now time.Duration) { o.admitted.Add(now, 1) }

// RecordCompleted records a statement that completed.
func (o *Observer) RecordCompleted(now time.Duration) { o.completed.Add(now, 1) }

// RecordExtraWork records a unit of extra work.
func (o *Observer) RecordExtraWork(now time.Duration, k retrybudget.WorkKind) { o.extra[k].Add(now, 1) }

// Violations returns a line for each kind that exceeds its bound in the window that ends now. It reports each kind at most once
// per window.
func (o *Observer) Violations(now time.Duration) []string {
	var lines []string
	window := o.bounds.Window
	start := now - window
	for k := range retrybudget.NumWorkKinds {
		bound := o.bounds.ByKind[k]
		if bound == (retrybudget.Bound{}) {
			continue
		}
		units := o.extra[k].Since(start)
		admitted, completed := o.admitted.Since(start-window), o.completed.Since(start-window)
		allowed := MaxUnits(bound, admitted, completed, o.TailProbability) + o.Allowance[k]
		reported := o.reportedAt[k] != 0 && now < o.reportedAt[k]+window
		if units > allowed && !reported {
			o.reportedAt[k] = now
			lines = append(lines, fmt.Sprintf("%.0f %v in %v, allowed are at most %.0f", units, k, window, allowed))
		}
	}
	return lines
}

// MaxUnits returns how many units all routers may cause in a window. admitted and completed are the numbers of statements in that
// window and the one before. Routers that enforce the bound earn more units only with the tail probability.
func MaxUnits(bound retrybudget.Bound, admitted, completed, tailProbability float64) float64 {
	certain := math.Floor(bound.PerAdmitted)*admitted + math.Floor(bound.PerCompleted)*completed
	mean, variance := 0.0, 0.0
	for _, draws := range []struct{ share, n float64 }{{bound.PerAdmitted, admitted}, {bound.PerCompleted, completed}} {
		_, p := math.Modf(draws.share)
		mean += p * draws.n
		variance += p * (1 - p) * draws.n
	}
	return certain + quantile(mean, variance, tailProbability)
}

const (
	// maxBinomialDraws is the number of draws above which a Poisson distribution approximates the binomial distribution.
	maxBinomialDraws = 1e6
	// minProbability is the minimum probability of a draw, which keeps the number of draws finite.
	minProbability = 1e-9
)

// quantile returns the value that a sum of independent draws with this mean and variance exceeds at most with the tail
// probability. It approximates the sum by the binomial distribution with the same mean and variance.
func quantile(mean, variance, tailProbability float64) float64 {
	if mean <= 0 {
		return 0
	}
	p := max(minProbability, 1-variance/mean)
	binomial := distuv.Binomial{N: math.Ceil(mean / p), P: min(1, p)}
	k := math.Floor(mean)
	if binomial.N > maxBinomialDraws {
		poisson := distuv.Poisson{Lambda: mean}
		for 1-poisson.CDF(k) > tailProbability {
			k++
		}
		return k
	}
	for k < binomial.N && 1-binomial.CDF(k) > tailProbability {
		k++
	}
	return k
}
