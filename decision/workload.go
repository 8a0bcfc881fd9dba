package decision

import "time"

// Idempotency says what happens when a statement runs more than once.
type Idempotency int

// The kinds of idempotency.
const (
	// Idempotent statements may run any number of times.
	Idempotent Idempotency = iota
	// Deduplicated statements carry an idempotency key: engines within a DedupScope drop repeats for a while.
	Deduplicated
	// NonIdempotent statements must not run twice.
	NonIdempotent
)

// DedupScope says which engines drop the repeats of a deduplicated statement.
type DedupScope int

// The scopes: all engines, those of the first attempt's zone, those of its cell.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Workload is the settings of one workload.
type Workload struct {
	Name string
	// PriorityWeight is what an answer within the latency objective counts, relative to other workloads.
	PriorityWeight float64
	// LateFactor times PriorityWeight is what an answer after the objective counts.
	LateFactor float64
	// LatencyObjective is the time for an answer, to which comes ObjectiveStretch times the statement's expected run
	// time, which is its work divided by Threads.
	LatencyObjective time.Duration
	ObjectiveStretch float64
	// StatementTimeout is the longest that clients wait.
	StatementTimeout time.Duration

	Idempotency Idempotency
	DedupScope  DedupScope
	DedupWindow time.Duration // since the first attempt was sent, in which repeats are dropped

	// OrderedByKey workloads run the statements of one key one at a time, in the order of their arrival.
	OrderedByKey bool
	// AllowedZones and AllowedMachineTypes are the only ones that the workload may run on; none: any.
	AllowedZones        []Zone
	AllowedMachineTypes []MachineType

	Threads int // that a statement uses on its engine
	// Protected statements are rejected only at their deadline.
	Protected bool
	// BulkLoad statements lock their table group on their engine while they run. WaitsForBulkLoads statements that
	// name a locked table group wait at the engine until the lock is released.
	BulkLoad          bool
	WaitsForBulkLoads bool
}

// Quota is the rate of statements that one tenant is entitled to.
type Quota struct {
	Tenant        Tenant
	RatePerSecond float64 // over all routers
}

// Quotas are the quotas of all tenants that have one.
type Quotas struct {
	Tenants []Quota
	// OverQuotaFactor times its priority weight is what the answer to a statement beyond its tenant's quota counts.
	OverQuotaFactor float64
}
