package decision

import "time"

// EngineState is an engine's state in an endpoint list.
type EngineState int

// The states of an engine.
const (
	Ready    EngineState = iota
	Draining             // finishes its running statements, and should get no more
	Removed              // no longer exists
)

// Endpoint is one engine in an endpoint list.
type Endpoint struct {
	Engine      EngineID
	Zone        Zone
	MachineType MachineType
	Cell        Cell
	State       EngineState
	Weight      float64
	StartedAt   time.Duration // 0: before the module's clock started, so no slow start applies
}

// ListKind says how an endpoint list relates to the endpoints that the module already knows.
type ListKind int

// The kinds of endpoint list.
const (
	ListPartial   ListKind = iota // changes to the known endpoints
	ListComplete                  // replaces the known endpoints
	ListPersisted                 // replaces the known endpoints with those saved before a restart; may be stale
	ListFailed                    // the source of the list is unreachable; there are no entries
)
