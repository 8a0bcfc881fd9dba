package faultlab

import (
	"encoding/json"
	"os"
	"slices"
	"time"

	"bankledge/internal/configversion"
)

// Event is one line of a history: what happened where, by one clock, from the start of the traffic.
type Event struct {
	At        time.Duration `json:"at"`
	Kind      EventKind     `json:"what"`
	Statement string        `json:"statement,omitempty"`
	Workload  string        `json:"workload,omitempty"`
	Router    int           `json:"router"`           // -1: none
	Engine    string        `json:"engine,omitempty"` // its id
	Code      byte          `json:"code,omitempty"`   // of an answer, as on the wire
	Work      float64       `json:"work,omitempty"`   // seconds on one thread, of a statement
	ColdLoad  float64       `json:"of,omitempty"`     // of a start: work sent in the rule's window over what a cold engine bears
	Budget    time.Duration `json:"budget,omitempty"` // of a sent statement: how long its client waits
	Retry     int           `json:"try,omitempty"`    // of a sent statement: how many came before it, as rejected ones
	Text      string        `json:"text,omitempty"`
	Version   uint64        `json:"version,omitempty"` // of an act: the newer one that is known and not in force
	Activated uint64        `json:"settled,omitempty"` // of an act: the one in force
	Leased    bool          `json:"term,omitempty"`    // of an act: a term runs
}

// What is a kind of event.
type EventKind string

// Kinds of events. Sent counts from when the statement was due, also where the lab was late with it.
const (
	StatementSent        EventKind = "sent"     // a client has sent a statement
	StatementAnswered    EventKind = "answered" // and has its answer
	DuplicateAnswer      EventKind = "again"    // a second answer came
	ClientConnectionLost EventKind = "broken"   // its connection ended first
	ClientLeft           EventKind = "left"     // the client waits no more
	InvariantViolated    EventKind = "violated" // a router's own checks have found something: text is its log's line
	AttemptStarted       EventKind = "started"  // an execution at an engine
	AttemptEnded         EventKind = "ended"    // it had its work done
	AttemptCancelled     EventKind = "called"   // it was called off
	AttemptDropped       EventKind = "dropped"  // the engine dropped it, since nobody asked
	HealthChecked        EventKind = "probed"   // a probe came to an engine
	EngineCollapsed      EventKind = "fell"     // a cold engine was pushed over
	EngineGone           EventKind = "gone"     // an engine has ended, with all that ran there
	EndpointNotified     EventKind = "told"     // the control feed's news has come to a router: text is the engine's new state
	EngineConnected      EventKind = "dialled"  // a connection from a router to an engine
	FaultStarted         EventKind = "befell"   // a fault begins: text is its kind
	FaultEnded           EventKind = "mended"   // and ends
	RouterDown           EventKind = "down"     // a router's process is stopped, told to end, or gone
	RouterUp             EventKind = "up"       // it serves again
	RulesApplied         EventKind = "acts"     // a router acts on other rules from here on
	VersionProposed      EventKind = "wanted"   // a version was proposed, which got its number later
	VersionAcknowledged  EventKind = "written"  // and the number was told
)

// History is what one play of a schedule left.
type History struct {
	Schedule *Schedule
	Events   []Event // in order of time
	Versions []*configversion.Version
}

// Sort orders the events by time.
func (h *History) Sort() {
	slices.SortStableFunc(h.Events, func(a, b Event) int { return int(a.At - b.At) })
}

// Write writes the history as JSON, an event a line.
func (h *History) Write(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	out := json.NewEncoder(f)
	for _, e := range h.Events {
		if err = out.Encode(e); err != nil {
			break
		}
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	return err
}

// workload is what the lab's fleet runs: as standin.Settings has it.
type workload struct {
	name       string
	share      float64 // of the statements
	mean       float64 // seconds on one thread
	threads    int
	importance float64
	slo        time.Duration
	budget     time.Duration // the client waits
	once       bool          // it must not run twice
}

// Spans are scaled down from those of a real fleet so that a play takes seconds.
var workloads = []workload{
	{"lookup", 0.80, 0.02, 1, 1, 800 * time.Millisecond, 2 * time.Second, false},
	{"report", 0.15, 0.25, 2, 7.5, 1600 * time.Millisecond, 4 * time.Second, false},
	{"price-load", 0.05, 0.3, 2, 10, 2 * time.Second, 5 * time.Second, true},
}

func workloadOf(name string) *workload {
	for i := range workloads {
		if workloads[i].name == name {
			return &workloads[i]
		}
	}
	return nil
}
