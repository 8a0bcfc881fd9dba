package estimate

import "math"

// windowDecay is the factor by which past arrivals count less with each window.
const windowDecay = 0.95

// ArrivalRate estimates how much arrives at a router in a window of time. Past arrivals decay, and one window with as
// much as may be expected at the most stands for what was not observed. Its zero value has observed nothing.
type ArrivalRate struct {
	amount  float64 // decayed sum of what arrived
	windows float64 // decayed number of windows observed
}

// Advance records that a number of windows, or a fraction of one, has passed.
func (r *ArrivalRate) Advance(windows float64) {
	decay := math.Pow(windowDecay, windows)
	r.amount *= decay
	r.windows = r.windows*decay + windows
}

// Observe records an amount that arrived.
func (r *ArrivalRate) Observe(amount float64) {
	r.amount += amount
}

// Expected returns the amount that arrives in a window; prior is what to expect where nothing was observed.
func (r *ArrivalRate) Expected(prior float64) float64 {
	return (r.amount + prior) / (r.windows + 1)
}
