// Package retrybudget limits the extra work that routers cause at engines beyond one attempt per statement. The limit applies to
// all routers together, and each router enforces its part without communication. The package does no I/O, reads no clock and
// starts no goroutine.
//
// A bound allows units of extra work in proportion to the statements that complete and to those that are admitted in a time
// window. For each of its own statements that completes or is admitted, a router draws at random whether it earns one unit,
// with the bound's share as the probability. A unit expires after one window. So the units spent by all routers in any window
// are at most those earned in that window and the one before. This holds for any number of routers, whatever number the
// settings state, however unevenly traffic is distributed, and also if routers restart, since a router has no units when it
// starts. The tail of a binomial distribution gives the probability that the earned units exceed their mean by some amount
// (docs/overload.md). Units are earned only by statements, not by time: what does not complete earns nothing.
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
	Cancellation                      // a cancelled attempt, whose work so far is lost
	HealthCheck                       // a health check of an engine
	Handshake                         // a new connection to an engine
	EndpointPoll                      // a poll of the endpoint list
	LateCompletion                    // an attempt that completes after its statement's deadline, so that its work is lost
	NumWorkKinds                      // the number of kinds
)

var workKindNames = [NumWorkKinds]string{
	AdditionalAttempt: "additional attempts",
	Cancellation:      "cancellations",
	HealthCheck:       "health checks",
	Handshake:         "handshakes",
	EndpointPoll:      "endpoint list polls",
	LateCompletion:    "late completions",
}

// String returns the name of the kind, in the plural.
func (k WorkKind) String() string { return workKindNames[k] }

// costsStatementWork returns whether a unit of the kind can cost as much work as a complete statement.
func (k WorkKind) costsStatementWork() bool {
	switch k {
	case AdditionalAttempt, Cancellation, LateCompletion:
		return true
	}
	return false
}

// Bound limits how many units of a kind all routers together may cause in a window.
type Bound struct {
	PerCompleted float64 // units per statement that completes
	PerAdmitted  float64 // units per admitted statement, which a router may use before any statement has completed
}

// Bounds holds the bound of each kind. A kind whose bound is zero is unlimited.
type Bounds struct {
	Window time.Duration
	ByKind [NumWorkKinds]Bound
}

// UnitCosts holds the cost of one unit of each kind at an engine, in core seconds.
type UnitCosts [NumWorkKinds]float64

// WorstCaseShare returns the maximum extra work as a share of the engines' work, if statements take mean core seconds. Each unit
// counts with its cost. Cancelled attempts, additional attempts and late completions also count with the work of a whole
// statement: a cancelled attempt may have done almost all of its work, an additional attempt repeats it.
func (b *Bounds) WorstCaseShare(costs UnitCosts, mean float64) float64 {
	share := 0.0
	for k, bound := range b.ByKind {
		cost := costs[k]
		if WorkKind(k).costsStatementWork() {
			cost += mean
		}
		share += (bound.PerCompleted + bound.PerAdmitted) * cost / mean
	}
	return share
}

// maxUnits is the maximum number of units of a kind that a router keeps. A router cannot use more in a window.
const maxUnits = 256

// Budget holds the units that one router has earned and not spent. It is not safe for concurrent use.
type Budget struct {
	Bounds Bounds
	Random detrand.Source

	expiries [NumWorkKinds][]time.Duration // of the units earned and not spent, by kind, the earliest first
	denied   [NumWorkKinds]int64           // calls of TrySpend that returned false, by kind
}

// RecordAdmitted records an admitted statement, which may earn units.
func (b *Budget) RecordAdmitted(now time.Duration) {
	b.earn(now, func(bound Bound) float64 { return bound.PerAdmitted })
}

// RecordCompleted records a completed statement, which may earn units.
func (b *Budget) RecordCompleted(now time.Duration) {
	b.earn(now, func(bound Bound) float64 { return bound.PerCompleted })
}

// earn draws units of each kind. The integer part of a share is earned in any case; the fraction is the probability of one more unit.
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

// Available returns whether a unit of a kind is left. A kind without a bound always has one.
func (b *Budget) Available(now time.Duration, k WorkKind) bool {
	if b.Bounds.ByKind[k] == (Bound{}) {
		return true
	}
	b.expiries[k] = slices.DeleteFunc(b.expiries[k], func(expiry time.Duration) bool { return now >= expiry })
	return len(b.expiries[k]) > 0
}

// TrySpend spends the unit of a kind that expires first, or returns false if none is left.
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

// Denied returns how often TrySpend returned false, by kind.
func (b *Budget) Denied() [NumWorkKinds]int64 { return b.denied }
