package invariant

import (
	"fmt"
	"slices"
	"time"

	"bankledge/decision"
)

// Place is where an execution runs.
type Location struct {
	Engine decision.EngineID
	Zone   decision.Zone
	Kind   decision.MachineType
	Cell   decision.Cell
}

// Request is what the rules need to know of one statement that the router has taken. One goroutine owns it. Times are on the router's
// monotonic clock.
type Request struct {
	id         decision.StatementID
	workload   *decision.Workload
	limits     decision.Limits
	executions []execution
	over       bool
	answered   bool
}

type execution struct {
	place    Location
	sent     time.Duration
	ended    bool
	neverRan bool
}

// NewRequest starts the record of a statement that was taken.
func NewRequest(id decision.StatementID, workload *decision.Workload, limits decision.Limits) *Request {
	return &Request{id: id, workload: workload, limits: limits}
}

// Execute records the next execution. One that would break a rule must not begin: it counts as never run.
func (r *Request) BeginAttempt(at Location, now time.Duration) *Violation {
	v := r.mayExecute(at, now)
	r.executions = append(r.executions, execution{place: at, sent: now, ended: v != nil, neverRan: v != nil})
	return v
}

func (r *Request) mayExecute(at Location, now time.Duration) *Violation {
	out := slices.ContainsFunc(r.executions, func(x execution) bool { return !x.ended })
	switch {
	case r.over:
		return r.violates(NoAttemptAfterFinish, "execution %d on %s", len(r.executions), at.Engine)
	case out && !r.limits.Hedging:
		return r.violates(OneAttemptAtATime, "execution %d on %s beside one that is out", len(r.executions), at.Engine)
	case r.limits.MaxAttempts > 0 && len(r.executions) >= r.limits.MaxAttempts:
		return r.violates(WithinAttemptLimit, "execution %d of %d", len(r.executions)+1, r.limits.MaxAttempts)
	case !r.allows(at):
		return r.violates(Placement, "%s in zone %q of kind %q", at.Engine, at.Zone, at.Kind)
	}
	return r.mayRepeat(at, now)
}

func (r *Request) allows(at Location) bool {
	zones, kinds := r.workload.AllowedZones, r.workload.AllowedMachineTypes
	return (len(zones) == 0 || slices.Contains(zones, at.Zone)) && (len(kinds) == 0 || slices.Contains(kinds, at.Kind))
}

// mayRepeat checks a further execution against the first one that may have run.
func (r *Request) mayRepeat(at Location, now time.Duration) *Violation {
	first := r.mayHaveRun()
	if first == nil {
		return nil
	}
	switch r.workload.Idempotency {
	case decision.NonIdempotent:
		return r.violates(NoDuplicateEffect, "it may have run on %s, and must not run on %s", first.place.Engine, at.Engine)
	case decision.Deduplicated:
		if now >= first.sent+r.workload.DedupWindow {
			return r.violates(NoDuplicateEffect, "%v after the first execution, repeats are dropped for %v", now-first.sent, r.workload.DedupWindow)
		}
		if !sameScope(r.workload.DedupScope, first.place, at) {
			return r.violates(NoDuplicateEffect, "%s drops no repeats of what ran on %s", at.Engine, first.place.Engine)
		}
	}
	return nil
}

// mayHaveRun is the first execution that is not known never to have run, or nil.
func (r *Request) mayHaveRun() *execution {
	for i := range r.executions {
		if !r.executions[i].neverRan {
			return &r.executions[i]
		}
	}
	return nil
}

func sameScope(scope decision.DedupScope, a, b Location) bool {
	switch scope {
	case decision.ScopeZone:
		return a.Zone == b.Zone
	case decision.ScopeCell:
		return a.Cell == b.Cell
	}
	return true
}

// Ended records that an execution is out no longer. neverRan: it is known that it did not run.
func (r *Request) EndAttempt(n decision.AttemptID, neverRan bool) {
	if int(n) < len(r.executions) {
		r.executions[n].ended, r.executions[n].neverRan = true, neverRan
	}
}

// Reject tells whether the statement may be rejected, which says that trying again is harmless.
func (r *Request) CheckRejection() *Violation {
	first := r.mayHaveRun()
	if first == nil || r.workload.Idempotency == decision.Idempotent ||
		r.workload.Idempotency == decision.Deduplicated && r.workload.DedupScope == decision.ScopeAll {
		return nil
	}
	return r.violates(SafeRejection, "it may have run on %s", first.place.Engine)
}

// Answer records that the final answer goes out, unless one has. Nothing may be sent for the statement from then on.
func (r *Request) RecordAnswer() *Violation {
	if r.answered {
		return r.violates(OneAnswer, "a second answer")
	}
	r.over, r.answered = true, true
	return nil
}

// Leave records that nobody waits for an answer any more.
func (r *Request) RecordCancellation() { r.over = true }

func (r *Request) violates(rule Rule, format string, args ...any) *Violation {
	return &Violation{Rule: rule, Statement: r.id, Detail: fmt.Sprintf(format, args...)}
}
