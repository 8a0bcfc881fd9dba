package faultlab

import (
	"slices"
	"time"
)

// Violation is a broken rule that an auditor found in a history.
type Violation struct {
	Auditor string        `json:"auditor"`
	At      time.Duration `json:"at"`
	Text    string        `json:"text"`
}

// Auditor searches a history for one kind of violation. Auditors use only what clients, engines, links and control feeds observed,
// except the auditor "guard", which reads the routers' logs.
type Auditor struct {
	Name        string
	Description string
	Find        func(*History) []Violation
}

// Names of auditors that judge how well the fleet performs.
const (
	auditorExtraWork = "harm"
	auditorRecovery  = "back"
)

// Auditors lists all auditors of the fleet.
var Auditors = []Auditor{
	{"answers", "each statement gets one final answer before its client's timeout", auditAnswers},
	{"once", "no non-idempotent statement starts twice", auditNonIdempotent},
	{"one at a time", "no statement runs on two engines at the same time", auditConcurrentAttempts},
	{"left", "no attempt starts after its client has cancelled", auditCancelled},
	{"guard", "no router logs a violated invariant or a panic", auditInvariants},
	{"drains", "no router starts an attempt on an engine after it was notified that the engine drains or was removed", auditDraining},
	{"cold", "all routers together send no cold engine more load than it can take", auditSlowStart},
	{auditorExtraWork, "the extra work of all routers stays within the fleet's bounds", auditExtraWork},
	{auditorRecovery, "within 5 s after the last fault, the share in time is back to nine tenths of its value before the first fault", auditRecovery},
}

// IsInvariant reports whether an auditor checks a rule that must hold on any machine and under any faults. The other auditors judge how
// well the fleet performs, which depends on the machine's speed and on the capacity that the faults leave.
func IsInvariant(auditor string) bool {
	return auditor != auditorExtraWork && auditor != auditorRecovery
}

// Audit runs all auditors on a history and returns the violations that they find.
func Audit(h *History) (found []Violation) {
	for _, a := range Auditors {
		for _, v := range a.Find(h) {
			v.Auditor = a.Name
			found = append(found, v)
		}
	}
	return found
}

// forever is the end of an outage that lasts until the end of the run.
const forever = time.Hour

const (
	startupSlack = 300 * time.Millisecond // allowance for statements in flight while a router goes down or comes up
	acceptWindow = 700 * time.Millisecond // a router must answer statements received within this time after SIGTERM
)

// outage is a period in which a router was unavailable.
type outage struct {
	from, to time.Duration
	cause    string // Text of the RouterDown event
}

// routerOutages returns the outages of each router, by router index.
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

// crossingSlack is the longest time between writing a statement and losing it because the router closed the connection concurrently. The
// statement crosses the close within 50 ms; the rest allows for all processes sharing one machine.
const crossingSlack = 250 * time.Millisecond

// isLossExcused reports whether an outage excuses the late answer or the loss of a statement. end is the statement's last event.
func isLossExcused(outages []outage, sent, end Event) bool {
	return slices.ContainsFunc(outages, func(o outage) bool {
		if o.cause == downTerminated { // the process may outlive the start of its successor
			return sent.At < max(o.to, o.from+maxAwaitedTimeout+killGrace)+startupSlack && isLossAtShutdownExcused(o, end)
		}
		return sent.At < o.to+startupSlack && end.At > o.from-startupSlack
	})
}

// isLossAtShutdownExcused reports whether a statement was lost in a way that a router cannot prevent after SIGTERM: either it could not be
// sent any more, or it was written after requestWindow and crossed the close of the connection.
func isLossAtShutdownExcused(o outage, end Event) bool {
	if end.Kind != ClientConnectionLost {
		return false
	}
	if end.Took == 0 {
		return end.At > o.from+acceptWindow
	}
	written := end.At - end.Took
	return written > o.from+requestWindow && end.Took <= crossingSlack
}

// isIdleClientLossExcused reports whether a statement was lost while idle clients exhausted the router's file descriptors. The router may
// then close a new connection without reading it, or close an idle connection while a statement is being sent on it.
func isIdleClientLossExcused(s *Scenario, router int, end Event) bool {
	if end.Kind != ClientConnectionLost || end.Took > crossingSlack {
		return false
	}
	return slices.ContainsFunc(s.Faults, func(f Fault) bool {
		from := seconds(f.At)
		to := seconds(f.At+f.For) + startupSlack
		return f.Kind == faultIdleClients && slices.Contains(f.Routers, router) && end.At > from && end.At < to
	})
}

// isExcused reports whether an outage of the router excuses a violation for a statement that was open from sent to end.
func isExcused(outages []outage, sent, end time.Duration) bool {
	return slices.ContainsFunc(outages, func(o outage) bool {
		from := o.from - startupSlack
		if o.cause == downTerminated { // a terminated router answers statements received before
			from = o.from + acceptWindow
		}
		return sent < o.to+startupSlack && end > from
	})
}
