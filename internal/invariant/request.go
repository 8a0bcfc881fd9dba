// Package invariant checks at run time, independently of the code that decides, that each step of a request keeps the rules: starting
// an attempt, retrying, answering, ending an attempt and closing a connection. It has no clock, does no I/O and decides nothing: the
// caller omits a step that would break a rule, and the violation is counted and logged. A count above zero is a defect of the router.
package invariant

import (
	"fmt"
	"slices"
	"time"

	"bankledge/decision"
)

// Location is where an attempt runs.
type Location struct {
	Engine decision.EngineID
	Zone   decision.Zone
	Kind   decision.MachineType
	Cell   decision.Cell
}

// Request records the history of one admitted request, as far as the rules need it. One goroutine owns it. Times are on the
// router's monotonic clock.
type Request struct {
	id       decision.StatementID
	workload *decision.Workload
	limits   decision.Limits
	attempts []attempt
	finished bool
	answered bool
}

type attempt struct {
	location    Location
	startedAt   time.Duration
	ended       bool
	knownNotRun bool
}

// NewRequest starts the record of a request that was admitted.
func NewRequest(id decision.StatementID, workload *decision.Workload, limits decision.Limits) *Request {
	return &Request{id: id, workload: workload, limits: limits}
}

// BeginAttempt records the next attempt. One that would break a rule must not begin: it counts as not run.
func (r *Request) BeginAttempt(location Location, now time.Duration) *Violation {
	violation := r.checkAttempt(location, now)
	forbidden := violation != nil
	r.attempts = append(r.attempts, attempt{location: location, startedAt: now, ended: forbidden, knownNotRun: forbidden})
	return violation
}

func (r *Request) checkAttempt(location Location, now time.Duration) *Violation {
	switch {
	case r.finished:
		return r.violates(NoAttemptAfterFinish, "attempt %d on %s", len(r.attempts), location.Engine)
	case r.isInFlight() && !r.limits.Hedging:
		return r.violates(OneAttemptAtATime, "attempt %d on %s beside one that is in flight", len(r.attempts), location.Engine)
	case r.limits.MaxAttempts > 0 && len(r.attempts) >= r.limits.MaxAttempts:
		return r.violates(WithinAttemptLimit, "attempt %d of %d", len(r.attempts)+1, r.limits.MaxAttempts)
	case !r.allowsLocation(location):
		return r.violates(Placement, "%s in zone %q of type %q", location.Engine, location.Zone, location.Kind)
	}
	return r.checkRepeat(location, now)
}

func (r *Request) isInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.ended })
}

func (r *Request) allowsLocation(location Location) bool {
	zones := r.workload.AllowedZones
	types := r.workload.AllowedMachineTypes
	return (len(zones) == 0 || slices.Contains(zones, location.Zone)) && (len(types) == 0 || slices.Contains(types, location.Kind))
}

// checkRepeat checks an additional attempt against the first one that may have run.
func (r *Request) checkRepeat(location Location, now time.Duration) *Violation {
	first := r.firstThatMayHaveRun()
	if first == nil {
		return nil
	}
	switch r.workload.Idempotency {
	case decision.NonIdempotent:
		return r.violates(NoDuplicateEffect, "it may have run on %s, and must not run on %s", first.location.Engine, location.Engine)
	case decision.Deduplicated:
		if now >= first.startedAt+r.workload.DedupWindow {
			return r.violates(NoDuplicateEffect, "%v after the first attempt, repeats are dropped for %v", now-first.startedAt, r.workload.DedupWindow)
		}
		if !isSameScope(r.workload.DedupScope, first.location, location) {
			return r.violates(NoDuplicateEffect, "%s drops no repeats of what ran on %s", location.Engine, first.location.Engine)
		}
	}
	return nil
}

// firstThatMayHaveRun is the first attempt that is not known not to have run, or nil.
func (r *Request) firstThatMayHaveRun() *attempt {
	for i := range r.attempts {
		if !r.attempts[i].knownNotRun {
			return &r.attempts[i]
		}
	}
	return nil
}

func isSameScope(scope decision.DedupScope, a, b Location) bool {
	switch scope {
	case decision.ScopeZone:
		return a.Zone == b.Zone
	case decision.ScopeCell:
		return a.Cell == b.Cell
	default:
		return true
	}
}

// EndAttempt records that an attempt has ended, and whether it is known that it did not run. An attempt that was never recorded is
// ignored.
func (r *Request) EndAttempt(number decision.AttemptID, knownNotRun bool) {
	if int(number) >= len(r.attempts) {
		return
	}
	r.attempts[number].ended = true
	r.attempts[number].knownNotRun = knownNotRun
}

// CheckRejection checks whether the request may be rejected, which promises its client that a retry is harmless.
func (r *Request) CheckRejection() *Violation {
	first := r.firstThatMayHaveRun()
	if first == nil || r.isRepeatHarmless() {
		return nil
	}
	return r.violates(SafeRejection, "it may have run on %s", first.location.Engine)
}

// isRepeatHarmless reports whether a client may send the request again wherever it ran.
func (r *Request) isRepeatHarmless() bool {
	switch r.workload.Idempotency {
	case decision.Idempotent:
		return true
	case decision.Deduplicated:
		return r.workload.DedupScope == decision.ScopeAll
	default:
		return false
	}
}

// RecordAnswer records that the final answer goes out, unless one has. No attempt may begin from then on.
func (r *Request) RecordAnswer() *Violation {
	if r.answered {
		return r.violates(OneAnswer, "a second answer")
	}
	r.finished = true
	r.answered = true
	return nil
}

// RecordCancellation records that the client does not wait for an answer any more.
func (r *Request) RecordCancellation() { r.finished = true }

func (r *Request) violates(rule Rule, format string, args ...any) *Violation {
	return &Violation{Rule: rule, Statement: r.id, Detail: fmt.Sprintf(format, args...)}
}
