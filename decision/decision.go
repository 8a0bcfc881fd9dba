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
	MemberGroup string
	Zone        string
	Kind        string // kind of machine
	Cell        int64
	ExecutionID int // 0, 1, 2 ... within a statement
	RouterID    int
)

// Identity says who this router is among its equals.
type Identity struct {
	Seed    uint64
	Router  RouterID
	Routers int // how many routers share the fleet
	Zone    Zone
	Tick    time.Duration // how late a call may come: the host's grain of time
}

// Effect says what a repeat of a statement would do.
type Effect int

// The three effects.
const (
	Idempotent Effect = iota
	Deduplicated
	NonIdempotent
)

// Scope names the engines that drop a deduplicated statement's repeats.
type Scope int

// The scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Workload is what an instance is told of one workload.
type Workload struct {
	Name             string
	Importance       float64
	LateShare        float64       // of the importance, for an answer past the SLO time
	SLO              time.Duration // the SLO time, without its stretch
	SLOStretch       float64       // further SLO time, as a multiple of work ÷ threads
	StatementTimeout time.Duration
	Effect           Effect
	DedupScope       Scope
	DedupWindow      time.Duration
	InOrder          bool
	Zones            []Zone // where given, the only zones allowed
	Kinds            []Kind // where given, the only kinds of machine allowed
	Threads          int
	Protected        bool // turned away only when its time is over
	Load             bool // holds its table group on its engine while it runs
	WaitsForLoads    bool // stands still while a load holds its table group
}

// Machine is what is known of one kind of machine.
type Machine struct {
	Cores    float64
	MemoryMB float64
}

// Shortage says what an engine does when the grants pass its memory.
type Shortage int

// The answers to a shortage of memory.
const (
	ShortageUnknown Shortage = iota
	ShortageWait
	ShortageShrink
	ShortagePage
)

// Engines is what all engines have in common.
type Engines struct {
	Machines      map[Kind]Machine
	Grants        bool    // a grant named by the router is heeded
	Priorities    bool    // a priority named by the router is heeded
	GrantCap      float64 // share of an engine's memory that one statement gets at most
	OnShortage    Shortage
	ProgressEvery time.Duration // 0: no notes
}

// Share is a member group's part of the service.
type Share struct {
	Group  MemberGroup
	PerSec float64 // statements a second within the share, over all routers
}

// Shares holds all member groups.
type Shares struct {
	Groups         []Share
	OverImportance float64 // of the importance, for what is beyond a share
}

// Limits is what the deployment allows.
type Limits struct {
	MayCancel      bool
	MayProbe       bool
	SecondCopies   bool
	MaxRetryAdvice time.Duration // the longest that clients heed, 0: advice is not allowed
	MaxExecutions  int
	MaxOpen        int
	MaxOut         int           // executions that the host can hold at once, 0: any number
	SendLag        time.Duration // that may pass from the decision to execute until it is sent, at most
	ListOnRequest  bool          // changes to the engine list come only when asked for
	ListAskedEvery time.Duration
}

// Rules holds the figures of the rules; a zero FurtherWindow or KeyRest asks for nothing.
type Rules struct {
	DrainGrace    time.Duration
	ColdShare     float64
	WarmAfter     time.Duration
	ColdMultiple  float64
	ColdWindow    time.Duration
	KeyRest       time.Duration
	FurtherWindow time.Duration
	FurtherFree   float64
	FurtherShare  float64
	Probes        float64                   // a statement, 0: as the module has it
	KeptOff       map[TableGroup][]EngineID // engines that a table group is not placed on
}

// Field is one figure of a load report.
type Field int

// The fields of a load report.
const (
	FieldInFlight Field = iota
	FieldQueue
	FieldUtilisation
	FieldLatencyMS
	FieldPerSec
	FieldErrorsPerSec
	FieldMemory
	FieldDisks
	NumFields
)

// ReportPath is how load reports come.
type ReportPath int

// The paths of a report.
const (
	ReportsOff ReportPath = iota
	ReportsInAnswers
	ReportsByProbe
)

// Reports says how load reports come and what they hold.
type Reports struct {
	Path   ReportPath
	Fields []Field
}

// Report is one load report; a field may be missing.
type Report struct {
	Value [NumFields]float64
	Known [NumFields]bool
}

// EngineState is an engine's state in a list.
type EngineState int

// The states of an engine.
const (
	Ready EngineState = iota
	Draining
	Gone
)

// Entry is one engine in a list.
type Entry struct {
	Engine    EngineID
	Zone      Zone
	Kind      Kind
	Cell      Cell
	State     EngineState
	Weight    float64
	StartedAt time.Duration // 0: long ago
}

// Looks is what a statement is held to be, whatever its client declares. Rules, SLO time and share stay those of the
// declared workload, but for Writes; where it waits, what it takes and what its answer counts for act on this.
type Looks struct {
	As     WorkloadID    // treated as this workload
	Work   time.Duration // on one thread, 0: the estimate stands
	NeedMB float64       // 0: the estimate stands
	Writes bool          // non-idempotent at least
	Others []TableGroup  // named beside Tables
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
	Completed    Outcome = iota
	Errored              // answered with an error; may have run
	Full                 // turned away unseen
	TimedOut             // may have run, may still run
	NotConnected         // never ran
	Reset                // may have run
	Cancelled            // may have run
	NeverSent            // statement over, or no execution left
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
	EngineList struct {
		Kind    ListKind
		Version int64
		Entries []Entry
	}
	// StatementArrived hands over a statement, which is then owed one final answer.
	StatementArrived struct {
		Statement  StatementID
		Workload   WorkloadID
		Group      MemberGroup
		Key        Key
		TimeBudget time.Duration // until the client gives up
		Estimate   time.Duration // of the work on one thread, 0: none
		NeedMB     float64       // estimate, 0: none
		Tables     TableGroup
		Resent     bool
		Write      bool
		Looks      *Looks // what it is held to be; nil: as declared
	}
	// AnswerStarted tells that an execution's answer began to stream to the client.
	AnswerStarted struct {
		Statement StatementID
		Execution ExecutionID
		Engine    EngineID
		Took      time.Duration
	}
	// ExecutionNoted is news of a running execution.
	ExecutionNoted struct {
		Statement StatementID
		Execution ExecutionID
		Engine    EngineID
		Note      Note
		Value     float64
	}
	// ExecutionEnded is the one outcome of an execution.
	ExecutionEnded struct {
		Statement StatementID
		Execution ExecutionID
		Engine    EngineID
		Outcome   Outcome
		Took      time.Duration
		Over      bool // the statement is over
		Cost      int64
		Report    *Report
	}
	// ClientLeft ends a statement without an answer.
	ClientLeft struct{ Statement StatementID }
	// ClientReads tells of statements whose client takes its answers in again, or does not, so that an answer might not be
	// kept for it. Gone: they are answered and nobody waits any more.
	ClientReads struct {
		Statements []StatementID
		Reads      bool
		Gone       bool
	}
	// TimerFired is a timer set earlier.
	TimerFired struct{ Token string }
	// ProbeEnded is the result of a probe.
	ProbeEnded struct {
		Engine  EngineID
		Outcome Outcome
		Took    time.Duration
		Report  *Report
	}
	// RulesChanged brings rules that take force now, in place of those of the start. Slices are by workload.
	RulesChanged struct {
		Routers        float64 // one over this router's part of the fleet's budgets
		Rules          Rules
		Importance     []float64
		Kinds          [][]Kind // the only kinds of machine allowed, where given
		Protected      []bool   // turned away only when its time is over
		Shares         []Share
		OverImportance float64
	}
	// Stopping tells that this instance ends within a time: what is open must be answered by then.
	Stopping struct{ Within time.Duration }
	// PeerTold is a message from another router.
	PeerTold struct {
		From RouterID
		Data []byte
	}
)

// Note is the kind of news of a running execution.
type Note int

// The notes.
const (
	NoteProgress Note = 1 // share done
	NoteSpills   Note = 2 // MB missing
	NoteWaits    Note = 3 // 1 for memory, 2 for a load
)

// WaitsForLoad is the value of a note of waiting where a load is what holds the statement up.
const WaitsForLoad = 2

func (EngineList) event()       {}
func (StatementArrived) event() {}
func (AnswerStarted) event()    {}
func (ExecutionNoted) event()   {}
func (ExecutionEnded) event()   {}
func (ClientLeft) event()       {}
func (ClientReads) event()      {}
func (TimerFired) event()       {}
func (ProbeEnded) event()       {}
func (RulesChanged) event()     {}
func (Stopping) event()         {}
func (PeerTold) event()         {}

// Reason says why a statement was ended or an execution called off. It is for logs: nothing is decided by it.
type Reason string

// The reasons.
const (
	ReasonTimeUp      Reason = "the client's time is nearly up"
	ReasonLate        Reason = "no answer that still counts is possible"
	ReasonStopping    Reason = "the router stops"
	ReasonTooManyOpen Reason = "too many statements are open"
	ReasonNoRepeat    Reason = "the last execution failed and may not be repeated"
	ReasonOver        Reason = "the statement is over"
	ReasonSilent      Reason = "the execution tells nothing"
	ReasonWaits       Reason = "the execution waits for a load"
	ReasonSlow        Reason = "the execution is far slower than expected"
)

// Action is something to be done.
type Action interface{ action() }

// The actions.
type (
	// Execute starts a further execution of a statement.
	Execute struct {
		Statement StatementID
		Engine    EngineID
		Timeout   time.Duration // 0: until the client gives up
		Before    time.Duration // when it has to begin by, on the module's clock; 0: at any time. Later it is never sent
	}
	// Cancel stops waiting for an execution.
	Cancel struct {
		Statement StatementID
		Execution ExecutionID
		Why       Reason
	}
	// Reject ends a statement and tells the client that trying again is harmless.
	Reject struct {
		Statement StatementID
		RetryIn   time.Duration // 0: no advice
		Why       Reason
	}
	// Abort ends a statement and promises nothing.
	Abort struct {
		Statement StatementID
		Why       Reason
	}
	// SetTerms names memory and priority of a statement's next executions.
	SetTerms struct {
		Statement StatementID
		GrantMB   int64 // 0: the engine chooses
		Priority  int   // 0 to 3, also for executions that are out
	}
	// Probe asks an engine for a sign of life.
	Probe struct{ Engine EngineID }
	// CloseIdle closes idle connections to an engine.
	CloseIdle struct{ Engine EngineID }
	// SetTimer asks for a TimerFired at a time.
	SetTimer struct {
		Token string
		At    time.Duration
	}
	// FollowList asks for changes to the engine list from now on.
	FollowList struct{ On bool }
	// FetchList asks once for the complete list.
	FetchList struct{}
	// TellPeers sends a few bytes to one router, or to all.
	TellPeers struct {
		All  bool
		To   RouterID
		Data []byte
	}
	// Log records a line for the operators.
	Log struct{ Text string }
	// Crash reports that the module failed.
	Crash struct{ Text string }
)

func (Execute) action()    {}
func (Cancel) action()     {}
func (Reject) action()     {}
func (Abort) action()      {}
func (SetTerms) action()   {}
func (Probe) action()      {}
func (CloseIdle) action()  {}
func (SetTimer) action()   {}
func (FollowList) action() {}
func (FetchList) action()  {}
func (TellPeers) action()  {}
func (Log) action()        {}
func (Crash) action()      {}
