package faultlab

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const sec = time.Second

// Each auditor finds the violations of its rule, and none in a history without violations.
func TestAuditors(t *testing.T) {
	sent := Event{At: sec, Kind: StatementSent, Statement: "a0", Workload: "lookup", Budget: 2 * sec}
	load := Event{At: sec, Kind: AttemptStarted, Statement: "l0", Workload: "price-load", Engine: "e1"}
	report := Event{At: sec, Kind: AttemptStarted, Statement: "r0", Workload: "report", Engine: "e1"}
	notified := Event{At: sec, Kind: EndpointNotified, Engine: "e1", Text: "leaving"}
	end := Event{At: 20 * sec, Kind: FaultEnded, Router: -1}
	at := func(when time.Duration, e Event) Event { e.At = when; return e }
	with := func(what EventKind, e Event) Event { e.Kind = what; return e }
	on := func(engine string, e Event) Event { e.Engine = engine; return e }
	answered := with(StatementAnswered, sent)
	down := func(when time.Duration, kind string) Event { return Event{At: when, Kind: RouterDown, Text: kind} }
	lost := func(when, took time.Duration) Event {
		e := at(when, with(ClientConnectionLost, sent))
		e.Took = took
		return e
	}
	up := func(when time.Duration) Event { return Event{At: when, Kind: RouterUp} }
	for _, c := range []struct {
		name, auditor string
		events        []Event
		found         bool
	}{
		{"an answer in time", "answers", []Event{sent, at(2*sec, answered)}, false},
		{"an answer too late", "answers", []Event{sent, at(3*sec+answerSlack+1, answered)}, true},
		{"no answer", "answers", []Event{sent}, true},
		{"two answers", "answers", []Event{sent, at(2*sec, answered), at(2*sec, with(DuplicateAnswer, sent))}, true},
		{"a lost connection", "answers", []Event{sent, at(2*sec, with(ClientConnectionLost, sent))}, true},
		{"a lost connection to a router that was killed", "answers", []Event{sent, down(2*sec, "kill"), at(2*sec, with(ClientConnectionLost, sent))}, false},
		{"a lost connection long after the router restarted", "answers", []Event{down(0, "kill"), up(sec / 2), at(5*sec, sent), at(6*sec, with(ClientConnectionLost, sent))}, true},
		{"sent before SIGTERM and lost", "answers", []Event{sent, down(sec+sec/2, "term"), at(2*sec, with(ClientConnectionLost, sent))}, true},
		{"sent long after SIGTERM and lost", "answers", []Event{down(0, "term"), at(sec, sent), at(2*sec, with(ClientConnectionLost, sent))}, false},
		{"written before SIGTERM and lost at the kill", "answers", []Event{sent, down(sec+sec/2, "term"), lost(4*sec, 3*sec)}, true},
		{"written within the request window after SIGTERM and lost at the kill", "answers", []Event{down(sec/2, "term"), sent, lost(3*sec, 2*sec)}, true},
		{"written after the request window and lost as it crossed the close", "answers", []Event{down(0, "term"), sent, lost(sec+sec/10, sec/10)}, false},
		{"written after the request window, read and lost", "answers", []Event{down(0, "term"), sent, lost(2*sec, sec)}, true},
		{"answered late after SIGTERM", "answers", []Event{sent, down(2*sec, "term"), at(4*sec, answered)}, true},
		{"not sent after the accept window", "answers", []Event{down(0, "term"), sent, lost(sec, 0)}, false},
		{"not sent within the accept window", "answers", []Event{down(sec/2, "term"), sent, lost(sec, 0)}, true},
		{"answered late by a router that was suspended", "answers", []Event{sent, down(2*sec, "stop"), up(4 * sec), at(4*sec, answered)}, false},
		{"a load that starts once", "once", []Event{load}, false},
		{"a load that starts twice", "once", []Event{load, at(9*sec, on("e2", load))}, true},
		{"a report on two engines, one after the other", "one at a time", []Event{report, at(2*sec, with(AttemptCancelled, report)), at(2*sec, on("e2", report))}, false},
		{"a report on two engines at the same time", "one at a time", []Event{report, at(2*sec, on("e2", report))}, true},
		{"a report whose first engine has stopped", "one at a time", []Event{report, at(2*sec, Event{Kind: EngineStopped, Engine: "e1"}), at(2*sec, on("e2", report))}, false},
		{"a report while an unrelated engine stops", "one at a time", []Event{report, at(2*sec, Event{Kind: EngineStopped, Engine: "e3"}), at(2*sec, on("e2", report))}, true},
		{"a start right after its client cancelled", "left", []Event{with(ClientCancelled, report), at(sec+cancelSlack, report)}, false},
		{"a start long after its client cancelled", "left", []Event{with(ClientCancelled, report), at(sec+cancelSlack+1, report)}, true},
		{"a start by a router that was suspended", "left", []Event{with(ClientCancelled, report), down(sec+sec/2, "stop"), up(3 * sec), at(3*sec, report)}, false},
		{"no answer for a client that cancelled", "answers", []Event{sent, at(2*sec, with(ClientCancelled, sent))}, false},
		{"no violated invariant", "guard", []Event{report}, false},
		{"a violated invariant", "guard", []Event{{At: sec, Kind: InvariantViolated}}, true},
		{"a start within the drain grace", "drains", []Event{notified, at(2*sec, report)}, false},
		{"a start after the drain grace", "drains", []Event{notified, at(2*sec+drainSlack+1, report)}, true},
		{"a router that was not notified", "drains", []Event{notified, at(9*sec, Event{Kind: AttemptStarted, Router: 1, Engine: "e1"})}, false},
		{"a router that has just resumed", "drains", []Event{notified, down(sec, "stop"), up(5 * sec), at(5*sec+sec/2, report)}, false},
		{"a router that resumed long ago", "drains", []Event{notified, down(sec, "stop"), up(5 * sec), at(8*sec, report)}, true},
		{"a cold engine within its limit", "cold", []Event{report}, false},
		{"an overloaded cold engine", "cold", []Event{at(2*sec, with(ColdEngineOverloaded, report))}, true},
		{"few cancellations", "harm", append(many(100, StatementSent), many(4, AttemptCancelled)...), false},
		{"many cancellations", "harm", append(many(100, StatementSent), many(100, AttemptCancelled)...), true},
		{"many health checks", "harm", append(many(100, StatementSent), many(200, HealthChecked)...), true},
		{"many connections", "harm", append(many(100, StatementSent), many(300, EngineConnected)...), true},
		{"many additional attempts", "harm", append(many(100, StatementSent), many(100, AttemptStarted)...), true},
	} {
		t.Run(c.auditor+": "+c.name, func(t *testing.T) {
			h := &History{Scenario: &Scenario{Seconds: 20, Engines: 1, Routers: 2}, Events: append(c.events, end)}
			h.Sort()
			found := false
			for _, b := range Audit(h) {
				found = found || b.Auditor == c.auditor
			}
			assert.Equal(t, c.found, found, "%v", Audit(h))
		})
	}
}

// many returns n events of a kind, one millisecond apart. Attempts belong to one statement, other events to a statement each.
func many(n int, kind EventKind) (list []Event) {
	for i := range n {
		statement := fmt.Sprintf("%d0", i)
		if kind == AttemptStarted {
			statement = "x0"
		}
		list = append(list, Event{
			At:        sec + time.Duration(i)*time.Millisecond,
			Kind:      kind,
			Statement: statement,
			Workload:  "lookup",
			Budget:    2 * sec,
		})
	}
	return list
}

func TestRecovery(t *testing.T) {
	runWith := func(isServed func(second int) bool) *History {
		h := &History{Scenario: &Scenario{Seconds: 20, Engines: 1, Faults: []Fault{{Kind: "reset", At: 5}, {Kind: "stop", At: 5, For: 2}}}}
		for i := range 20 {
			for j := range 10 {
				s := Event{At: time.Duration(i)*sec + time.Duration(j)*100*time.Millisecond, Kind: StatementSent, Statement: fmt.Sprintf("%d-%d-0", i, j), Workload: "lookup", Budget: 2 * sec}
				a := s
				a.Kind, a.Code, a.At = StatementAnswered, codeCompleted, s.At+50*time.Millisecond
				if !isServed(i) {
					a.Code = codeRejected
				}
				h.Events = append(h.Events, s, a)
			}
		}
		h.Sort()
		return h
	}
	recoveryTime := func(second int) time.Duration {
		return Measure(runWith(func(i int) bool { return i < 5 || i >= second })).RecoveryTime
	}
	assert.Zero(t, recoveryTime(0))
	assert.Equal(t, 3*sec, recoveryTime(10))
	assert.Empty(t, auditRecovery(runWith(func(i int) bool { return i < 5 || i >= 12 })))
	assert.Len(t, auditRecovery(runWith(func(i int) bool { return i < 5 || i >= 14 })), 1)
	assert.Len(t, auditRecovery(runWith(func(i int) bool { return i < 5 })), 1, "no recovery")
	m := Measure(runWith(func(i int) bool { return i%2 == 0 }))
	assert.InDelta(t, 0.5, m.InTime, 1e-9)
	assert.InDelta(t, 0.5, m.Rejected, 1e-9)
	assert.Equal(t, 50*time.Millisecond, m.P50)
}
