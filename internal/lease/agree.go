// Package agree holds what a fleet's routers and their control group decide so that no two routers act on contradicting rules for
// longer than a stated time, whatever fails. Both sides are state machines: Step takes an event and returns what to do. There is no
// I/O, no clock and no goroutine here; times are readings of the caller's own monotonic clock.
//
// A router acts on a version only within a term, which the group renews and which it counts from when it sent for it; the group counts
// from when it heard. A term is granted only to who knows the newest version. So what a version forbids ends everywhere when the last
// terms of the version before it have: within one term. What it permits anew takes force only once the group knows that this is so
// (it is settled); until then routers act on the cautious side of the two. Docs: docs/control.md, with the proof.
package lease

import (
	"fmt"
	"time"
)

// Spans are the times that all is derived from. Routers and group have to be given the same ones.
type Durations struct {
	LeaseDuration time.Duration // that a renewal lasts
	RenewInterval time.Duration // between two renewals
	ReplyTimeout  time.Duration // that a router waits for an answer
	MaxClockDrift float64       // clocks run from 1-Drift to 1+Drift times as fast as time
	MaxBatch      time.Duration // the longest batch of decisions, from the look at the clock until the last one is carried out
	MaxPause      time.Duration // the longest pause between that look and an act that a router cannot see
}

// Defaults are spans that fit one building.
func DefaultDurations() Durations {
	return Durations{LeaseDuration: 2 * time.Second, RenewInterval: 400 * time.Millisecond, ReplyTimeout: 400 * time.Millisecond, MaxClockDrift: 0.01, MaxBatch: 50 * time.Millisecond, MaxPause: 50 * time.Millisecond}
}

// Held is how long a router holds a term, by its own clock: less by drift, so that in time it is Term at the most.
func (s Durations) ClientLease() time.Duration {
	return time.Duration(float64(s.LeaseDuration) * (1 - s.MaxClockDrift))
}

// Owed is how long the group takes a term to run, by its own clock: more by drift, so that in time it is Term at the least.
func (s Durations) CoordinatorLease() time.Duration {
	return time.Duration(float64(s.LeaseDuration) * (1 + s.MaxClockDrift))
}

// T is the time beyond which no two routers act on contradicting rules, counted from when the first of them hears of a version.
func (s Durations) MaxContradiction() time.Duration { return s.LeaseDuration + s.MaxBatch + s.MaxPause }

// Settles is the time within which a version is in force everywhere, counted from its commit, while a leader stands; a new leader
// begins anew.
func (s Durations) MaxActivation() time.Duration {
	return time.Duration(float64(s.CoordinatorLease())/(1-s.MaxClockDrift)) + s.RenewInterval
}

// Key is what router and group have to have in common.
func (s Durations) CompatibilityKey() string {
	return fmt.Sprintf("term %v, drift %v", s.LeaseDuration, s.MaxClockDrift)
}

// Check refuses spans for which the proof of T does not hold, or with which terms could not be kept; an error names the field.
func (s Durations) Validate() error {
	for _, f := range []struct {
		name       string
		value      time.Duration
		least, top time.Duration
	}{{"term", s.LeaseDuration, 100 * time.Millisecond, time.Hour}, {"renew", s.RenewInterval, 10 * time.Millisecond, s.LeaseDuration}, {"answer", s.ReplyTimeout, 10 * time.Millisecond, s.LeaseDuration},
		{"batch", s.MaxBatch, 0, s.LeaseDuration / 2}, {"pause", s.MaxPause, 0, s.LeaseDuration / 2}} {
		if f.value < f.least || f.value > f.top {
			return fmt.Errorf("%s: %v is not from %v to %v", f.name, f.value, f.least, f.top)
		}
	}
	if !(s.MaxClockDrift >= 0 && s.MaxClockDrift <= 0.2) {
		return fmt.Errorf("drift: %v is not from 0 to 0.2", s.MaxClockDrift)
	}
	if least := 2 * (s.RenewInterval + s.ReplyTimeout); s.ClientLease() < least {
		return fmt.Errorf("term: %v, less drift, is under %v: one answer that is lost would end it", s.LeaseDuration, least)
	}
	return nil
}

// Limits of what one group keeps.
const (
	mostSessions  = 4096
	mostWaiting   = 8192             // renewals, and proposals a sixteenth of it
	mostWords     = 200              // bytes of a router's name or word
	keepsSessions = 10 * time.Minute // without a term, for operators to see
)
