package fakes

import "time"

// EngineEventKind is a kind of event at a simulated engine.
type EngineEventKind string

// Kinds of events.
const (
	AttemptStarted   EngineEventKind = "start"
	AttemptEnded     EngineEventKind = "end"
	AttemptCancelled EngineEventKind = "cancel"
	AttemptAbandoned EngineEventKind = "drop" // by the engine, since nobody polled
	HealthChecked    EngineEventKind = "probe"
	Collapsed        EngineEventKind = "fell" // a cold engine was sent more than it bears
)

// EngineEvent is something that happened at a simulated engine.
type EngineEvent struct {
	Kind     EngineEventKind
	ID       string // of the statement
	Workload string
	Peer     string        // the address that the call came from
	Work     time.Duration // of a started attempt, on one thread
	ColdLoad float64       // of a started attempt at a cold engine: work sent in the window over what it bears
}
