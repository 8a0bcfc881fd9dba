// Package settings reads what an instance is told at its start: the settings object, which the simulator's
// wire and a router's configuration share, and the configuration around it. It decides nothing.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"bankledge/decision"
)

// Opening is all that an instance is handed at its start, part by part.
type ModuleSettings struct {
	Identity    decision.Identity
	Workloads   []decision.Workload
	Engines     decision.EngineTraits
	Quotas      decision.Quotas
	Limits      decision.Limits
	Rules       decision.Rules
	LoadReports decision.LoadReportSettings
	Connections ConnectionSettings
}

// Sockets is what only a router on sockets needs.
type ConnectionSettings struct {
	ConnectTimeout time.Duration // a connection that is not up by then counts as refused
	IdleTimeout    time.Duration // engines close idle connections after this
}

// info is the settings object; keys that it does not name are skipped.
type info struct {
	Bounds struct {
		MayCancel     bool  `json:"mayCancel"`
		MayProbe      bool  `json:"mayProbe"`
		SecondCopies  bool  `json:"secondCopies"`
		RetryAfter    bool  `json:"retryAfter"`
		MaxRetryAfter micro `json:"maxRetryAfter"`
		MaxAttempts   int   `json:"maxAttempts"`
		MaxOpen       int   `json:"maxOpen"`

		ConnectTimeout micro `json:"connectTimeout"`
		IdleClose      micro `json:"idleClose"`
	} `json:"bounds"`
	Classes []struct {
		Name         string                 `json:"name"`
		Gain         float64                `json:"gain"`
		LateShare    float64                `json:"lateShare"`
		Objective    micro                  `json:"objective"`
		AimStretch   float64                `json:"aimStretch"`
		Deadline     micro                  `json:"deadline"`
		Idempotency  string                 `json:"idempotency"`
		Group        string                 `json:"group"`
		Window       micro                  `json:"window"`
		Sequential   bool                   `json:"sequential"`
		AreasAllowed []decision.Zone        `json:"areasAllowed"`
		AllowedOn    []decision.MachineType `json:"allowedOn"`
	} `json:"classes"`
	Discovery string `json:"discovery"`
	Extra     struct {
		CPUOfKind      []float64 `json:"cpuOfKind"`
		RAMOfKindMb    []float64 `json:"ramOfKindMb"`
		GrantCap       float64   `json:"grantCap"`
		Grants         bool      `json:"grants"`
		OnShortage     string    `json:"onShortage"`
		Priorities     bool      `json:"priorities"`
		TellsEvery     micro     `json:"tellsEvery"`
		ThreadsByClass []int     `json:"threadsByClass"`
		WaitsForLoads  []bool    `json:"waitsForLoads"`
		WritesTables   []bool    `json:"writesTables"`
	} `json:"extra"`
	Feedback struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"feedback"`
	Guarantees struct {
		AskEvery       micro   `json:"askEvery"`
		BudgetFree     float64 `json:"budgetFree"`
		BudgetShare    float64 `json:"budgetShare"`
		RatioSpan      micro   `json:"ratioSpan"`
		ColdShare      float64 `json:"coldShare"`
		WarmAfter      micro   `json:"warmAfter"`
		DrainGrace     micro   `json:"drainGrace"`
		OverloadFactor float64 `json:"overloadFactor"`
		Fall           micro   `json:"fall"`
		KeyRest        micro   `json:"keyRest"`
	} `json:"guarantees"`
	MachineTypes []decision.MachineType `json:"machineTypes"`
	Me           int                    `json:"me"`
	Orgs         []struct {
		Name      decision.Tenant `json:"name"`
		QuotaPerS float64         `json:"quotaPerS"`
	} `json:"orgs"`
	OverShareWorth float64       `json:"overShareWorth"`
	ReplicasOfMe   int           `json:"replicasOfMe"`
	Tick           micro         `json:"tick"`
	Zone           decision.Zone `json:"zone"`
}

var (
	effects = map[string]decision.Idempotency{"idempotent": decision.Idempotent,
		"deduplicated": decision.Deduplicated, "at_most_once": decision.NonIdempotent}
	scopes = map[string]decision.DedupScope{"": decision.ScopeAll, "all": decision.ScopeAll,
		"zone": decision.ScopeZone, "cell": decision.ScopeCell}
	shortages = map[string]decision.OvercommitPolicy{"": decision.OvercommitUnknown, "wait": decision.OvercommitWait,
		"shrink": decision.OvercommitShrink, "page": decision.OvercommitPage}
	paths = map[string]decision.LoadReportSource{"": decision.LoadReportsOff, "off": decision.LoadReportsOff,
		"inline": decision.LoadReportsInResponses, "on_probe": decision.LoadReportsByHealthCheck}
	// Fields maps the words for a load report's fields.
	ReportFieldWords = map[string]decision.LoadReportField{"concurrent": decision.FieldInFlight, "depth": decision.FieldQueueDepth,
		"load_share": decision.FieldUtilisation, "mean_ms": decision.FieldLatencyMS,
		"tps": decision.FieldThroughput, "err_ps": decision.FieldErrorRate,
		"x0": decision.FieldMemory, "x1": decision.FieldDisks}
	// Gauges maps the words for the same in an engine's answers; a router's settings may use either.
	ResponseFieldWords = map[string]decision.LoadReportField{"inflight": decision.FieldInFlight, "queue": decision.FieldQueueDepth,
		"util": decision.FieldUtilisation, "latency_ms": decision.FieldLatencyMS, "qps": decision.FieldThroughput,
		"eps": decision.FieldErrorRate, "x0": decision.FieldMemory, "x1": decision.FieldDisks,
		"concurrent": decision.FieldInFlight, "depth": decision.FieldQueueDepth,
		"load_share": decision.FieldUtilisation, "mean_ms": decision.FieldLatencyMS,
		"tps": decision.FieldThroughput, "err_ps": decision.FieldErrorRate}
	discoveries = map[string]bool{"": false, "pushed": false, "on_request": true}
)

// Word looks up one of the wire's words.
func LookUpWord[T any](what, w string, words map[string]T) (T, error) {
	v, ok := words[w]
	if !ok {
		return v, fmt.Errorf("%s: unknown word %q", what, w)
	}
	return v, nil
}

func at[T any](list []T, i int, otherwise T) T {
	if i < len(list) {
		return list[i]
	}
	return otherwise
}

// Open turns the wire's settings into the module's.
func ParseModuleSettings(seed uint64, raw json.RawMessage) (*ModuleSettings, error) {
	var in info
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, fmt.Errorf("info: %w", err)
	}
	o := &ModuleSettings{
		Identity: decision.Identity{Seed: seed, Router: decision.RouterID(in.Me),
			Routers: max(1, in.ReplicasOfMe), Zone: in.Zone, ClockGranularity: in.Tick.span()},
		Engines: decision.EngineTraits{Machines: map[decision.MachineType]decision.MachineSpec{}, MemoryGrants: in.Extra.Grants,
			Priorities: in.Extra.Priorities, MaxGrantShare: in.Extra.GrantCap,
			ProgressInterval: in.Extra.TellsEvery.span()},
		Quotas: decision.Quotas{OverQuotaFactor: in.OverShareWorth},
		Limits: decision.Limits{Cancellation: in.Bounds.MayCancel, HealthChecks: in.Bounds.MayProbe,
			Hedging: in.Bounds.SecondCopies, MaxAttempts: in.Bounds.MaxAttempts,
			MaxOpenStatements: in.Bounds.MaxOpen, EndpointPollInterval: in.Guarantees.AskEvery.span()},
		Rules: decision.Rules{DrainGrace: in.Guarantees.DrainGrace.span(), SlowStartShare: in.Guarantees.ColdShare,
			SlowStartDuration: in.Guarantees.WarmAfter.span(), SlowStartMultiple: in.Guarantees.OverloadFactor,
			SlowStartWindow: in.Guarantees.Fall.span(), KeyQuietPeriod: in.Guarantees.KeyRest.span(),
			RetryBudgetWindow: in.Guarantees.RatioSpan.span(), RetryBudgetFree: in.Guarantees.BudgetFree,
			RetryBudgetShare: in.Guarantees.BudgetShare},
		Connections: ConnectionSettings{ConnectTimeout: in.Bounds.ConnectTimeout.span(), IdleTimeout: in.Bounds.IdleClose.span()},
	}
	var err error
	if o.Limits.PollEndpoints, err = LookUpWord("discovery", in.Discovery, discoveries); err != nil {
		return nil, err
	}
	if o.Engines.OnOvercommit, err = LookUpWord("onShortage", in.Extra.OnShortage, shortages); err != nil {
		return nil, err
	}
	if o.LoadReports.Source, err = LookUpWord("feedback.via", in.Feedback.Via, paths); err != nil {
		return nil, err
	}
	for _, f := range in.Feedback.Fields {
		field, err := LookUpWord("feedback.fields", f, ReportFieldWords)
		if err != nil {
			return nil, err
		}
		o.LoadReports.Fields = append(o.LoadReports.Fields, field)
	}
	if in.Bounds.RetryAfter {
		o.Limits.MaxRetryAfter = in.Bounds.MaxRetryAfter.span()
	}
	for i, k := range in.MachineTypes {
		o.Engines.Machines[k] = decision.MachineSpec{Cores: at(in.Extra.CPUOfKind, i, 0),
			MemoryMB: at(in.Extra.RAMOfKindMb, i, 0)}
	}
	for _, g := range in.Orgs {
		o.Quotas.Tenants = append(o.Quotas.Tenants, decision.Quota{Tenant: g.Name, RatePerSecond: g.QuotaPerS})
	}
	for i, c := range in.Classes {
		w := decision.Workload{Name: c.Name, PriorityWeight: c.Gain, LateFactor: c.LateShare,
			LatencyObjective: c.Objective.span(), ObjectiveStretch: c.AimStretch, StatementTimeout: c.Deadline.span(),
			DedupWindow: c.Window.span(), OrderedByKey: c.Sequential, AllowedZones: c.AreasAllowed, AllowedMachineTypes: c.AllowedOn,
			Threads: at(in.Extra.ThreadsByClass, i, 0), BulkLoad: at(in.Extra.WritesTables, i, false),
			WaitsForBulkLoads: at(in.Extra.WaitsForLoads, i, false)}
		if w.Idempotency, err = LookUpWord("classes[].idempotency", c.Idempotency, effects); err != nil {
			return nil, err
		}
		if w.DedupScope, err = LookUpWord("classes[].group", c.Group, scopes); err != nil {
			return nil, err
		}
		o.Workloads = append(o.Workloads, w)
	}
	return o, nil
}

// micro is a time on the wire: whole microseconds.
type micro int64

func (m micro) span() time.Duration { return time.Duration(m) * time.Microsecond }
