package faultlab

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const sec = time.Second

// Each auditor finds its violations, and nothing in a history without any.
func TestAuditors(t *testing.T) {
	sent := Event{At: sec, Kind: StatementSent, Statement: "a0", Workload: "lookup", Budget: 2 * sec}
	load := Event{At: sec, Kind: AttemptStarted, Statement: "l0", Workload: "price-load", Engine: "e1"}
	read := Event{At: sec, Kind: AttemptStarted, Statement: "r0", Workload: "report", Engine: "e1"}
	told := Event{At: sec, Kind: EndpointNotified, Engine: "e1", Text: "leaving"}
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
		{"a broken connection", "answers", []Event{sent, at(2*sec, with(ClientConnectionLost, sent))}, true},
		{"a broken connection to a router that was killed", "answers", []Event{sent, down(2*sec, "kill"), at(2*sec, with(ClientConnectionLost, sent))}, false},
		{"the same long after it came back", "answers", []Event{down(0, "kill"), up(sec / 2), at(5*sec, sent), at(6*sec, with(ClientConnectionLost, sent))}, true},
		{"taken before SIGTERM and lost", "answers", []Event{sent, down(sec+sec/2, "term"), at(2*sec, with(ClientConnectionLost, sent))}, true},
		{"sent long after SIGTERM and lost", "answers", []Event{down(0, "term"), at(sec, sent), at(2*sec, with(ClientConnectionLost, sent))}, false},
		{"written before SIGTERM and lost at the kill", "answers", []Event{sent, down(sec+sec/2, "term"), lost(4*sec, 3*sec)}, true},
		{"written as long as requests come and lost at the kill", "answers", []Event{down(sec/2, "term"), sent, lost(3*sec, 2*sec)}, true},
		{"written after that, and it crossed the close", "answers", []Event{down(0, "term"), sent, lost(sec+sec/10, sec/10)}, false},
		{"written after that, read and lost", "answers", []Event{down(0, "term"), sent, lost(2*sec, sec)}, true},
		{"answered late after SIGTERM", "answers", []Event{sent, down(2*sec, "term"), at(4*sec, answered)}, true},
		{"it could not be sent any more", "answers", []Event{down(0, "term"), sent, lost(sec, 0)}, false},
		{"it could not be sent though new connections come", "answers", []Event{down(sec/2, "term"), sent, lost(sec, 0)}, true},
		{"late at a router that was stopped", "answers", []Event{sent, down(2*sec, "stop"), up(4 * sec), at(4*sec, answered)}, false},
		{"a load once", "once", []Event{load}, false},
		{"a load twice", "once", []Event{load, at(9*sec, on("e2", load))}, true},
		{"a report twice, one after the other", "one at a time", []Event{read, at(2*sec, with(AttemptCancelled, read)), at(2*sec, on("e2", read))}, false},
		{"a report twice at once", "one at a time", []Event{read, at(2*sec, on("e2", read))}, true},
		{"its first engine has died", "one at a time", []Event{read, at(2*sec, Event{Kind: EngineGone, Engine: "e1"}), at(2*sec, on("e2", read))}, false},
		{"another one dies", "one at a time", []Event{read, at(2*sec, Event{Kind: EngineGone, Engine: "e3"}), at(2*sec, on("e2", read))}, true},
		{"a start right after its client left", "left", []Event{with(ClientLeft, read), at(sec+cancelSlack, read)}, false},
		{"a start long after its client left", "left", []Event{with(ClientLeft, read), at(sec+cancelSlack+1, read)}, true},
		{"the same at a router that was stopped", "left", []Event{with(ClientLeft, read), down(sec+sec/2, "stop"), up(3 * sec), at(3*sec, read)}, false},
		{"a client that left has no answer", "answers", []Event{sent, at(2*sec, with(ClientLeft, sent))}, false},
		{"a router that finds nothing", "guard", []Event{read}, false},
		{"a router that finds a rule broken", "guard", []Event{{At: sec, Kind: InvariantViolated}}, true},
		{"a start within the grace", "drains", []Event{told, at(2*sec, read)}, false},
		{"a start after it", "drains", []Event{told, at(2*sec+drainSlack+1, read)}, true},
		{"a router that was not told", "drains", []Event{told, at(9*sec, Event{Kind: AttemptStarted, Router: 1, Engine: "e1"})}, false},
		{"a router that was away, just back", "drains", []Event{told, down(sec, "stop"), up(5 * sec), at(5*sec+sec/2, read)}, false},
		{"a router that was away, long back", "drains", []Event{told, down(sec, "stop"), up(5 * sec), at(8*sec, read)}, true},
		{"a cold engine stands", "cold", []Event{read}, false},
		{"a cold engine falls", "cold", []Event{at(2*sec, with(EngineCollapsed, read))}, true},
		{"few call-offs", "harm", append(many(100, StatementSent), many(4, AttemptCancelled)...), false},
		{"many call-offs", "harm", append(many(100, StatementSent), many(100, AttemptCancelled)...), true},
		{"many probes", "harm", append(many(100, StatementSent), many(200, HealthChecked)...), true},
		{"many connections", "harm", append(many(100, StatementSent), many(300, EngineConnected)...), true},
		{"many further executions", "harm", append(many(100, StatementSent), many(100, AttemptStarted)...), true},
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

// many returns events of a kind within a second: attempts of one statement, anything else of a statement each.
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
	play := func(serves func(second int) bool) *History {
		h := &History{Scenario: &Scenario{Seconds: 20, Engines: 1, Faults: []Fault{{Kind: "reset", At: 5}, {Kind: "stop", At: 5, For: 2}}}}
		for i := range 20 {
			for j := range 10 {
				s := Event{At: time.Duration(i)*sec + time.Duration(j)*100*time.Millisecond, Kind: StatementSent, Statement: fmt.Sprintf("%d-%d-0", i, j), Workload: "lookup", Budget: 2 * sec}
				a := s
				a.Kind, a.Code, a.At = StatementAnswered, codeCompleted, s.At+50*time.Millisecond
				if !serves(i) {
					a.Code = codeRejected
				}
				h.Events = append(h.Events, s, a)
			}
		}
		h.Sort()
		return h
	}
	at := func(second int) time.Duration {
		return Measure(play(func(i int) bool { return i < 5 || i >= second })).RecoveryTime
	}
	assert.Zero(t, at(0))
	assert.Equal(t, 3*sec, at(10))
	assert.Empty(t, auditRecovery(play(func(i int) bool { return i < 5 || i >= 12 })))
	assert.Len(t, auditRecovery(play(func(i int) bool { return i < 5 || i >= 14 })), 1)
	assert.Len(t, auditRecovery(play(func(i int) bool { return i < 5 })), 1, "never back")
	f := Measure(play(func(i int) bool { return i%2 == 0 }))
	assert.InDelta(t, 0.5, f.InTime, 1e-9)
	assert.InDelta(t, 0.5, f.Rejected, 1e-9)
	assert.Equal(t, 50*time.Millisecond, f.P50)
}
