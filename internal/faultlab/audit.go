package faultlab

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bankledge/internal/retrybudget"
	"bankledge/internal/retrybudget/observer"
)

// Breach is something that must not be, found in a history.
type Violation struct {
	Auditor string        `json:"auditor"`
	At      time.Duration `json:"at"`
	Text    string        `json:"text"`
}

// Auditor looks through a history for one kind of breach. It knows nothing of the routers but what clients, engines, links and
// the control feed saw.
type Auditor struct {
	Name        string
	Description string
	Find        func(*History) []Violation
}

// Auditors are all of them.
var Auditors = []Auditor{
	{"answers", "one final answer a statement, before its client's time is up", answers},
	{"once", "nothing non-idempotent starts twice", once},
	{"one at a time", "no statement runs on two engines at once", oneAtATime},
	{"left", "nothing is sent for a client that has left", left},
	{"guard", "no router's own check finds a rule broken or a panic", guards},
	{"drains", "nothing new comes to an engine that a router was told drains or is gone", drains},
	{"cold", "no cold engine is sent more than it bears by all routers", cold},
	{"harm", "all routers' extra work keeps the fleet's bounds", harms},
	{"back", "nine tenths of what was in time before come back within 5 s of the last fault", back},
}

// IsInvariant tells auditors of what must hold on any machine and under any faults. The others judge how well the fleet does, which hangs
// on the machine's speed and on what the faults leave.
func IsInvariant(auditor string) bool { return auditor != "harm" && auditor != "back" }

// Audit has all auditors look.
func Audit(h *History) (found []Violation) {
	for _, a := range Auditors {
		for _, b := range a.Find(h) {
			b.Auditor = a.Name
			found = append(found, b)
		}
	}
	return found
}

const (
	lateSlack  = 400 * time.Millisecond // all processes share one machine
	drainGrace = time.Second            // the rule's, as fleetSettings has it
	drainSlack = 250 * time.Millisecond
	afterTerm  = 700 * time.Millisecond // a statement that comes later to a router told to end is nobody's
	leftSlack  = 350 * time.Millisecond // the rule's 100, and what all processes lose by sharing one machine
	startUp    = 300 * time.Millisecond // statements on their way while a router goes down
)

type lapse struct {
	from, to time.Duration
	kind     string
}

// down lists when each router was not there.
func down(h *History) map[int][]lapse {
	lapses := map[int][]lapse{}
	for _, e := range h.Events {
		l := lapses[e.Router]
		switch e.Kind {
		case RouterDown:
			lapses[e.Router] = append(l, lapse{e.At, time.Hour, e.Text})
		case RouterUp:
			if n := len(l); n > 0 && l[n-1].to == time.Hour {
				l[n-1].to = e.At
			}
		}
	}
	return lapses
}

// excused tells whether a statement's router was away while it was open, in a way that no router can answer for.
func excused(lapses []lapse, sent, end time.Duration) bool {
	return slices.ContainsFunc(lapses, func(l lapse) bool {
		from := l.from - startUp
		if l.kind == "term" { // what it had taken by then it answers
			from = l.from + afterTerm
		}
		return sent < l.to+startUp && end > from
	})
}

// answers: every statement that a living router took has one final answer, before its client's time is up.
func answers(h *History) (found []Violation) {
	lapses, sent, done := down(h), map[string]Event{}, map[string]bool{}
	over := h.Events[len(h.Events)-1].At
	for _, e := range h.Events {
		switch e.Kind {
		case StatementSent:
			sent[e.Statement] = e
		case DuplicateAnswer:
			found = append(found, Violation{At: e.At, Text: "a second answer for " + e.Statement})
		case ClientLeft:
			done[e.Statement] = true
		case StatementAnswered, ClientConnectionLost:
			s := sent[e.Statement]
			done[e.Statement] = true
			if excused(lapses[s.Router], s.At, e.At) {
				continue
			}
			if late := e.At - s.At - s.Budget; e.Kind == ClientConnectionLost || late > lateSlack {
				found = append(found, Violation{At: e.At, Text: fmt.Sprintf("%s %s at router %d %v after its client's time was up (%s)", s.Workload, e.Statement, s.Router, late, e.Kind)})
			}
		}
	}
	for id, s := range sent {
		if end := s.At + s.Budget + lateSlack; !done[id] && end < over && !excused(lapses[s.Router], s.At, end) {
			found = append(found, Violation{At: end, Text: fmt.Sprintf("%s %s at router %d has no answer", s.Workload, id, s.Router)})
		}
	}
	slices.SortFunc(found, func(a, b Violation) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Text, b.Text)) })
	return found
}

// left: no execution starts for a client that has left, but for what is on its way.
func left(h *History) (found []Violation) {
	lapses, gone := down(h), map[string]Event{}
	for _, e := range h.Events {
		switch e.Kind {
		case ClientLeft:
			gone[e.Statement] = e
		case AttemptStarted:
			l, ok := gone[e.Statement]
			if ok && e.At > l.At+leftSlack && !excused(lapses[l.Router], l.At, e.At) {
				found = append(found, Violation{At: e.At, Text: fmt.Sprintf("%s starts on %s %v after its client left", e.Statement, e.Engine, e.At-l.At)})
			}
		}
	}
	return found
}

// guards: no router's own check has found anything.
func guards(h *History) (found []Violation) {
	for _, e := range h.Events {
		if e.Kind == InvariantViolated {
			found = append(found, Violation{At: e.At, Text: fmt.Sprintf("router %d: %s", e.Router, e.Text)})
		}
	}
	return found
}

// once: what must not run twice is started at most once by all routers.
func once(h *History) (found []Violation) {
	at := map[string]Event{}
	for _, e := range h.Events {
		w := workloadOf(e.Workload)
		if e.Kind != AttemptStarted || w == nil || !w.once {
			continue
		}
		if first, twice := at[e.Statement]; twice {
			found = append(found, Violation{At: e.At, Text: fmt.Sprintf("%s ran on %s at %v and on %s", e.Statement, first.Engine, first.At, e.Engine)})
		}
		at[e.Statement] = e
	}
	return found
}

// oneAtATime: no statement runs on two engines at once.
func oneAtATime(h *History) (found []Violation) {
	running := map[string]Event{}
	for _, e := range h.Events {
		switch e.Kind {
		case AttemptStarted:
			if first, two := running[e.Statement]; two && first.Engine != e.Engine {
				found = append(found, Violation{At: e.At, Text: fmt.Sprintf("%s (%s) runs on %s since %v and on %s", e.Statement, e.Workload, first.Engine, first.At, e.Engine)})
			}
			running[e.Statement] = e
		case AttemptEnded, AttemptCancelled, AttemptDropped:
			if running[e.Statement].Engine == e.Engine {
				delete(running, e.Statement)
			}
		case EngineGone:
			for id, s := range running {
				if s.Engine == e.Engine {
					delete(running, id)
				}
			}
		}
	}
	return found
}

// drains: nothing new comes to an engine from a router that has been told for the rule's time that it drains or is gone.
func drains(h *History) (found []Violation) {
	type link struct {
		router int
		engine string
	}
	told := map[link]time.Duration{}
	for _, e := range h.Events {
		l := link{e.Router, e.Engine}
		since, known := told[l]
		switch {
		case e.Kind == EndpointNotified && e.Text != "active" && !known:
			told[l] = e.At
		case e.Kind == RouterDown: // what it does when it wakes is on its way already, or it starts anew and is told anew
			for other := range told {
				if other.router == e.Router {
					told[other] = time.Hour
				}
			}
		case e.Kind == RouterUp:
			for other := range told {
				if other.router == e.Router {
					told[other] = e.At
				}
			}
		case e.Kind == AttemptStarted && known && e.At > since+drainGrace+drainSlack:
			found = append(found, Violation{At: e.At, Text: fmt.Sprintf("router %d starts %s on %s, of which it heard at %v", e.Router, e.Statement, e.Engine, since)})
		}
	}
	return found
}

// cold: no cold engine is sent more than it bears by all routers together.
func cold(h *History) (found []Violation) {
	for _, e := range h.Events {
		if e.Kind == EngineCollapsed {
			found = append(found, Violation{At: e.At, Text: fmt.Sprintf("%s was sent %.2f of what it bears", e.Engine, e.ColdLoad)})
		}
	}
	return found
}

// harms: all routers' extra work keeps the fleet's bounds, in any span of the ledger.
func harms(h *History) (found []Violation) {
	ledger, firsts := observer.New(ExtraWorkBounds), map[string]bool{}
	ledger.Allowance[retrybudget.Handshake] = float64(h.Schedule.Routers * h.Schedule.Engines) // one on each link, to begin with
	for _, e := range h.Events {
		switch e.Kind {
		case StatementSent:
			ledger.RecordAdmitted(e.At)
		case StatementAnswered:
			if e.Code == codeCompleted {
				ledger.RecordCompleted(e.At)
			}
		case AttemptStarted:
			if firsts[e.Statement] {
				ledger.RecordExtraWork(e.At, retrybudget.AdditionalAttempt)
			}
			firsts[e.Statement] = true
		case AttemptCancelled:
			ledger.RecordExtraWork(e.At, retrybudget.Cancellation)
		case HealthChecked:
			ledger.RecordExtraWork(e.At, retrybudget.HealthCheck)
		case EngineConnected:
			ledger.RecordExtraWork(e.At, retrybudget.Handshake)
		default:
			continue
		}
		for _, over := range ledger.Violations(e.At) {
			found = append(found, Violation{At: e.At, Text: over})
		}
	}
	return found
}

const (
	codeCompleted, codeRejected = 20, 50
	backShare                   = 0.9
	backWithin                  = 5 * time.Second
	backOver                    = time.Second
)

// back: when the last fault is over the fleet serves nine tenths of what it served before, soon.
func back(h *History) (found []Violation) {
	if f := Measure(h); f.RecoveryTime > backWithin {
		found = append(found, Violation{At: f.FaultsEnd + f.RecoveryTime, Text: fmt.Sprintf("%.2f in time before the first fault, not back to nine tenths of that within %v of the last (%v)", f.InTimeBefore, backWithin, f.RecoveryTime)})
	}
	return found
}
