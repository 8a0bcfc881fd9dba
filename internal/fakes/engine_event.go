package fakes

import "time"

// EngineEventKind is the kind of an event at a simulated engine.
type EngineEventKind string

// Kinds of events.
const (
	AttemptStarted       EngineEventKind = "start"
	AttemptEnded         EngineEventKind = "end"
	AttemptCancelled     EngineEventKind = "cancel"
	AttemptAbandoned     EngineEventKind = "drop" // the engine ended the attempt because the router had not polled it for too long
	HealthChecked        EngineEventKind = "probe"
	ColdEngineOverloaded EngineEventKind = "fell" // a cold engine was sent more work than it tolerates, and stopped
)

// EngineEvent is something that happened at a simulated engine.
type EngineEvent struct {
	Kind     EngineEventKind
	ID       string // of the statement
	Workload string
	Peer     string        // address of the caller
	Work     time.Duration // of a started attempt, in time on one thread
	ColdLoad float64       // of a started attempt at a cold engine: the work sent in the window, divided by the work that the engine tolerates
}
