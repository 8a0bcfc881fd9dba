package estimate

import "math"

// windowDecay is the factor by which each window reduces the weight of past arrivals.
const windowDecay = 0.95

// ArrivalRate estimates the amount that arrives at a router per window of time. Past arrivals decay. One window with
// the largest amount to be expected, the prior, is included for what was not observed. The zero value has observed
// nothing.
type ArrivalRate struct {
	amount  float64 // decayed sum of what arrived
	windows float64 // decayed number of windows observed
}

// Advance records that a number of windows, possibly fractional, has passed.
func (r *ArrivalRate) Advance(windows float64) {
	decay := math.Pow(windowDecay, windows)
	r.amount *= decay
	r.windows = r.windows*decay + windows
}

// Observe records an amount that arrived.
func (r *ArrivalRate) Observe(amount float64) {
	r.amount += amount
}

// Expected returns the expected amount per window; prior is the amount expected without observations.
func (r *ArrivalRate) Expected(prior float64) float64 {
	return (r.amount + prior) / (r.windows + 1)
}
