package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

const ms = time.Millisecond

// bed is an instance under test, with settings that a case may change before it opens.
type bed struct {
	t       *testing.T
	me      decision.Identity
	wlms    []decision.Workload
	traits  decision.EngineTraits
	shares  decision.Quotas
	limits  decision.Limits
	rules   decision.Rules
	reports decision.LoadReportSettings
	m       *Module
	out     []decision.Action // of the last call
}

func newBed(t *testing.T) *bed {
	read := decision.Workload{Name: "read", PriorityWeight: 1, LatencyObjective: time.Second, StatementTimeout: 4 * time.Second,
		Threads: 1, WaitsForBulkLoads: true, DedupWindow: time.Second}
	write := decision.Workload{Name: "write", PriorityWeight: 5, LatencyObjective: 3 * time.Second, LateFactor: 0.5,
		StatementTimeout: 20 * time.Second, Threads: 2, Idempotency: decision.NonIdempotent, BulkLoad: true}
	return &bed{t: t, me: decision.Identity{Seed: 1, Routers: 1, Zone: "z1", ClockGranularity: 5 * ms},
		wlms: []decision.Workload{read, write},
		traits: decision.EngineTraits{Machines: map[decision.MachineType]decision.MachineSpec{"k8": {Cores: 8, MemoryMB: 8000},
			"k4": {Cores: 4, MemoryMB: 4000}}},
		limits: decision.Limits{Cancellation: true, MaxAttempts: 4, HealthChecks: true},
		rules: decision.Rules{DrainGrace: time.Second, SlowStartShare: 0.3, SlowStartDuration: 15 * time.Second,
			SlowStartMultiple: 2, SlowStartWindow: 1500 * ms},
		reports: decision.LoadReportSettings{Source: decision.LoadReportsInResponses}}
}

func ready(ids ...decision.EngineID) decision.EndpointList {
	list := decision.EndpointList{Kind: decision.ListComplete}
	for _, id := range ids {
		list.Endpoints = append(list.Endpoints, decision.Endpoint{Engine: id, Zone: "z1", MachineType: "k8"})
	}
	return list
}

// at hands events over and keeps what came back.
func (b *bed) at(now time.Duration, events ...decision.Event) *bed {
	if b.m == nil {
		b.m = New(b.me, b.wlms, b.traits, b.shares, b.limits, b.rules, b.reports)
	}
	b.out = b.m.Handle(now, events)
	return b
}

func read(id decision.StatementID) decision.StatementArrived {
	return decision.StatementArrived{Statement: id, TimeBudget: 4 * time.Second, EstimatedWork: 100 * ms}
}

func write(id decision.StatementID) decision.StatementArrived {
	return decision.StatementArrived{Statement: id, Workload: 1, TimeBudget: 20 * time.Second, EstimatedWork: time.Second}
}

func end(id decision.StatementID, n decision.AttemptID, e decision.EngineID, o decision.Outcome) decision.AttemptEnded {
	return decision.AttemptEnded{Statement: id, Attempt: n, Engine: e, Outcome: o, Finished: o == decision.Completed}
}

func note(id decision.StatementID, e decision.EngineID, n decision.ProgressKind, v float64) decision.AttemptProgress {
	return decision.AttemptProgress{Statement: id, Engine: e, Kind: n, Value: v}
}

// pick returns the actions of one type from the last call.
func pick[A decision.Action](b *bed) (list []A) {
	for _, a := range b.out {
		if a, ok := a.(A); ok {
			list = append(list, a)
		}
	}
	return list
}

// sentTo returns where the last call sent its one execution, or "" if it sent none.
func (b *bed) sentTo() decision.EngineID {
	sent := pick[decision.StartAttempt](b)
	require.LessOrEqual(b.t, len(sent), 1)
	if len(sent) == 0 {
		return ""
	}
	return sent[0].Engine
}
