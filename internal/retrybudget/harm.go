// Package harm is the ledger of extra work: what routers cause at engines beyond one execution a statement, with a bound for all
// routers together that each keeps alone. It does no I/O, has no clock and starts no goroutine.
//
// A bound is a share of what completes and a share of what is taken in, over a span. Each router earns by its own statements: one
// that completes, or is taken in, draws whether it earns one unit of the kind, by the bound's share as the chance. What was
// earned lasts one span. So the sum over all routers in any span is at most what was drawn in it and the span before, whatever
// the number of routers is, whatever the settings say it is, however unevenly traffic is shared and whoever starts anew (a
// router that has just started has earned nothing); by how much the draws may exceed their mean is the tail of a binomial
// distribution (docs/overload.md). Nothing comes back by time alone: what does not complete earns nothing.
package retrybudget

import (
	"slices"
	"time"

	"bankledge/internal/detrand"
)

// Kind is a kind of extra work.
type WorkKind int

// Kinds of extra work.
const (
	AdditionalAttempt WorkKind = iota // a further execution of a statement that was lost, erred or was called off
	Cancellation                      // an execution called off: what it had done is lost
	HealthCheck                       // a call for an engine's report
	Handshake                         // a new connection to an engine
	EndpointPoll                      // the list of engines asked for
	LateCompletion                    // an execution that completes after its statement's time: its work is lost
	NumWorkKinds
)

// String names the kind.
func (k WorkKind) String() string {
	return [NumWorkKinds]string{"further executions", "call-offs", "probes", "handshakes", "lists asked for", "answers too late"}[k]
}

// Bound is how many units of a kind all routers together may cause in a span.
type Bound struct {
	PerCompleted float64 // a share of the statements that complete
	PerAdmitted  float64 // a share of the statements taken in: what a router may do before anything has completed
}

// Bounds has a bound for each kind.
type Bounds struct {
	Window time.Duration
	ByKind [NumWorkKinds]Bound
}

// Cost is what one unit of a kind takes from an engine, in seconds of one core.
type UnitCosts [NumWorkKinds]float64

// Worst is the share of the engines' work that all extra work may come to, where statements take mean seconds of a core:
// what is called off has done at most the whole of its work, what is further is done anew.
func (b *Bounds) WorstCaseShare(c UnitCosts, mean float64) (share float64) {
	for k, bound := range b.ByKind {
		cost := c[k]
		if WorkKind(k) == AdditionalAttempt || WorkKind(k) == Cancellation || WorkKind(k) == LateCompletion {
			cost += mean
		}
		share += (bound.PerCompleted + bound.PerAdmitted) * cost / mean
	}
	return share
}

// Ledger is one router's part of the bounds.
type Budget struct {
	Bounds Bounds
	Random detrand.Source
	units  [NumWorkKinds][]unit
	denied [NumWorkKinds]int64
}

type unit struct{ until time.Duration }

// most is how many units of a kind a router keeps at once: more than it can use in a span.
const most = 256

// Taken notes a statement that was taken in; it may earn units.
func (l *Budget) RecordAdmitted(now time.Duration) {
	l.earn(now, func(b Bound) float64 { return b.PerAdmitted })
}

// Completed notes a statement that completed; it may earn units.
func (l *Budget) RecordCompleted(now time.Duration) {
	l.earn(now, func(b Bound) float64 { return b.PerCompleted })
}

// earn draws for each kind; a share above one earns the whole part for certain.
func (l *Budget) earn(now time.Duration, share func(Bound) float64) {
	for k, b := range l.Bounds.ByKind {
		for s := share(b); s > 0; s-- {
			if (s >= 1 || l.Random.Float64() < s) && len(l.units[k]) < most {
				l.units[k] = append(l.units[k], unit{now + l.Bounds.Window})
			}
		}
	}
}

// Has tells whether a unit of a kind is left. A kind without a bound always has one.
func (l *Budget) Available(now time.Duration, k WorkKind) bool {
	if l.Bounds.ByKind[k] == (Bound{}) {
		return true
	}
	l.units[k] = slices.DeleteFunc(l.units[k], func(u unit) bool { return now >= u.until })
	return len(l.units[k]) > 0
}

// Spend takes the unit that ends soonest, or tells that none is left.
func (l *Budget) TrySpend(now time.Duration, k WorkKind) bool {
	if !l.Available(now, k) {
		l.denied[k]++
		return false
	}
	if len(l.units[k]) > 0 {
		l.units[k] = l.units[k][1:]
	}
	return true
}

// Denied is how often a unit was wanted and none was left, by kind.
func (l *Budget) Denied() [NumWorkKinds]int64 { return l.denied }
