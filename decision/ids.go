package decision

import "time"

// Identifiers. Each has its own type, so that the compiler rejects mixing them up.
type (
	// StatementID is unique among the unfinished statements of one router.
	StatementID string
	// AttemptID numbers the attempts of one statement, from 0.
	AttemptID int
	// WorkloadID is the index of a workload in the settings that the module gets at its start.
	WorkloadID int
	// EngineID identifies an engine for as long as it is listed, also across its restarts.
	EngineID string
	// RouterID numbers the routers that share the fleet.
	RouterID int
	// Tenant is a group of clients that share a quota.
	Tenant string
	// Key identifies statements that run one at a time, in the order of their arrival. Statements with an empty key are
	// not ordered.
	Key string
	// TableGroup is a set of tables that engines load together and keep in memory together.
	TableGroup int64
	// Zone is the availability zone of an engine or a router.
	Zone string
	// Cell is a set of engines that recognize and drop each other's repeats of a statement.
	Cell int64
	// MachineType is the type of machine that an engine runs on.
	MachineType string
)

// Identity identifies this router among those that share the fleet.
type Identity struct {
	Seed    uint64 // of all random choices of the instance
	Router  RouterID
	Routers int // number of routers that share the fleet
	Zone    Zone
	// ClockGranularity is the maximum delay of the host's calls to the module.
	ClockGranularity time.Duration
}
