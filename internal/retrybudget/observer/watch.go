// Package watch sums the extra work of all routers and holds it against the bounds that each keeps alone: for auditors, simulations
// and tests. Routers cannot see it.
package observer

import (
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"bankledge/internal/retrybudget"
	"bankledge/internal/slidingwindow"
)

// Watch sums what all routers together did.
type Observer struct {
	bounds           retrybudget.Bounds
	Allowance        [retrybudget.NumWorkKinds]float64 // what all routers may do beside, in any span
	TailProbability  float64                           // chance with which a window may pass its mean by so much and is still within
	taken, completed slidingwindow.Sum
	extra            [retrybudget.NumWorkKinds]slidingwindow.Sum
	said             [retrybudget.NumWorkKinds]time.Duration
}

// New starts one.
func New(b retrybudget.Bounds) *Observer { return &Observer{bounds: b, TailProbability: 1e-6} }

// Taken notes a statement that a router took in.
func (w *Observer) RecordAdmitted(now time.Duration) { w.taken.Add(now, 1) }

// Completed notes a statement that completed.
func (w *Observer) RecordCompleted(now time.Duration) { w.completed.Add(now, 1) }

// Extra notes a unit of extra work.
func (w *Observer) RecordExtraWork(now time.Duration, k retrybudget.WorkKind) { w.extra[k].Add(now, 1) }

// Over tells which kinds pass their bound in the span that ends now, each at most once a span.
func (w *Observer) Violations(now time.Duration) (lines []string) {
	for k := range retrybudget.NumWorkKinds {
		b, since := w.bounds.ByKind[k], now-w.bounds.Window
		if b == (retrybudget.Bound{}) {
			continue
		}
		n := w.extra[k].Since(since)
		most := MaxUnits(b, w.taken.Since(since-w.bounds.Window), w.completed.Since(since-w.bounds.Window), w.TailProbability) + w.Allowance[k]
		if n > most && (w.said[k] == 0 || now >= w.said[k]+w.bounds.Window) {
			w.said[k] = now
			lines = append(lines, fmt.Sprintf("%.0f %v in %v where %.0f are borne", n, k, w.bounds.Window, most))
		}
	}
	return lines
}

// Most is how many units all routers may cause in a span, where so many statements were taken in and completed in it and the span
// before; more have been drawn only with a chance of doubt.
func MaxUnits(b retrybudget.Bound, taken, completed, doubt float64) float64 {
	sure := math.Floor(b.PerAdmitted)*taken + math.Floor(b.PerCompleted)*completed
	mean, variance := 0.0, 0.0
	for _, d := range []struct{ share, n float64 }{{b.PerAdmitted, taken}, {b.PerCompleted, completed}} {
		_, p := math.Modf(d.share)
		mean, variance = mean+p*d.n, variance+p*(1-p)*d.n
	}
	return sure + quantile(mean, variance, doubt)
}

// quantile is where a sum of draws with this mean and variance ends but for a chance of doubt: a binomial's number of draws and
// chance are found from both, and its tail is summed.
func quantile(mean, variance, doubt float64) float64 {
	if mean <= 0 {
		return 0
	}
	p := max(1e-9, 1-variance/mean)
	d := distuv.Binomial{N: math.Ceil(mean / p), P: min(1, p)}
	if d.N > 1e6 { // so many draws of so small a chance are as good as Poisson's
		pois := distuv.Poisson{Lambda: mean}
		k := math.Floor(mean)
		for 1-pois.CDF(k) > doubt {
			k++
		}
		return k
	}
	k := math.Floor(mean)
	for k < d.N && 1-d.CDF(k) > doubt {
		k++
	}
	return k
}
