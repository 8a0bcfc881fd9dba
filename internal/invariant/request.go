// Package invariant checks at run time, independently of the decision code, that the steps of each request follow the rules: starting an
// attempt, retrying, answering, ending an attempt and closing a connection. It has no clock, does no I/O and makes no decisions: the
// caller omits a step that would violate a rule, and a Recorder counts and logs the violation. A count above zero is a defect of the
// router.
package invariant

import (
	"fmt"
	"slices"
	"time"

	"bankledge/decision"
)

// Location is the engine that runs an attempt, with its zone, machine type and cell.
type Location struct {
	Engine      decision.EngineID
	Zone        decision.Zone
	MachineType decision.MachineType
	Cell        decision.Cell
}

// Request records the part of an admitted request's history that the rules need. One goroutine owns it. Times are on the router's
// monotonic clock.
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

// NewRequest returns the record of an admitted request without attempts.
func NewRequest(id decision.StatementID, workload *decision.Workload, limits decision.Limits) *Request {
	return &Request{id: id, workload: workload, limits: limits}
}

// BeginAttempt records the next attempt. It returns a violation if the attempt would violate a rule: the caller must not start such an
// attempt, and the record counts it as not run.
func (r *Request) BeginAttempt(location Location, now time.Duration) *Violation {
	violation := r.checkAttempt(location, now)
	forbidden := violation != nil
	r.attempts = append(r.attempts, attempt{location: location, startedAt: now, ended: forbidden, knownNotRun: forbidden})
	return violation
}

func (r *Request) checkAttempt(location Location, now time.Duration) *Violation {
	switch {
	case r.finished:
		return r.newViolation(NoAttemptAfterFinish, "attempt %d on %s after the request has finished", len(r.attempts), location.Engine)
	case r.isInFlight() && !r.limits.Hedging:
		return r.newViolation(OneAttemptAtATime, "attempt %d on %s while another one is in flight", len(r.attempts), location.Engine)
	case r.limits.MaxAttempts > 0 && len(r.attempts) >= r.limits.MaxAttempts:
		return r.newViolation(WithinAttemptLimit, "attempt %d, at most %d are allowed", len(r.attempts)+1, r.limits.MaxAttempts)
	case !r.allowsLocation(location):
		return r.newViolation(Placement, "%s in zone %q with machine type %q is not allowed", location.Engine, location.Zone, location.MachineType)
	}
	return r.checkRepeat(location, now)
}

func (r *Request) isInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.ended })
}

func (r *Request) allowsLocation(location Location) bool {
	zones := r.workload.AllowedZones
	types := r.workload.AllowedMachineTypes
	return (len(zones) == 0 || slices.Contains(zones, location.Zone)) && (len(types) == 0 || slices.Contains(types, location.MachineType))
}

// checkRepeat checks whether a further attempt may begin, given the first attempt that may have run.
func (r *Request) checkRepeat(location Location, now time.Duration) *Violation {
	first := r.firstThatMayHaveRun()
	if first == nil {
		return nil
	}
	switch r.workload.Idempotency {
	case decision.NonIdempotent:
		return r.newViolation(NoDuplicateEffect, "an attempt on %s may have run, so none may start on %s", first.location.Engine, location.Engine)
	case decision.Deduplicated:
		if now >= first.startedAt+r.workload.DedupWindow {
			return r.newViolation(NoDuplicateEffect, "retried %v after the first attempt that may have run, outside the deduplication window of %v", now-first.startedAt, r.workload.DedupWindow)
		}
		if !isSameScope(r.workload.DedupScope, first.location, location) {
			return r.newViolation(NoDuplicateEffect, "%s does not deduplicate attempts that ran on %s", location.Engine, first.location.Engine)
		}
	}
	return nil
}

// firstThatMayHaveRun returns the first attempt that is not known not to have run, or nil.
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

// EndAttempt records that an attempt has ended, and whether it is known that it did not run. It ignores an attempt that was never
// recorded.
func (r *Request) EndAttempt(number decision.AttemptID, knownNotRun bool) {
	if int(number) >= len(r.attempts) {
		return
	}
	r.attempts[number].ended = true
	r.attempts[number].knownNotRun = knownNotRun
}

// CheckRejection returns a violation unless the request may be rejected. A rejection tells the client that a retry is safe.
func (r *Request) CheckRejection() *Violation {
	first := r.firstThatMayHaveRun()
	if first == nil || r.isSafeToRetry() {
		return nil
	}
	return r.newViolation(SafeRejection, "an attempt on %s may have run", first.location.Engine)
}

// isSafeToRetry reports whether a client may safely send the request again, whichever engine ran it.
func (r *Request) isSafeToRetry() bool {
	switch r.workload.Idempotency {
	case decision.Idempotent:
		return true
	case decision.Deduplicated:
		return r.workload.DedupScope == decision.ScopeAll
	default:
		return false
	}
}

// RecordAnswer records that the final answer is sent, and returns a violation if one was sent before. No attempt may begin afterwards.
func (r *Request) RecordAnswer() *Violation {
	if r.answered {
		return r.newViolation(OneAnswer, "the request already has an answer")
	}
	r.finished = true
	r.answered = true
	return nil
}

// RecordCancellation records that the client no longer waits for an answer.
func (r *Request) RecordCancellation() { r.finished = true }

func (r *Request) newViolation(rule Rule, format string, args ...any) *Violation {
	return &Violation{Rule: rule, Statement: r.id, Detail: fmt.Sprintf(format, args...)}
}
