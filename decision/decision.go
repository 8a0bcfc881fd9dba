// Package decision is the interface of the decision module: the ids, the settings that an
// instance is handed at its start, the events that it hears of and the actions that it answers
// with. It holds no decision and no tuned value.
package decision

import "time"

// Ids, a type each. Times are spans since the start of the clock that the host keeps.
type (
	StatementID string
	EngineID    string
	Key         string
	TableGroup  int64
	WorkloadID  int // index into the workloads handed over at the start
	Tenant      string
	Zone        string
	MachineType string // kind of machine
	Cell        int64
	AttemptID   int // 0, 1, 2 ... within a statement
	RouterID    int
)

// Identity says who this router is among its equals.
type Identity struct {
	Seed             uint64
	Router           RouterID
	Routers          int // how many routers share the fleet
	Zone             Zone
	ClockGranularity time.Duration // how late a call may come: the host's grain of time
}

// Effect says what a repeat of a statement would do.
type Idempotency int

// The three effects.
const (
	Idempotent Idempotency = iota
	Deduplicated
	NonIdempotent
)

// Scope names the engines that drop a deduplicated statement's repeats.
type DedupScope int

// The scopes.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Workload is what an instance is told of one workload.
type Workload struct {
	Name                string
	PriorityWeight      float64
	LateFactor          float64       // of the importance, for an answer past the SLO time
	LatencyObjective    time.Duration // the SLO time, without its stretch
	ObjectiveStretch    float64       // further SLO time, as a multiple of work ÷ threads
	StatementTimeout    time.Duration
	Idempotency         Idempotency
	DedupScope          DedupScope
	DedupWindow         time.Duration
	OrderedByKey        bool
	AllowedZones        []Zone        // where given, the only zones allowed
	AllowedMachineTypes []MachineType // where given, the only kinds of machine allowed
	Threads             int
	Protected           bool // turned away only when its time is over
	BulkLoad            bool // holds its table group on its engine while it runs
	WaitsForBulkLoads   bool // stands still while a load holds its table group
}

// Machine is what is known of one kind of machine.
type MachineSpec struct {
	Cores    float64
	MemoryMB float64
}

// Shortage says what an engine does when the grants pass its memory.
type OvercommitPolicy int

// The answers to a shortage of memory.
const (
	OvercommitUnknown OvercommitPolicy = iota
	OvercommitWait
	OvercommitShrink
	OvercommitPage
)

// Engines is what all engines have in common.
type EngineTraits struct {
	Machines         map[MachineType]MachineSpec
	MemoryGrants     bool    // a grant named by the router is heeded
	Priorities       bool    // a priority named by the router is heeded
	MaxGrantShare    float64 // share of an engine's memory that one statement gets at most
	OnOvercommit     OvercommitPolicy
	ProgressInterval time.Duration // 0: no notes
}

// Share is a member group's part of the service.
type Quota struct {
	Tenant        Tenant
	RatePerSecond float64 // statements a second within the share, over all routers
}

// Shares holds all member groups.
type Quotas struct {
	Tenants         []Quota
	OverQuotaFactor float64 // of the importance, for what is beyond a share
}

// Limits is what the deployment allows.
type Limits struct {
	Cancellation         bool
	HealthChecks         bool
	Hedging              bool
	MaxRetryAfter        time.Duration // the longest that clients heed, 0: advice is not allowed
	MaxAttempts          int
	MaxOpenStatements    int
	MaxInFlightAttempts  int           // executions that the host can hold at once, 0: any number
	MaxSendDelay         time.Duration // that may pass from the decision to execute until it is sent, at most
	PollEndpoints        bool          // changes to the engine list come only when asked for
	EndpointPollInterval time.Duration
}

// Rules holds the figures of the rules; a zero FurtherWindow or KeyRest asks for nothing.
type Rules struct {
	DrainGrace               time.Duration
	SlowStartShare           float64
	SlowStartDuration        time.Duration
	SlowStartMultiple        float64
	SlowStartWindow          time.Duration
	KeyQuietPeriod           time.Duration
	RetryBudgetWindow        time.Duration
	RetryBudgetFree          float64
	RetryBudgetShare         float64
	HealthChecksPerStatement float64                   // a statement, 0: as the module has it
	PlacementExclusions      map[TableGroup][]EngineID // engines that a table group is not placed on
}

// Field is one figure of a load report.
type LoadReportField int

// The fields of a load report.
const (
	FieldInFlight LoadReportField = iota
	FieldQueueDepth
	FieldUtilisation
	FieldLatencyMS
	FieldThroughput
	FieldErrorRate
	FieldMemory
	FieldDisks
	NumLoadReportFields
)

// ReportPath is how load reports come.
type LoadReportSource int

// The paths of a report.
const (
	LoadReportsOff LoadReportSource = iota
	LoadReportsInResponses
	LoadReportsByHealthCheck
)

// Reports says how load reports come and what they hold.
type LoadReportSettings struct {
	Source LoadReportSource
	Fields []LoadReportField
}

// Report is one load report; a field may be missing.
type LoadReport struct {
	Value [NumLoadReportFields]float64
	Known [NumLoadReportFields]bool
}

// EngineState is an engine's state in a list.
type EngineState int

// The states of an engine.
const (
	Ready EngineState = iota
	Draining
	Removed
)

// Entry is one engine in a list.
type Endpoint struct {
	Engine      EngineID
	Zone        Zone
	MachineType MachineType
	Cell        Cell
	State       EngineState
	Weight      float64
	StartedAt   time.Duration // 0: long ago
}

// Looks is what a statement is held to be, whatever its client declares. Rules, SLO time and share stay those of the
// declared workload, but for Writes; where it waits, what it takes and what its answer counts for act on this.
type Classification struct {
	Workload          WorkloadID    // treated as this workload
	EstimatedWork     time.Duration // on one thread, 0: the estimate stands
	EstimatedMemoryMB float64       // 0: the estimate stands
	Writes            bool          // non-idempotent at least
	OtherTableGroups  []TableGroup  // named beside Tables
}

// Event is something that happened.
type Event interface{ event() }

// ListKind says how a list relates to what the instance holds.
type ListKind int

// The kinds of list.
const (
	ListPartial ListKind = iota
	ListComplete
	ListPersisted // as last seen before a restart, may be stale
	ListFailed
)

// Outcome is how an execution or a probe ended.
type Outcome int

// The outcomes.
const (
	Completed       Outcome = iota
	Errored                 // answered with an error; may have run
	Overloaded              // turned away unseen
	TimedOut                // may have run, may still run
	ConnectFailed           // never ran
	ConnectionReset         // may have run
	Cancelled               // may have run
	NotSent                 // statement over, or no execution left
)

var outcomeNames = [...]string{"completed", "errored", "full", "timed out", "not connected", "reset", "cancelled", "never sent"}

// String is the outcome's name in logs.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "unknown outcome"
	}
	return outcomeNames[o]
}

// The events.
type (
	// EngineList brings changes to the engine list, or all of it.
	EndpointList struct {
		Kind      ListKind
		Version   int64
		Endpoints []Endpoint
	}
	// StatementArrived hands over a statement, which is then owed one final answer.
	StatementArrived struct {
		Statement         StatementID
		Workload          WorkloadID
		Tenant            Tenant
		Key               Key
		TimeBudget        time.Duration // until the client gives up
		EstimatedWork     time.Duration // of the work on one thread, 0: none
		EstimatedMemoryMB float64       // estimate, 0: none
		TableGroup        TableGroup
		ClientRetry       bool
		Writes            bool
		Classification    *Classification // what it is held to be; nil: as declared
	}
	// AnswerStarted tells that an execution's answer began to stream to the client.
	ResponseStarted struct {
		Statement StatementID
		Attempt   AttemptID
		Engine    EngineID
		Elapsed   time.Duration
	}
	// ExecutionNoted is news of a running execution.
	AttemptProgress struct {
		Statement StatementID
		Attempt   AttemptID
		Engine    EngineID
		Kind      ProgressKind
		Value     float64
	}
	// ExecutionEnded is the one outcome of an execution.
	AttemptEnded struct {
		Statement StatementID
		Attempt   AttemptID
		Engine    EngineID
		Outcome   Outcome
		Elapsed   time.Duration
		Finished  bool // the statement is over
		Cost      int64
		Report    *LoadReport
	}
	// ClientLeft ends a statement without an answer.
	ClientCancelled struct{ Statement StatementID }
	// ClientReads tells of statements whose client takes its answers in again, or does not, so that an answer might not be
	// kept for it. Gone: they are answered and nobody waits any more.
	ClientReadStateChanged struct {
		Statements   []StatementID
		Reading      bool
		Disconnected bool
	}
	// TimerFired is a timer set earlier.
	TimerFired struct{ Token string }
	// ProbeEnded is the result of a probe.
	HealthCheckEnded struct {
		Engine  EngineID
		Outcome Outcome
		Elapsed time.Duration
		Report  *LoadReport
	}
	// RulesChanged brings rules that take force now, in place of those of the start. Slices are by workload.
	RulesChanged struct {
		EffectiveRouters    float64 // one over this router's part of the fleet's budgets
		Rules               Rules
		PriorityWeights     []float64
		AllowedMachineTypes [][]MachineType // the only kinds of machine allowed, where given
		Protected           []bool          // turned away only when its time is over
		Quotas              []Quota
		OverQuotaFactor     float64
	}
	// Stopping tells that this instance ends within a time: what is open must be answered by then.
	ShutdownStarted struct{ GracePeriod time.Duration }
	// PeerTold is a message from another router.
	PeerMessage struct {
		From RouterID
		Data []byte
	}
)

// Note is the kind of news of a running execution.
type ProgressKind int

// The notes.
const (
	ProgressShareDone ProgressKind = 1 // share done
	ProgressSpilling  ProgressKind = 2 // MB missing
	ProgressWaiting   ProgressKind = 3 // 1 for memory, 2 for a load
)

// WaitsForLoad is the value of a note of waiting where a load is what holds the statement up.
const WaitingForBulkLoad = 2

func (EndpointList) event()           {}
func (StatementArrived) event()       {}
func (ResponseStarted) event()        {}
func (AttemptProgress) event()        {}
func (AttemptEnded) event()           {}
func (ClientCancelled) event()        {}
func (ClientReadStateChanged) event() {}
func (TimerFired) event()             {}
func (HealthCheckEnded) event()       {}
func (RulesChanged) event()           {}
func (ShutdownStarted) event()        {}
func (PeerMessage) event()            {}

// Reason says why a statement was ended or an execution called off. It is for logs: nothing is decided by it.
type Reason string

// The reasons.
const (
	ReasonDeadline              Reason = "the client's time is nearly up"
	ReasonTooLate               Reason = "no answer that still counts is possible"
	ReasonShutdown              Reason = "the router stops"
	ReasonTooManyOpenStatements Reason = "too many statements are open"
	ReasonNotRetryable          Reason = "the last execution failed and may not be repeated"
	ReasonFinished              Reason = "the statement is over"
	ReasonNoProgress            Reason = "the execution tells nothing"
	ReasonWaitingForBulkLoad    Reason = "the execution waits for a load"
	ReasonSlow                  Reason = "the execution is far slower than expected"
)

// Action is something to be done.
type Action interface{ action() }

// The actions.
type (
	// Execute starts a further execution of a statement.
	StartAttempt struct {
		Statement   StatementID
		Engine      EngineID
		Timeout     time.Duration // 0: until the client gives up
		StartBefore time.Duration // when it has to begin by, on the module's clock; 0: at any time. Later it is never sent
	}
	// Cancel stops waiting for an execution.
	CancelAttempt struct {
		Statement StatementID
		Attempt   AttemptID
		Reason    Reason
	}
	// Reject ends a statement and tells the client that trying again is harmless.
	Reject struct {
		Statement  StatementID
		RetryAfter time.Duration // 0: no advice
		Reason     Reason
	}
	// Abort ends a statement and promises nothing.
	Abort struct {
		Statement StatementID
		Reason    Reason
	}
	// SetTerms names memory and priority of a statement's next executions.
	SetResources struct {
		Statement     StatementID
		MemoryGrantMB int64 // 0: the engine chooses
		Priority      int   // 0 to 3, also for executions that are out
	}
	// Probe asks an engine for a sign of life.
	HealthCheck struct{ Engine EngineID }
	// CloseIdle closes idle connections to an engine.
	CloseIdleConnections struct{ Engine EngineID }
	// SetTimer asks for a TimerFired at a time.
	SetTimer struct {
		Token string
		At    time.Duration
	}
	// FollowList asks for changes to the engine list from now on.
	WatchEndpoints struct{ Enabled bool }
	// FetchList asks once for the complete list.
	FetchEndpoints struct{}
	// TellPeers sends a few bytes to one router, or to all.
	SendToPeers struct {
		All  bool
		To   RouterID
		Data []byte
	}
	// Log records a line for the operators.
	Log struct{ Text string }
	// Crash reports that the module failed.
	Crash struct{ Text string }
)

func (StartAttempt) action()         {}
func (CancelAttempt) action()        {}
func (Reject) action()               {}
func (Abort) action()                {}
func (SetResources) action()         {}
func (HealthCheck) action()          {}
func (CloseIdleConnections) action() {}
func (SetTimer) action()             {}
func (WatchEndpoints) action()       {}
func (FetchEndpoints) action()       {}
func (SendToPeers) action()          {}
func (Log) action()                  {}
func (Crash) action()                {}
