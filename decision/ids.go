package decision

import "time"

// IDs. Each has a type of its own, so that the compiler rejects a mix-up.
type (
	// StatementID is unique among the statements of one router that are not finished.
	StatementID string
	// AttemptID numbers the attempts of one statement, from 0.
	AttemptID int
	// WorkloadID is the index of a workload among those given to the module at its start.
	WorkloadID int
	// EngineID names an engine for as long as it is listed, across its restarts.
	EngineID string
	// RouterID numbers the routers that share the fleet.
	RouterID int
	// Tenant is the group of clients that a quota is for.
	Tenant string
	// Key names statements that run one at a time, in the order of their arrival. The empty key asks for no order.
	Key string
	// TableGroup is a set of tables that engines load, and keep in memory, together.
	TableGroup int64
	// Zone is where an engine or a router runs.
	Zone string
	// Cell is a set of engines that drop each other's repeats of a statement.
	Cell int64
	// MachineType is the type of machine that an engine runs on.
	MachineType string
)

// Identity says which of the routers that share the fleet this one is.
type Identity struct {
	Seed    uint64 // of all random choices of the instance
	Router  RouterID
	Routers int // that share the fleet
	Zone    Zone
	// ClockGranularity is by how much the host may be late in calling the module.
	ClockGranularity time.Duration
}
