package decision

import "time"

// Idempotency says what happens if a statement runs more than once.
type Idempotency int

// The kinds of idempotency.
const (
	// Idempotent statements may run any number of times.
	Idempotent Idempotency = iota
	// Deduplicated statements carry an idempotency key: engines within a DedupScope drop repeats during a DedupWindow.
	Deduplicated
	// NonIdempotent statements must not run twice.
	NonIdempotent
)

// DedupScope says which engines drop repeats of a deduplicated statement.
type DedupScope int

// The scopes: all engines, or those in the zone or cell of the first attempt.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Workload holds the settings of one workload.
type Workload struct {
	Name string
	// PriorityWeight is the weight of an answer within the latency objective, relative to other workloads.
	PriorityWeight float64
	// LateFactor times PriorityWeight is the weight of an answer after the objective.
	LateFactor float64
	// LatencyObjective is the target time for an answer. ObjectiveStretch times the statement's expected run time,
	// which is its work divided by Threads, is added to it.
	LatencyObjective time.Duration
	ObjectiveStretch float64
	// StatementTimeout is the longest time that clients wait.
	StatementTimeout time.Duration

	Idempotency Idempotency
	DedupScope  DedupScope
	DedupWindow time.Duration // time after the first attempt was sent in which repeats are dropped

	// OrderedByKey workloads run the statements of one key one at a time, in the order of their arrival.
	OrderedByKey bool
	// AllowedZones and AllowedMachineTypes restrict where the workload may run; an empty list allows all.
	AllowedZones        []Zone
	AllowedMachineTypes []MachineType

	Threads int // used by a statement on its engine
	// Protected statements are only rejected at their deadline.
	Protected bool
	// BulkLoad statements lock their table group on their engine while they run. WaitsForBulkLoads statements that use
	// a locked table group wait on the engine until the lock is released.
	BulkLoad          bool
	WaitsForBulkLoads bool
}

// Quota is the rate of statements that a tenant is entitled to.
type Quota struct {
	Tenant        Tenant
	RatePerSecond float64 // across all routers
}

// Quotas holds the quotas of all tenants that have one.
type Quotas struct {
	Tenants []Quota
	// OverQuotaFactor times its priority weight is the weight of the answer to a statement beyond its tenant's quota.
	OverQuotaFactor float64
}
