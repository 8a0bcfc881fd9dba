package faultlab

import (
	"encoding/json"
	"os"
	"slices"
	"time"

	"bankledge/internal/configversion"
)

// noRouter is the Router of an event that concerns no router, or whose router is unknown.
const noRouter = -1

// Event is one line of a history. All times are read from one clock, relative to the start of the traffic.
type Event struct {
	At        time.Duration `json:"at"`
	Kind      EventKind     `json:"what"`
	Statement string        `json:"statement,omitempty"` // id of the statement; of a version event: id of its proposal
	Workload  string        `json:"workload,omitempty"`
	Router    int           `json:"router"` // index of the router, or noRouter
	Engine    string        `json:"engine,omitempty"`
	Code      byte          `json:"code,omitempty"`    // of an answer, as on the wire
	Work      float64       `json:"work,omitempty"`    // of a statement or an attempt: seconds on one thread
	ColdLoad  float64       `json:"of,omitempty"`      // of an attempt: work sent in the window, relative to the most that a cold engine can take
	Budget    time.Duration `json:"budget,omitempty"`  // of a sent statement: timeout of its client
	Took      time.Duration `json:"took,omitempty"`    // of an answer or a lost connection: time since the statement was written; 0: it was not written
	Retry     int           `json:"try,omitempty"`     // of a sent statement: number of earlier rejections
	Text      string        `json:"text,omitempty"`    // depends on the kind
	Version   uint64        `json:"version,omitempty"` // of applied rules: the pending version; of a proposal: its number
	Activated uint64        `json:"settled,omitempty"` // of applied rules: the activated version
	Leased    bool          `json:"term,omitempty"`    // of applied rules: the router holds a lease
}

// EventKind is a kind of event. Histories store its value.
type EventKind string

// Kinds of events of clients. A statement counts as sent at the time at which it is due, even if the fault lab sends it later.
const (
	StatementSent        EventKind = "sent"
	StatementAnswered    EventKind = "answered"
	DuplicateAnswer      EventKind = "again"  // a second answer to the same statement
	ClientConnectionLost EventKind = "broken" // before the answer arrived; Text is the error
	ClientCancelled      EventKind = "left"   // the client cancelled its statement
)

// Kinds of events of engines.
const (
	AttemptStarted       EventKind = "started"
	AttemptEnded         EventKind = "ended"   // its work is complete
	AttemptCancelled     EventKind = "called"  // at the request of a router
	AttemptAbandoned     EventKind = "dropped" // by the engine, because no router polled for the result
	HealthChecked        EventKind = "probed"
	ColdEngineOverloaded EventKind = "fell" // a cold engine received more load than it can take
	EngineStopped        EventKind = "gone" // with all attempts that ran on it
	EngineConnected      EventKind = "dialled"
)

// Kinds of events of routers.
const (
	InvariantViolated EventKind = "violated" // Text is the line of the router's log, or why a restart after a shutdown failed
	EndpointNotified  EventKind = "told"     // the router received the control feed's event; Text is the engine's new state
	RouterDown        EventKind = "down"     // Text is downTerminated, downKilled or downStopped
	RouterUp          EventKind = "up"       // the router serves again; Text is downStopped if it was suspended
	RulesApplied      EventKind = "acts"     // the router's active rules changed
)

// Kinds of events of faults and of the control group.
const (
	FaultStarted        EventKind = "befell"  // Text is the kind of fault
	FaultEnded          EventKind = "mended"  // Text is the kind of fault
	VersionProposed     EventKind = "wanted"  // a proposal that was acknowledged with this number; At is when it was due
	VersionAcknowledged EventKind = "written" // the operator received the number
)

// History is the record of one run of a scenario.
type History struct {
	Scenario *Scenario
	Events   []Event // in order of time
	Versions []*configversion.Version
}

// Sort orders the events by time. Events of the same time keep their order.
func (h *History) Sort() {
	slices.SortStableFunc(h.Events, func(a, b Event) int { return int(a.At - b.At) })
}

// Write writes the events to a file as JSON, one per line.
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
