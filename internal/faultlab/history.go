package faultlab

import (
	"encoding/json"
	"os"
	"slices"
	"time"

	"bankledge/internal/configversion"
)

// noRouter is the Router of an event that belongs to none, or whose router is not known.
const noRouter = -1

// Event is one line of a history: what happened where. All times are of one clock, from the start of the traffic.
type Event struct {
	At        time.Duration `json:"at"`
	Kind      EventKind     `json:"what"`
	Statement string        `json:"statement,omitempty"` // its id; of a version: the id of its proposal
	Workload  string        `json:"workload,omitempty"`
	Router    int           `json:"router"` // index, or noRouter
	Engine    string        `json:"engine,omitempty"`
	Code      byte          `json:"code,omitempty"`    // of an answer, as on the wire
	Work      float64       `json:"work,omitempty"`    // of a statement or an attempt: seconds on one thread
	ColdLoad  float64       `json:"of,omitempty"`      // of an attempt: work sent in the window over what a cold engine bears
	Budget    time.Duration `json:"budget,omitempty"`  // of a sent statement: how long its client waits
	Took      time.Duration `json:"took,omitempty"`    // of an answer or a lost connection: since the statement was written; 0: it was not
	Retry     int           `json:"try,omitempty"`     // of a sent statement: how many times it was rejected before
	Text      string        `json:"text,omitempty"`    // see the kind
	Version   uint64        `json:"version,omitempty"` // of rules applied: the pending version; of a proposal: its number
	Activated uint64        `json:"settled,omitempty"` // of rules applied: the activated version
	Leased    bool          `json:"term,omitempty"`    // of rules applied: the router holds a lease
}

// EventKind is a kind of event. Its value is stored in histories.
type EventKind string

// Kinds of events of clients. A statement counts as sent from when it was due, also where the lab was late with it.
const (
	StatementSent        EventKind = "sent"
	StatementAnswered    EventKind = "answered"
	DuplicateAnswer      EventKind = "again"  // a second answer of one statement
	ClientConnectionLost EventKind = "broken" // before the answer came; Text is the error
	ClientLeft           EventKind = "left"   // the client has cancelled
)

// Kinds of events of engines.
const (
	AttemptStarted   EventKind = "started"
	AttemptEnded     EventKind = "ended"   // its work was done
	AttemptCancelled EventKind = "called"  // by a router
	AttemptDropped   EventKind = "dropped" // by the engine, since nobody polled
	HealthChecked    EventKind = "probed"
	EngineCollapsed  EventKind = "fell" // a cold engine was sent more than it bears
	EngineGone       EventKind = "gone" // with all that ran there
	EngineConnected  EventKind = "dialled"
)

// Kinds of events of routers.
const (
	InvariantViolated EventKind = "violated" // Text is the line of the router's log
	EndpointNotified  EventKind = "told"     // the router has received the control feed's event; Text is the engine's new state
	RouterDown        EventKind = "down"     // Text says how
	RouterUp          EventKind = "up"       // it serves again; Text says whether it was stopped
	RulesApplied      EventKind = "acts"     // the router acts on other rules from here on
)

// Kinds of events of faults and of the control group.
const (
	FaultStarted        EventKind = "befell"  // Text is the kind of fault
	FaultEnded          EventKind = "mended"  // likewise
	VersionProposed     EventKind = "wanted"  // a proposal was sent that got this number
	VersionAcknowledged EventKind = "written" // the number came back
)

// History is what one play of a schedule left.
type History struct {
	Scenario *Scenario
	Events   []Event // in order of time
	Versions []*configversion.Version
}

// Sort orders the events by time; those of the same time stay in order.
func (h *History) Sort() {
	slices.SortStableFunc(h.Events, func(a, b Event) int { return int(a.At - b.At) })
}

// Write writes the events as JSON, one a line.
func (h *History) Write(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(f)
	for _, e := range h.Events {
		err = encoder.Encode(e)
		if err != nil {
			break
		}
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
