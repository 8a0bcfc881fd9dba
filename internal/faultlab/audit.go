package faultlab

import (
	"slices"
	"time"
)

// Violation is something that must not be, found in a history.
type Violation struct {
	Auditor string        `json:"auditor"`
	At      time.Duration `json:"at"`
	Text    string        `json:"text"`
}

// Auditor searches a history for one kind of violation. It knows nothing of the routers but what clients, engines, links and
// the control feed observed; only the auditor "guard" reads the routers' logs.
type Auditor struct {
	Name        string
	Description string
	Find        func(*History) []Violation
}

// Names of auditors that judge how well the fleet does.
const (
	auditorExtraWork = "harm"
	auditorRecovery  = "back"
)

// Auditors are all of them.
var Auditors = []Auditor{
	{"answers", "one final answer a statement, before its client's time is up", auditAnswers},
	{"once", "nothing non-idempotent starts twice", auditNonIdempotent},
	{"one at a time", "no statement runs on two engines at once", auditConcurrentAttempts},
	{"left", "nothing is sent for a client that has left", auditCancelled},
	{"guard", "no router's own check finds a rule broken or a panic", auditInvariants},
	{"drains", "nothing new comes to an engine that a router was told drains or is gone", auditDraining},
	{"cold", "no cold engine is sent more than it bears by all routers", auditSlowStart},
	{auditorExtraWork, "all routers' extra work keeps the fleet's bounds", auditExtraWork},
	{auditorRecovery, "nine tenths of what was in time before come back within 5 s of the last fault", auditRecovery},
}

// IsInvariant reports whether an auditor judges what must hold on any machine and under any faults. The others judge how well the fleet
// does, which depends on the machine's speed and on what the faults leave.
func IsInvariant(auditor string) bool {
	return auditor != auditorExtraWork && auditor != auditorRecovery
}

// Audit has all auditors search a history.
func Audit(h *History) (found []Violation) {
	for _, a := range Auditors {
		for _, v := range a.Find(h) {
			v.Auditor = a.Name
			found = append(found, v)
		}
	}
	return found
}

// forever is the end of an outage that lasts until the end of the play.
const forever = time.Hour

const (
	startupSlack    = 300 * time.Millisecond // statements in flight while a router goes down or comes up
	terminateWindow = 700 * time.Millisecond // a router need not answer what comes so long after SIGTERM
)

// outage is a time in which a router was not there.
type outage struct {
	from, to time.Duration
	cause    string // text of the event RouterDown
}

// routerOutages lists when each router was not there, by its index.
func routerOutages(h *History) map[int][]outage {
	outages := map[int][]outage{}
	for _, e := range h.Events {
		list := outages[e.Router]
		switch e.Kind {
		case RouterDown:
			outages[e.Router] = append(list, outage{from: e.At, to: forever, cause: e.Text})
		case RouterUp:
			if n := len(list); n > 0 && list[n-1].to == forever {
				list[n-1].to = e.At
			}
		}
	}
	return outages
}

// crossingSlack is how long after it was written a statement may be lost with a connection that the router closes: it crosses the close
// within 50 ms, and all processes share one machine.
const crossingSlack = 250 * time.Millisecond

// isLossExcused reports whether no router can answer for a statement that was answered late or lost. end is its last event.
func isLossExcused(outages []outage, sent, end Event) bool {
	return slices.ContainsFunc(outages, func(o outage) bool {
		if o.cause == downTerminated { // the process may outlive the start of the next one
			return sent.At < max(o.to, o.from+maxAwaitedTimeout+killGrace)+startupSlack && isLossAtShutdownExcused(o, end)
		}
		return sent.At < o.to+startupSlack && end.At > o.from-startupSlack
	})
}

// isLossAtShutdownExcused reports whether a statement was lost in a way that a router that was told to end cannot prevent: it could not be
// sent any more, or it was written when requests had no longer to be expected, and crossed the close.
func isLossAtShutdownExcused(o outage, end Event) bool {
	if end.Kind != ClientConnectionLost {
		return false
	}
	if end.Took == 0 {
		return end.At > o.from+terminateWindow
	}
	written := end.At - end.Took
	return written > o.from+requestWindow && end.Took <= crossingSlack
}

// isCrowdExcused reports whether a statement was lost on a connection of a router whose descriptors idle clients fill: one that is new may
// be closed unread, and one that is idle may be closed as the statement crosses the close.
func isCrowdExcused(s *Scenario, router int, end Event) bool {
	if end.Kind != ClientConnectionLost || end.Took > crossingSlack {
		return false
	}
	return slices.ContainsFunc(s.Faults, func(f Fault) bool {
		from := seconds(f.At)
		to := seconds(f.At+f.For) + startupSlack
		return f.Kind == faultIdleClients && slices.Contains(f.Routers, router) && end.At > from && end.At < to
	})
}

// isExcused reports whether a statement's router was away while it was open, in a way that no router can answer for.
func isExcused(outages []outage, sent, end time.Duration) bool {
	return slices.ContainsFunc(outages, func(o outage) bool {
		from := o.from - startupSlack
		if o.cause == downTerminated { // what it received before, it answers
			from = o.from + terminateWindow
		}
		return sent < o.to+startupSlack && end > from
	})
}
