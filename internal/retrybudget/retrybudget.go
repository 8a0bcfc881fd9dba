// Package retrybudget bounds the extra work that routers cause at engines beyond one attempt for each statement. The bound is
// for all routers together, and each keeps it alone. The package does no I/O, has no clock and starts no goroutine.
//
// A bound is a share of the statements that complete and a share of those that are admitted, in a window of time. Each router
// earns by its own statements: one that completes, or is admitted, draws whether it earns one unit of extra work, with the
// bound's share as the probability. A unit expires after one window. So the sum over all routers in any window is at most what
// was drawn in it and in the window before, whatever the number of routers is, whatever the settings say it is, however
// unevenly traffic is shared and whoever restarts (a router that has just started has earned nothing). By how much the draws
// may exceed their mean is the tail of a binomial distribution (docs/overload.md). Nothing is earned by time alone: what does
// not complete earns nothing.
package retrybudget

import (
	"slices"
	"time"

	"bankledge/internal/detrand"
)

// WorkKind is a kind of extra work.
type WorkKind int

// The kinds of extra work.
const (
	AdditionalAttempt WorkKind = iota // a retry or a hedge
	Cancellation                      // an attempt cancelled: what it had done is lost
	HealthCheck                       // a health check of an engine
	Handshake                         // a new connection to an engine
	EndpointPoll                      // a poll of the endpoint list
	LateCompletion                    // an attempt that completes after its statement's deadline: its work is lost
	NumWorkKinds
)

var workKindNames = [NumWorkKinds]string{
	AdditionalAttempt: "additional attempts",
	Cancellation:      "cancellations",
	HealthCheck:       "health checks",
	Handshake:         "handshakes",
	EndpointPoll:      "endpoint list polls",
	LateCompletion:    "late completions",
}

// String names the kind, in the plural.
func (k WorkKind) String() string { return workKindNames[k] }

// wastesStatement tells whether a unit of the kind costs the work of up to a whole statement.
func (k WorkKind) wastesStatement() bool {
	switch k {
	case AdditionalAttempt, Cancellation, LateCompletion:
		return true
	}
	return false
}

// Bound is how many units of a kind all routers together may cause in a window.
type Bound struct {
	PerCompleted float64 // units for each statement that completes
	PerAdmitted  float64 // units for each statement admitted: what a router may do before anything has completed
}

// Bounds has a bound for each kind. A kind whose bound is zero is not bounded.
type Bounds struct {
	Window time.Duration
	ByKind [NumWorkKinds]Bound
}

// UnitCosts is what one unit of each kind takes from an engine, in core seconds.
type UnitCosts [NumWorkKinds]float64

// WorstCaseShare returns the share of the engines' work that all extra work may come to, where statements take mean core
// seconds: an attempt that is cancelled has done at most all of its work, an additional one does it anew.
func (b *Bounds) WorstCaseShare(costs UnitCosts, mean float64) float64 {
	share := 0.0
	for k, bound := range b.ByKind {
		cost := costs[k]
		if WorkKind(k).wastesStatement() {
			cost += mean
		}
		share += (bound.PerCompleted + bound.PerAdmitted) * cost / mean
	}
	return share
}

// maxUnits is how many units of a kind a router keeps at once: more than it can use in a window.
const maxUnits = 256

// Budget is one router's part of the bounds. One goroutine at a time may use it.
type Budget struct {
	Bounds Bounds
	Random detrand.Source

	expiries [NumWorkKinds][]time.Duration // of the units earned and not spent, by kind; the earliest first
	denied   [NumWorkKinds]int64
}

// RecordAdmitted notes a statement that was admitted; it may earn units.
func (b *Budget) RecordAdmitted(now time.Duration) {
	b.earn(now, func(bound Bound) float64 { return bound.PerAdmitted })
}

// RecordCompleted notes a statement that completed; it may earn units.
func (b *Budget) RecordCompleted(now time.Duration) {
	b.earn(now, func(bound Bound) float64 { return bound.PerCompleted })
}

// earn draws for each kind. Of a share above one, the whole part is earned for certain.
func (b *Budget) earn(now time.Duration, share func(Bound) float64) {
	for k, bound := range b.Bounds.ByKind {
		for s := share(bound); s > 0; s-- {
			earned := s >= 1 || b.Random.Float64() < s
			if earned && len(b.expiries[k]) < maxUnits {
				b.expiries[k] = append(b.expiries[k], now+b.Bounds.Window)
			}
		}
	}
}

// Available tells whether a unit of a kind is left. A kind without a bound always has one.
func (b *Budget) Available(now time.Duration, k WorkKind) bool {
	if b.Bounds.ByKind[k] == (Bound{}) {
		return true
	}
	b.expiries[k] = slices.DeleteFunc(b.expiries[k], func(expiry time.Duration) bool { return now >= expiry })
	return len(b.expiries[k]) > 0
}

// TrySpend takes the unit that expires soonest, and returns false if none is left.
func (b *Budget) TrySpend(now time.Duration, k WorkKind) bool {
	if !b.Available(now, k) {
		b.denied[k]++
		return false
	}
	if len(b.expiries[k]) > 0 {
		b.expiries[k] = b.expiries[k][1:]
	}
	return true
}

// Denied returns how often TrySpend found no unit, by kind.
func (b *Budget) Denied() [NumWorkKinds]int64 { return b.denied }
