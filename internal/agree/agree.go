// Package agree holds what a fleet's routers and their control group decide so that no two routers act on contradicting rules for
// longer than a stated time, whatever fails. Both sides are state machines: Step takes an event and returns what to do. There is no
// I/O, no clock and no goroutine here; times are readings of the caller's own monotonic clock.
//
// A router acts on a version only within a term, which the group renews and which it counts from when it sent for it; the group counts
// from when it heard. A term is granted only to who knows the newest version. So what a version forbids ends everywhere when the last
// terms of the version before it have: within one term. What it permits anew takes force only once the group knows that this is so
// (it is settled); until then routers act on the cautious side of the two. Docs: docs/control.md, with the proof.
package agree

import (
	"fmt"
	"time"
)

// Spans are the times that all is derived from. Routers and group have to be given the same ones.
type Spans struct {
	Term   time.Duration // that a renewal lasts
	Renew  time.Duration // between two renewals
	Answer time.Duration // that a router waits for an answer
	Drift  float64       // clocks run from 1-Drift to 1+Drift times as fast as time
	Batch  time.Duration // the longest batch of decisions, from the look at the clock until the last one is carried out
	Pause  time.Duration // the longest pause between that look and an act that a router cannot see
}

// Defaults are spans that fit one building.
func Defaults() Spans {
	return Spans{Term: 2 * time.Second, Renew: 400 * time.Millisecond, Answer: 400 * time.Millisecond, Drift: 0.01, Batch: 50 * time.Millisecond, Pause: 50 * time.Millisecond}
}

// Held is how long a router holds a term, by its own clock: less by drift, so that in time it is Term at the most.
func (s Spans) Held() time.Duration { return time.Duration(float64(s.Term) * (1 - s.Drift)) }

// Owed is how long the group takes a term to run, by its own clock: more by drift, so that in time it is Term at the least.
func (s Spans) Owed() time.Duration { return time.Duration(float64(s.Term) * (1 + s.Drift)) }

// T is the time beyond which no two routers act on contradicting rules, counted from when the first of them hears of a version.
func (s Spans) T() time.Duration { return s.Term + s.Batch + s.Pause }

// Settles is the time within which a version is in force everywhere, counted from its commit, while a leader stands; a new leader
// begins anew.
func (s Spans) Settles() time.Duration {
	return time.Duration(float64(s.Owed())/(1-s.Drift)) + s.Renew
}

// Key is what router and group have to have in common.
func (s Spans) Key() string { return fmt.Sprintf("term %v, drift %v", s.Term, s.Drift) }

// Check refuses spans for which the proof of T does not hold, or with which terms could not be kept; an error names the field.
func (s Spans) Check() error {
	for _, f := range []struct {
		name       string
		value      time.Duration
		least, top time.Duration
	}{{"term", s.Term, 100 * time.Millisecond, time.Hour}, {"renew", s.Renew, 10 * time.Millisecond, s.Term}, {"answer", s.Answer, 10 * time.Millisecond, s.Term},
		{"batch", s.Batch, 0, s.Term / 2}, {"pause", s.Pause, 0, s.Term / 2}} {
		if f.value < f.least || f.value > f.top {
			return fmt.Errorf("%s: %v is not from %v to %v", f.name, f.value, f.least, f.top)
		}
	}
	if !(s.Drift >= 0 && s.Drift <= 0.2) {
		return fmt.Errorf("drift: %v is not from 0 to 0.2", s.Drift)
	}
	if least := 2 * (s.Renew + s.Answer); s.Held() < least {
		return fmt.Errorf("term: %v, less drift, is under %v: one answer that is lost would end it", s.Term, least)
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
