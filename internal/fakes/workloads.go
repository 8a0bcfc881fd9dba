package fakes

import (
	"time"

	"bankledge/decision"
)

// Workloads of a mix, as values of decision.WorkloadID.
const (
	Lookup = iota
	Report
	PriceLoad
)

// Workloads returns the workloads of a mix in the form in which a decision module is configured.
func Workloads() []decision.Workload {
	return []decision.Workload{
		{
			Name:              "lookup",
			PriorityWeight:    1,
			LatencyObjective:  800 * time.Millisecond,
			StatementTimeout:  4 * time.Second,
			Threads:           1,
			WaitsForBulkLoads: true,
		},
		{
			Name:             "report",
			PriorityWeight:   7.5,
			LateFactor:       0.3,
			LatencyObjective: 3 * time.Second,
			StatementTimeout: 15 * time.Second,
			Threads:          2,
		},
		{
			Name:             "price-load",
			PriorityWeight:   10,
			LateFactor:       0.6,
			LatencyObjective: 3 * time.Second,
			StatementTimeout: 25 * time.Second,
			Threads:          2,
			Idempotency:      decision.NonIdempotent,
			BulkLoad:         true,
		},
	}
}
