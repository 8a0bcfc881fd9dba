package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"bankledge/decision"
	"bankledge/internal/jsonerror"
)

// ModuleSettings holds the contents of a settings object: the settings of the decision module and those of connections.
type ModuleSettings struct {
	decision.Settings
	Connections ConnectionSettings
}

// ConnectionSettings holds the settings that only a router with real connections to engines needs.
type ConnectionSettings struct {
	ConnectTimeout time.Duration // a connection that is not established after this time counts as refused
	IdleTimeout    time.Duration // engines close a connection that is idle for this time
}

// ParseModuleSettings parses a settings object and converts it to the types of package decision.
func ParseModuleSettings(seed uint64, raw json.RawMessage) (*ModuleSettings, error) {
	var in info
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, fmt.Errorf("info: %w", jsonerror.WithPublishedNames(err, publishedNames))
	}
	limits, err := in.limits()
	if err != nil {
		return nil, err
	}
	engines, err := in.engineTraits()
	if err != nil {
		return nil, err
	}
	reports, err := in.loadReports()
	if err != nil {
		return nil, err
	}
	workloads, err := in.workloads()
	if err != nil {
		return nil, err
	}
	return &ModuleSettings{
		Settings: decision.Settings{
			Identity:    in.identity(seed),
			Workloads:   workloads,
			Engines:     engines,
			Quotas:      in.quotas(),
			Limits:      limits,
			Rules:       in.rules(),
			LoadReports: reports,
		},
		Connections: ConnectionSettings{
			ConnectTimeout: in.Bounds.ConnectTimeout.Duration(),
			IdleTimeout:    in.Bounds.IdleClose.Duration(),
		},
	}, nil
}

func (in *info) identity(seed uint64) decision.Identity {
	return decision.Identity{
		Seed:             seed,
		Router:           decision.RouterID(in.Me),
		Routers:          max(1, in.ReplicasOfMe),
		Zone:             in.Zone,
		ClockGranularity: in.Tick.Duration(),
	}
}

func (in *info) limits() (decision.Limits, error) {
	poll, err := ParseEnum("discovery", in.Discovery, pollValues)
	if err != nil {
		return decision.Limits{}, err
	}
	limits := decision.Limits{
		Cancellation:         in.Bounds.MayCancel,
		HealthChecks:         in.Bounds.MayProbe,
		Hedging:              in.Bounds.SecondCopies,
		MaxAttempts:          in.Bounds.MaxAttempts,
		MaxOpenStatements:    in.Bounds.MaxOpen,
		PollEndpoints:        poll,
		EndpointPollInterval: in.Guarantees.AskEvery.Duration(),
	}
	if in.Bounds.RetryAfter {
		limits.MaxRetryAfter = in.Bounds.MaxRetryAfter.Duration()
	}
	return limits, nil
}

func (in *info) engineTraits() (decision.EngineTraits, error) {
	overcommit, err := ParseEnum("onShortage", in.Extra.OnShortage, overcommitValues)
	if err != nil {
		return decision.EngineTraits{}, err
	}
	machines := map[decision.MachineType]decision.MachineSpec{}
	for i, machineType := range in.MachineTypes {
		machines[machineType] = decision.MachineSpec{
			Cores:    entryOr(in.Extra.CPUOfKind, i, 0),
			MemoryMB: entryOr(in.Extra.RAMOfKindMb, i, 0),
		}
	}
	return decision.EngineTraits{
		Machines:         machines,
		MemoryGrants:     in.Extra.Grants,
		Priorities:       in.Extra.Priorities,
		MaxGrantShare:    in.Extra.GrantCap,
		OnOvercommit:     overcommit,
		ProgressInterval: in.Extra.TellsEvery.Duration(),
	}, nil
}

func (in *info) loadReports() (decision.LoadReportSettings, error) {
	source, err := ParseEnum("feedback.via", in.Feedback.Via, reportSourceValues)
	if err != nil {
		return decision.LoadReportSettings{}, err
	}
	reports := decision.LoadReportSettings{Source: source}
	for _, value := range in.Feedback.Fields {
		field, err := ParseEnum("feedback.fields", value, ReportFieldNames)
		if err != nil {
			return decision.LoadReportSettings{}, err
		}
		reports.Fields = append(reports.Fields, field)
	}
	return reports, nil
}

func (in *info) workloads() ([]decision.Workload, error) {
	var workloads []decision.Workload
	for i, class := range in.Classes {
		idempotency, err := ParseEnum("classes[].idempotency", class.Idempotency, idempotencyValues)
		if err != nil {
			return nil, err
		}
		scope, err := ParseEnum("classes[].group", class.Group, dedupScopeValues)
		if err != nil {
			return nil, err
		}
		workloads = append(workloads, decision.Workload{
			Name:                class.Name,
			PriorityWeight:      class.Gain,
			LateFactor:          class.LateShare,
			LatencyObjective:    class.Objective.Duration(),
			ObjectiveStretch:    class.AimStretch,
			StatementTimeout:    class.Deadline.Duration(),
			Idempotency:         idempotency,
			DedupScope:          scope,
			DedupWindow:         class.Window.Duration(),
			OrderedByKey:        class.Sequential,
			AllowedZones:        class.AreasAllowed,
			AllowedMachineTypes: class.AllowedOn,
			Threads:             entryOr(in.Extra.ThreadsByClass, i, 0),
			BulkLoad:            entryOr(in.Extra.WritesTables, i, false),
			WaitsForBulkLoads:   entryOr(in.Extra.WaitsForLoads, i, false),
		})
	}
	return workloads, nil
}

func (in *info) quotas() decision.Quotas {
	quotas := decision.Quotas{OverQuotaFactor: in.OverShareWorth}
	for _, org := range in.Orgs {
		quotas.Tenants = append(quotas.Tenants, decision.Quota{Tenant: org.Name, RatePerSecond: org.QuotaPerS})
	}
	return quotas
}

func (in *info) rules() decision.Rules {
	return decision.Rules{
		DrainGrace:        in.Guarantees.DrainGrace.Duration(),
		SlowStartShare:    in.Guarantees.ColdShare,
		SlowStartDuration: in.Guarantees.WarmAfter.Duration(),
		SlowStartMultiple: in.Guarantees.OverloadFactor,
		SlowStartWindow:   in.Guarantees.Fall.Duration(),
		KeyQuietPeriod:    in.Guarantees.KeyRest.Duration(),
		RetryBudgetWindow: in.Guarantees.RatioSpan.Duration(),
		RetryBudgetFree:   in.Guarantees.BudgetFree,
		RetryBudgetShare:  in.Guarantees.BudgetShare,
	}
}

// entryOr returns an entry of a list, or a default value if the list is too short.
func entryOr[T any](list []T, i int, fallback T) T {
	if i < len(list) {
		return list[i]
	}
	return fallback
}
