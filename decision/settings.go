package decision

import "time"

// Settings is the complete configuration that an instance of the module gets at its start.
type Settings struct {
	Identity    Identity
	Workloads   []Workload // by workload ID
	Engines     EngineTraits
	Quotas      Quotas
	Limits      Limits
	Rules       Rules // at the start; RulesChanged replaces them
	LoadReports LoadReportSettings
}

// MachineSpec is the size of a type of machine.
type MachineSpec struct {
	Cores    float64
	MemoryMB float64
}

// OvercommitPolicy says what an engine does with a statement when the memory grants exceed its memory.
type OvercommitPolicy int

// The policies: unknown, the statement waits, the statement gets a smaller grant, the engine pages to disk.
const (
	OvercommitUnknown OvercommitPolicy = iota
	OvercommitWait
	OvercommitShrink
	OvercommitPage
)

// EngineTraits are the properties that all engines share.
type EngineTraits struct {
	Machines      map[MachineType]MachineSpec
	MemoryGrants  bool    // engines apply the memory grant that the router sets
	Priorities    bool    // engines apply the priority that the router sets
	MaxGrantShare float64 // maximum share of an engine's memory that one statement gets
	OnOvercommit  OvercommitPolicy
	// ProgressInterval is the time between the progress messages of a running attempt; 0: none are sent.
	ProgressInterval time.Duration
}

// Limits are the capabilities and bounds that the deployment imposes on the router.
type Limits struct {
	Cancellation  bool          // attempts may be cancelled
	HealthChecks  bool          // engines may be sent health checks
	Hedging       bool          // a statement may have two attempts in flight
	MaxRetryAfter time.Duration // maximum RetryAfter that clients respect; 0: rejections must not set one

	MaxAttempts         int // for each statement; 0: no limit
	MaxOpenStatements   int // at any time; 0: no limit
	MaxInFlightAttempts int // that the host can have open at any time; 0: no limit
	// MaxSendDelay is the maximum time between the decision to start an attempt and its sending.
	MaxSendDelay time.Duration

	PollEndpoints        bool // changes to the endpoint list have to be fetched
	EndpointPollInterval time.Duration
}

// Rules are the limits on the routers' behaviour that may change while they run.
type Rules struct {
	DrainGrace time.Duration // time for which a draining engine may still be sent statements

	// An engine that has just started has SlowStartShare of its capacity, which grows linearly to its full capacity
	// over SlowStartDuration. During that time all routers together may send it at most SlowStartMultiple of its
	// current capacity in any SlowStartWindow; a zero window disables slow start.
	SlowStartShare    float64
	SlowStartDuration time.Duration
	SlowStartMultiple float64
	SlowStartWindow   time.Duration

	// KeyQuietPeriod is the time for which no statement of a key is sent after an attempt that may still run.
	KeyQuietPeriod time.Duration

	// Additional attempts in any RetryBudgetWindow are limited to RetryBudgetFree, plus RetryBudgetShare of the
	// statements admitted in that window; a zero window disables the limit.
	RetryBudgetWindow time.Duration
	RetryBudgetFree   float64
	RetryBudgetShare  float64

	// HealthChecksPerStatement limits the rate of health checks; 0: the module's default.
	HealthChecksPerStatement float64

	// PlacementExclusions lists the engines that the statements of a table group must not be sent to.
	PlacementExclusions map[TableGroup][]EngineID
}
