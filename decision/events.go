package decision

import "time"

// Event is something that happened, of which the host notifies the module.
type Event interface{ event() }

// EndpointList brings the endpoint list, or changes to it.
type EndpointList struct {
	Kind      ListKind
	Version   int64
	Endpoints []Endpoint
}

// StatementArrived hands over a statement, to which the module owes one final answer: a response that an attempt
// completed with, a Reject or an Abort.
type StatementArrived struct {
	Statement  StatementID
	Workload   WorkloadID // as its client declares
	Tenant     Tenant
	Key        Key
	TimeBudget time.Duration // until its deadline, counted from the call that hands it over
	// EstimatedWork and EstimatedMemoryMB are the client's estimates; 0: there is none.
	EstimatedWork     time.Duration
	EstimatedMemoryMB float64
	TableGroup        TableGroup
	ClientRetry       bool            // its client sent it before
	Writes            bool            // it changes its table group
	Classification    *Classification // nil: it is taken as declared
}

// Classification is what a statement is taken for, whatever its client declares. The rules, the latency objective and
// the quota of the declared workload still apply, but for Writes; the classification decides where the statement
// queues, what it is expected to use and what its answer counts for.
type Classification struct {
	Workload          WorkloadID
	EstimatedWork     time.Duration // 0: the client's estimate stands
	EstimatedMemoryMB float64       // 0: the client's estimate stands
	Writes            bool          // it is non-idempotent, whatever the workload says
	OtherTableGroups  []TableGroup  // that it names beside the one it is placed by
}

// ResponseStarted reports that the response of an attempt has begun to stream to the client. From then on the statement
// cannot be retried.
type ResponseStarted struct {
	Statement StatementID
	Attempt   AttemptID
	Engine    EngineID
	Elapsed   time.Duration // since the attempt was sent
}

// AttemptProgress is an engine's message about a running attempt.
type AttemptProgress struct {
	Statement StatementID
	Attempt   AttemptID
	Engine    EngineID
	Kind      ProgressKind
	Value     float64 // its meaning depends on Kind
}

// ProgressKind is the kind of a progress message. The numbers are those of the engines' protocol.
type ProgressKind int

// The kinds of progress message.
const (
	ProgressShareDone ProgressKind = 1 // Value is the share of the work that is done, from 0 to 1
	ProgressSpilling  ProgressKind = 2 // Value is the memory that is missing, in megabytes
	ProgressWaiting   ProgressKind = 3 // Value says what for: 1 for memory, 2 for a bulk load
)

// WaitingForBulkLoad is the value of a ProgressWaiting message while a bulk load blocks the attempt.
const WaitingForBulkLoad = 2

// AttemptEnded is the one outcome of an attempt.
type AttemptEnded struct {
	Statement StatementID
	Attempt   AttemptID
	Engine    EngineID
	Outcome   Outcome
	Elapsed   time.Duration // since the attempt was sent
	Finished  bool          // the host has answered the statement with this outcome
	Cost      int64         // as the engine has it; nothing is decided by it
	Report    *LoadReport   // nil: none came
}

// ClientCancelled ends a statement without an answer: nobody waits for one.
type ClientCancelled struct{ Statement StatementID }

// ClientReadStateChanged reports that the client of some statements has stopped reading responses, so that a response
// might have to be dropped, or reads again.
type ClientReadStateChanged struct {
	Statements   []StatementID
	Reading      bool
	Disconnected bool // the statements are answered, and nobody waits any more
}

// TimerFired is a timer that SetTimer asked for.
type TimerFired struct{ Token string }

// HealthCheckEnded is the result of a health check.
type HealthCheckEnded struct {
	Engine  EngineID
	Outcome Outcome
	Elapsed time.Duration // since the health check was sent
	Report  *LoadReport   // nil: none came
}

// RulesChanged brings rules that take effect now, in place of those of the start.
type RulesChanged struct {
	// EffectiveRouters is one divided by this router's quota of the fleet's budgets.
	EffectiveRouters float64
	Rules            Rules
	Workloads        []WorkloadRules // by workload ID
	Quotas           []Quota
	OverQuotaFactor  float64
}

// WorkloadRules are the parts of a Workload that may change while routers run; they mean what they mean there.
type WorkloadRules struct {
	PriorityWeight      float64
	AllowedMachineTypes []MachineType
	Protected           bool
}

// ShutdownStarted reports that this instance ends after a grace period: open statements have to be answered by then.
type ShutdownStarted struct{ GracePeriod time.Duration }

// PeerMessage is a message from another router.
type PeerMessage struct {
	From RouterID
	Data []byte
}

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
