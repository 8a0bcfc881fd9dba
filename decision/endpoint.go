package decision

import "time"

// EngineState is an engine's state in an endpoint list.
type EngineState int

// The states of an engine.
const (
	Ready    EngineState = iota
	Draining             // finishes what it runs, and should be sent nothing more
	Removed              // no longer there
)

// Endpoint is one engine in an endpoint list.
type Endpoint struct {
	Engine      EngineID
	Zone        Zone
	MachineType MachineType
	Cell        Cell
	State       EngineState
	Weight      float64
	StartedAt   time.Duration // 0: before the module's clock began, so that no slow start applies
}

// ListKind says how an endpoint list relates to what the instance knows already.
type ListKind int

// The kinds of list.
const (
	ListPartial   ListKind = iota // changes to what is known
	ListComplete                  // replaces what is known
	ListPersisted                 // replaces what is known, as last seen before a restart; it may be stale
	ListFailed                    // the source of the list cannot be reached; there are no entries
)
