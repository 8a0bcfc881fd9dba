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
	traits  decision.Engines
	shares  decision.Shares
	limits  decision.Limits
	rules   decision.Rules
	reports decision.Reports
	m       *Module
	out     []decision.Action // of the last call
}

func newBed(t *testing.T) *bed {
	read := decision.Workload{Name: "read", Importance: 1, SLO: time.Second, StatementTimeout: 4 * time.Second,
		Threads: 1, WaitsForLoads: true, DedupWindow: time.Second}
	write := decision.Workload{Name: "write", Importance: 5, SLO: 3 * time.Second, LateShare: 0.5,
		StatementTimeout: 20 * time.Second, Threads: 2, Effect: decision.NonIdempotent, Load: true}
	return &bed{t: t, me: decision.Identity{Seed: 1, Routers: 1, Zone: "z1", Tick: 5 * ms},
		wlms: []decision.Workload{read, write},
		traits: decision.Engines{Machines: map[decision.Kind]decision.Machine{"k8": {Cores: 8, MemoryMB: 8000},
			"k4": {Cores: 4, MemoryMB: 4000}}},
		limits: decision.Limits{MayCancel: true, MaxExecutions: 4, MayProbe: true},
		rules: decision.Rules{DrainGrace: time.Second, ColdShare: 0.3, WarmAfter: 15 * time.Second,
			ColdMultiple: 2, ColdWindow: 1500 * ms},
		reports: decision.Reports{Path: decision.ReportsInAnswers}}
}

func ready(ids ...decision.EngineID) decision.EngineList {
	list := decision.EngineList{Kind: decision.ListComplete}
	for _, id := range ids {
		list.Entries = append(list.Entries, decision.Entry{Engine: id, Zone: "z1", Kind: "k8"})
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
	return decision.StatementArrived{Statement: id, TimeBudget: 4 * time.Second, Estimate: 100 * ms}
}

func write(id decision.StatementID) decision.StatementArrived {
	return decision.StatementArrived{Statement: id, Workload: 1, TimeBudget: 20 * time.Second, Estimate: time.Second}
}

func end(id decision.StatementID, n decision.ExecutionID, e decision.EngineID, o decision.Outcome) decision.ExecutionEnded {
	return decision.ExecutionEnded{Statement: id, Execution: n, Engine: e, Outcome: o, Over: o == decision.Completed}
}

func note(id decision.StatementID, e decision.EngineID, n decision.Note, v float64) decision.ExecutionNoted {
	return decision.ExecutionNoted{Statement: id, Engine: e, Note: n, Value: v}
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
	sent := pick[decision.Execute](b)
	require.LessOrEqual(b.t, len(sent), 1)
	if len(sent) == 0 {
		return ""
	}
	return sent[0].Engine
}
