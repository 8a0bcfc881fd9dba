package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

const ms = time.Millisecond

// harness holds a module under test. A test may change the settings before the first call.
type harness struct {
	t        *testing.T
	settings decision.Settings
	module   *Module
	actions  []decision.Action // of the last call
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	read := decision.Workload{
		Name:              "read",
		PriorityWeight:    1,
		LatencyObjective:  time.Second,
		StatementTimeout:  4 * time.Second,
		Threads:           1,
		WaitsForBulkLoads: true,
		DedupWindow:       time.Second,
	}
	write := decision.Workload{
		Name:             "write",
		PriorityWeight:   5,
		LatencyObjective: 3 * time.Second,
		LateFactor:       0.5,
		StatementTimeout: 20 * time.Second,
		Threads:          2,
		Idempotency:      decision.NonIdempotent,
		BulkLoad:         true,
	}
	return &harness{
		t: t,
		settings: decision.Settings{
			Identity:  decision.Identity{Seed: 1, Routers: 1, Zone: "z1", ClockGranularity: 5 * ms},
			Workloads: []decision.Workload{read, write},
			Engines: decision.EngineTraits{Machines: map[decision.MachineType]decision.MachineSpec{
				"k8": {Cores: 8, MemoryMB: 8000},
				"k4": {Cores: 4, MemoryMB: 4000},
			}},
			Limits: decision.Limits{Cancellation: true, MaxAttempts: 4, HealthChecks: true},
			Rules: decision.Rules{DrainGrace: time.Second, SlowStartShare: 0.3, SlowStartDuration: 15 * time.Second,
				SlowStartMultiple: 2, SlowStartWindow: 1500 * ms},
			LoadReports: decision.LoadReportSettings{Source: decision.LoadReportsInResponses},
		},
	}
}

// ready returns a complete endpoint list of engines with eight cores in the module's zone.
func ready(ids ...decision.EngineID) decision.EndpointList {
	list := decision.EndpointList{Kind: decision.ListComplete}
	for _, id := range ids {
		list.Endpoints = append(list.Endpoints, decision.Endpoint{Engine: id, Zone: "z1", MachineType: "k8"})
	}
	return list
}

// at passes events to the module at a time, and stores the returned actions.
func (h *harness) at(now time.Duration, events ...decision.Event) *harness {
	if h.module == nil {
		h.module = New(h.settings)
	}
	h.actions = h.module.Handle(now, events)
	return h
}

// read returns a statement of the first workload: idempotent, 100 ms of work.
func read(id decision.StatementID) decision.StatementArrived {
	return decision.StatementArrived{Statement: id, TimeBudget: 4 * time.Second, EstimatedWork: 100 * ms}
}

// write returns a statement of the second workload: a non-idempotent bulk load, 1 s of work.
func write(id decision.StatementID) decision.StatementArrived {
	return decision.StatementArrived{Statement: id, Workload: 1, TimeBudget: 20 * time.Second, EstimatedWork: time.Second}
}

// end returns the outcome of an attempt. A completed attempt also finishes its statement.
func end(id decision.StatementID, n decision.AttemptID, e decision.EngineID, o decision.Outcome) decision.AttemptEnded {
	return decision.AttemptEnded{Statement: id, Attempt: n, Engine: e, Outcome: o, StatementFinished: o == decision.Completed}
}

// progress returns a progress message of a statement's first attempt.
func progress(
	id decision.StatementID, engine decision.EngineID, kind decision.ProgressKind, value float64,
) decision.AttemptProgress {
	return decision.AttemptProgress{Statement: id, Engine: engine, Kind: kind, Value: value}
}

// pick returns the actions of one type from the last call.
func pick[A decision.Action](h *harness) (list []A) {
	for _, a := range h.actions {
		if a, ok := a.(A); ok {
			list = append(list, a)
		}
	}
	return list
}

// sentTo returns the engine of the only attempt that the last call started, or "" if it started none.
func (h *harness) sentTo() decision.EngineID {
	h.t.Helper()
	sent := pick[decision.StartAttempt](h)
	require.LessOrEqual(h.t, len(sent), 1)
	if len(sent) == 0 {
		return ""
	}
	return sent[0].Engine
}

// heavyWrite returns a write whose work is large relative to its priority weight.
func heavyWrite(id decision.StatementID) decision.StatementArrived {
	arrival := write(id)
	arrival.EstimatedWork = 4 * time.Second
	return arrival
}

// inFlightReport returns a load report with this number of statements in flight.
func inFlightReport(statements float64) *decision.LoadReport {
	return reportOf(decision.FieldInFlight, statements)
}

// reportOf returns a load report with one field.
func reportOf(field decision.LoadReportField, value float64) *decision.LoadReport {
	report := &decision.LoadReport{}
	report.Set(field, value)
	return report
}

// engine returns the module's state of an engine.
func (h *harness) engine(id decision.EngineID) *engine { return h.module.endpoints.find(id) }

// unsent returns a statement of a workload that has not been passed to the module.
func (h *harness) unsent(workload int, tables decision.TableGroup) *statement {
	w := h.module.workloads[workload]
	return &statement{workload: w, classifiedAs: w, tables: tables}
}

// value returns the current weight of a statement's answer per second of its work.
func (h *harness) value(id decision.StatementID) float64 {
	return h.module.priorities.value(h.module.statements[id], h.module.now)
}
