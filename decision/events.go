package decision

import "time"

// Event is an occurrence that the host reports to the module.
type Event interface{ event() }

// EndpointList is the endpoint list, or changes to it.
type EndpointList struct {
	Kind      ListKind
	Version   int64
	Endpoints []Endpoint
}

// StatementArrived reports a new statement. The module must give it exactly one final answer: the response of a
// completed attempt, a Reject or an Abort.
type StatementArrived struct {
	Statement  StatementID
	Workload   WorkloadID // declared by the client
	Tenant     Tenant
	Key        Key
	TimeBudget time.Duration // until the deadline, counted from the call that reports the statement
	// EstimatedWork and EstimatedMemoryMB are the client's estimates; 0: none.
	EstimatedWork     time.Duration
	EstimatedMemoryMB float64
	TableGroup        TableGroup
	ClientRetry       bool            // the client has sent it before
	Writes            bool            // it modifies its table group
	Classification    *Classification // nil: the statement is treated as declared
}

// Classification is the router's own assessment of a statement, independent of what its client declares. The rules, the
// latency objective and the quota of the declared workload still apply, except that Writes makes the statement
// non-idempotent. The classification decides where the statement is queued, what resources it is expected to use and
// which workload its answer counts for.
type Classification struct {
	Workload          WorkloadID
	EstimatedWork     time.Duration // 0: the client's estimate applies
	EstimatedMemoryMB float64       // 0: the client's estimate applies
	Writes            bool          // non-idempotent, regardless of the workload
	OtherTableGroups  []TableGroup  // used in addition to the table group that it is placed by
}

// ResponseStarted reports that the response of an attempt has started to stream to the client. From then on the
// statement cannot be retried.
type ResponseStarted struct {
	Statement StatementID
	Attempt   AttemptID
	Engine    EngineID
	Elapsed   time.Duration // since the attempt was sent
}

// AttemptProgress is a progress message of an engine about a running attempt.
type AttemptProgress struct {
	Statement StatementID
	Attempt   AttemptID
	Engine    EngineID
	Kind      ProgressKind
	Value     float64 // meaning depends on Kind
}

// ProgressKind is the kind of a progress message. The numbers are those of the engine protocol.
type ProgressKind int

// The kinds of progress message.
const (
	ProgressShareDone ProgressKind = 1 // Value is the completed share of the work, from 0 to 1
	ProgressSpilling  ProgressKind = 2 // Value is the missing memory, in megabytes
	ProgressWaiting   ProgressKind = 3 // Value is the cause: 1 for memory, 2 for a bulk load
)

// WaitingForBulkLoad is the Value of a ProgressWaiting message while a bulk load blocks the attempt.
const WaitingForBulkLoad = 2

// AttemptEnded is the outcome of an attempt. Each attempt has exactly one.
type AttemptEnded struct {
	Statement         StatementID
	Attempt           AttemptID
	Engine            EngineID
	Outcome           Outcome
	Elapsed           time.Duration // since the attempt was sent
	StatementFinished bool          // the host has answered the statement with this outcome
	Cost              int64         // as reported by the engine; no decision depends on it
	Report            *LoadReport   // nil: none received
}

// ClientCancelled ends a statement without an answer, since its client no longer waits for one.
type ClientCancelled struct{ Statement StatementID }

// ClientReadStateChanged reports that the client of some statements has stopped reading responses, so that a response
// might have to be dropped, or that it reads again.
type ClientReadStateChanged struct {
	Statements   []StatementID
	Reading      bool
	Disconnected bool // the statements are answered, and no client waits for them any more
}

// TimerFired reports that a timer set by SetTimer has fired.
type TimerFired struct{ Token string }

// HealthCheckEnded is the result of a health check.
type HealthCheckEnded struct {
	Engine  EngineID
	Outcome Outcome
	Elapsed time.Duration // since the health check was sent
	Report  *LoadReport   // nil: none received
}

// RulesChanged replaces the current rules with rules that take effect now.
type RulesChanged struct {
	// EffectiveRouters is the reciprocal of this router's share of the fleet's budgets.
	EffectiveRouters float64
	Rules            Rules
	Workloads        []WorkloadRules // by workload ID
	Quotas           []Quota
	OverQuotaFactor  float64
}

// WorkloadRules are the fields of a Workload that may change while routers run. They have the same meaning there.
type WorkloadRules struct {
	PriorityWeight      float64
	AllowedMachineTypes []MachineType
	Protected           bool
}

// ShutdownStarted reports that this instance ends after a grace period. Open statements have to be answered by then.
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
