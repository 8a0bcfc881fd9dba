package decision

import "time"

// Settings is all that an instance of the module is given at its start.
type Settings struct {
	Identity    Identity
	Workloads   []Workload // by workload ID
	Engines     EngineTraits
	Quotas      Quotas
	Limits      Limits
	Rules       Rules // at the start; RulesChanged replaces them
	LoadReports LoadReportSettings
}

// MachineSpec is what is known of a type of machine.
type MachineSpec struct {
	Cores    float64
	MemoryMB float64
}

// OvercommitPolicy says what an engine does with a statement when the memory grants exceed its memory.
type OvercommitPolicy int

// The policies: not known, the statement waits, it gets a smaller grant, the engine pages to disk.
const (
	OvercommitUnknown OvercommitPolicy = iota
	OvercommitWait
	OvercommitShrink
	OvercommitPage
)

// EngineTraits is what all engines have in common.
type EngineTraits struct {
	Machines      map[MachineType]MachineSpec
	MemoryGrants  bool    // engines heed the memory grant that the router names
	Priorities    bool    // engines heed the priority that the router names
	MaxGrantShare float64 // of an engine's memory that one statement gets at most
	OnOvercommit  OvercommitPolicy
	// ProgressInterval is the time between the progress messages of a running attempt; 0: there are none.
	ProgressInterval time.Duration
}

// Limits is what the deployment allows.
type Limits struct {
	Cancellation  bool          // attempts may be cancelled
	HealthChecks  bool          // engines may be sent health checks
	Hedging       bool          // a statement may have two attempts in flight
	MaxRetryAfter time.Duration // that clients heed in a rejection; 0: none may be named

	MaxAttempts         int // for each statement, 0: any number
	MaxOpenStatements   int // at once, 0: any number
	MaxInFlightAttempts int // that the host can have open at once, 0: any number
	// MaxSendDelay bounds the time between the decision to start an attempt and its sending.
	MaxSendDelay time.Duration

	PollEndpoints        bool // changes of the endpoint list come only when fetched
	EndpointPollInterval time.Duration
}

// Rules are the limits on the routers' behaviour that may change while they run.
type Rules struct {
	DrainGrace time.Duration // in which a draining engine may still be sent statements

	// An engine that has just started has SlowStartShare of its capacity, which grows evenly to all of it over
	// SlowStartDuration. Meanwhile all routers together send it at most SlowStartMultiple of its present capacity in any
	// SlowStartWindow; a zero window asks for no slow start.
	SlowStartShare    float64
	SlowStartDuration time.Duration
	SlowStartMultiple float64
	SlowStartWindow   time.Duration

	// KeyQuietPeriod is how long a key stays unused after an attempt that may still run.
	KeyQuietPeriod time.Duration

	// Additional attempts in any RetryBudgetWindow are at most RetryBudgetFree, and RetryBudgetShare of the statements
	// admitted in it; a zero window asks for no budget.
	RetryBudgetWindow time.Duration
	RetryBudgetFree   float64
	RetryBudgetShare  float64

	// HealthChecksPerStatement bounds the rate of health checks; 0: the module's own figure.
	HealthChecksPerStatement float64

	// PlacementExclusions names the engines that the statements of a table group must not be sent to.
	PlacementExclusions map[TableGroup][]EngineID
}
