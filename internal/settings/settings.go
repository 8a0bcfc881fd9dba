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
type Opening struct {
	Identity  decision.Identity
	Workloads []decision.Workload
	Engines   decision.Engines
	Shares    decision.Shares
	Limits    decision.Limits
	Rules     decision.Rules
	Reports   decision.Reports
	Sockets   Sockets
}

// Sockets is what only a router on sockets needs.
type Sockets struct {
	ConnectTimeout time.Duration // a connection that is not up by then counts as refused
	IdleClose      time.Duration // engines close idle connections after this
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
		Name         string          `json:"name"`
		Gain         float64         `json:"gain"`
		LateShare    float64         `json:"lateShare"`
		Objective    micro           `json:"objective"`
		AimStretch   float64         `json:"aimStretch"`
		Deadline     micro           `json:"deadline"`
		Idempotency  string          `json:"idempotency"`
		Group        string          `json:"group"`
		Window       micro           `json:"window"`
		Sequential   bool            `json:"sequential"`
		AreasAllowed []decision.Zone `json:"areasAllowed"`
		AllowedOn    []decision.Kind `json:"allowedOn"`
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
	MachineTypes []decision.Kind `json:"machineTypes"`
	Me           int             `json:"me"`
	Orgs         []struct {
		Name      decision.MemberGroup `json:"name"`
		QuotaPerS float64              `json:"quotaPerS"`
	} `json:"orgs"`
	OverShareWorth float64       `json:"overShareWorth"`
	ReplicasOfMe   int           `json:"replicasOfMe"`
	Tick           micro         `json:"tick"`
	Zone           decision.Zone `json:"zone"`
}

var (
	effects = map[string]decision.Effect{"idempotent": decision.Idempotent,
		"deduplicated": decision.Deduplicated, "at_most_once": decision.NonIdempotent}
	scopes = map[string]decision.Scope{"": decision.ScopeAll, "all": decision.ScopeAll,
		"zone": decision.ScopeZone, "cell": decision.ScopeCell}
	shortages = map[string]decision.Shortage{"": decision.ShortageUnknown, "wait": decision.ShortageWait,
		"shrink": decision.ShortageShrink, "page": decision.ShortagePage}
	paths = map[string]decision.ReportPath{"": decision.ReportsOff, "off": decision.ReportsOff,
		"inline": decision.ReportsInAnswers, "on_probe": decision.ReportsByProbe}
	// Fields maps the words for a load report's fields.
	Fields = map[string]decision.Field{"concurrent": decision.FieldInFlight, "depth": decision.FieldQueue,
		"load_share": decision.FieldUtilisation, "mean_ms": decision.FieldLatencyMS,
		"tps": decision.FieldPerSec, "err_ps": decision.FieldErrorsPerSec,
		"x0": decision.FieldMemory, "x1": decision.FieldDisks}
	// Gauges maps the words for the same in an engine's answers; a router's settings may use either.
	Gauges = map[string]decision.Field{"inflight": decision.FieldInFlight, "queue": decision.FieldQueue,
		"util": decision.FieldUtilisation, "latency_ms": decision.FieldLatencyMS, "qps": decision.FieldPerSec,
		"eps": decision.FieldErrorsPerSec, "x0": decision.FieldMemory, "x1": decision.FieldDisks,
		"concurrent": decision.FieldInFlight, "depth": decision.FieldQueue,
		"load_share": decision.FieldUtilisation, "mean_ms": decision.FieldLatencyMS,
		"tps": decision.FieldPerSec, "err_ps": decision.FieldErrorsPerSec}
	discoveries = map[string]bool{"": false, "pushed": false, "on_request": true}
)

// Word looks up one of the wire's words.
func Word[T any](what, w string, words map[string]T) (T, error) {
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
func Open(seed uint64, raw json.RawMessage) (*Opening, error) {
	var in info
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, fmt.Errorf("info: %w", err)
	}
	o := &Opening{
		Identity: decision.Identity{Seed: seed, Router: decision.RouterID(in.Me),
			Routers: max(1, in.ReplicasOfMe), Zone: in.Zone, Tick: in.Tick.span()},
		Engines: decision.Engines{Machines: map[decision.Kind]decision.Machine{}, Grants: in.Extra.Grants,
			Priorities: in.Extra.Priorities, GrantCap: in.Extra.GrantCap,
			ProgressEvery: in.Extra.TellsEvery.span()},
		Shares: decision.Shares{OverImportance: in.OverShareWorth},
		Limits: decision.Limits{MayCancel: in.Bounds.MayCancel, MayProbe: in.Bounds.MayProbe,
			SecondCopies: in.Bounds.SecondCopies, MaxExecutions: in.Bounds.MaxAttempts,
			MaxOpen: in.Bounds.MaxOpen, ListAskedEvery: in.Guarantees.AskEvery.span()},
		Rules: decision.Rules{DrainGrace: in.Guarantees.DrainGrace.span(), ColdShare: in.Guarantees.ColdShare,
			WarmAfter: in.Guarantees.WarmAfter.span(), ColdMultiple: in.Guarantees.OverloadFactor,
			ColdWindow: in.Guarantees.Fall.span(), KeyRest: in.Guarantees.KeyRest.span(),
			FurtherWindow: in.Guarantees.RatioSpan.span(), FurtherFree: in.Guarantees.BudgetFree,
			FurtherShare: in.Guarantees.BudgetShare},
		Sockets: Sockets{ConnectTimeout: in.Bounds.ConnectTimeout.span(), IdleClose: in.Bounds.IdleClose.span()},
	}
	var err error
	if o.Limits.ListOnRequest, err = Word("discovery", in.Discovery, discoveries); err != nil {
		return nil, err
	}
	if o.Engines.OnShortage, err = Word("onShortage", in.Extra.OnShortage, shortages); err != nil {
		return nil, err
	}
	if o.Reports.Path, err = Word("feedback.via", in.Feedback.Via, paths); err != nil {
		return nil, err
	}
	for _, f := range in.Feedback.Fields {
		field, err := Word("feedback.fields", f, Fields)
		if err != nil {
			return nil, err
		}
		o.Reports.Fields = append(o.Reports.Fields, field)
	}
	if in.Bounds.RetryAfter {
		o.Limits.MaxRetryAdvice = in.Bounds.MaxRetryAfter.span()
	}
	for i, k := range in.MachineTypes {
		o.Engines.Machines[k] = decision.Machine{Cores: at(in.Extra.CPUOfKind, i, 0),
			MemoryMB: at(in.Extra.RAMOfKindMb, i, 0)}
	}
	for _, g := range in.Orgs {
		o.Shares.Groups = append(o.Shares.Groups, decision.Share{Group: g.Name, PerSec: g.QuotaPerS})
	}
	for i, c := range in.Classes {
		w := decision.Workload{Name: c.Name, Importance: c.Gain, LateShare: c.LateShare,
			SLO: c.Objective.span(), SLOStretch: c.AimStretch, StatementTimeout: c.Deadline.span(),
			DedupWindow: c.Window.span(), InOrder: c.Sequential, Zones: c.AreasAllowed, Kinds: c.AllowedOn,
			Threads: at(in.Extra.ThreadsByClass, i, 0), Load: at(in.Extra.WritesTables, i, false),
			WaitsForLoads: at(in.Extra.WaitsForLoads, i, false)}
		if w.Effect, err = Word("classes[].idempotency", c.Idempotency, effects); err != nil {
			return nil, err
		}
		if w.DedupScope, err = Word("classes[].group", c.Group, scopes); err != nil {
			return nil, err
		}
		o.Workloads = append(o.Workloads, w)
	}
	return o, nil
}

// micro is a time on the wire: whole microseconds.
type micro int64

func (m micro) span() time.Duration { return time.Duration(m) * time.Microsecond }
