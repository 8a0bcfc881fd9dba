package proxy

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"bankledge/decision"
	"bankledge/internal/rules"
	"bankledge/internal/settings"
)

// localHealthChecks is how many health checks the module makes for a request, as a version would have it.
const localHealthChecks = 2

const (
	// leastPositive replaces 0 where the module would take 0 for its default, or divide by it.
	leastPositive = 1e-9

	// noMachineType is a type that no machine has.
	noMachineType = decision.MachineType("\x00none")
)

// RulesFromSettings returns the rules of a router's own settings in the form of a configuration version. What the settings do not
// bound, such as health checks, has the module's default.
func RulesFromSettings(moduleSettings *settings.ModuleSettings) *rules.Rules {
	local := moduleSettings.Rules
	own := &rules.Rules{
		Routers:                  moduleSettings.Identity.Routers,
		PriorityWeights:          map[string]float64{},
		TenantQuotas:             map[string]float64{},
		OverQuotaFactor:          moduleSettings.Quotas.OverQuotaFactor,
		RetryBudgetShare:         local.RetryBudgetShare,
		RetryBudgetFree:          local.RetryBudgetFree,
		RetryBudgetWindowMillis:  local.RetryBudgetWindow.Milliseconds(),
		HealthChecksPerStatement: localHealthChecks,
		SlowStartShare:           local.SlowStartShare,
		SlowStartMultiple:        local.SlowStartMultiple,
		WarmAfterMillis:          local.SlowStartDuration.Milliseconds(),
		DrainGraceMillis:         local.DrainGrace.Milliseconds(),
		KeyQuietPeriodMillis:     local.KeyQuietPeriod.Milliseconds(),
		AllowedMachineTypes:      map[string][]string{},
	}
	for _, workload := range moduleSettings.Workloads {
		own.PriorityWeights[workload.Name] = workload.PriorityWeight
		own.SheddableWorkloads = append(own.SheddableWorkloads, workload.Name)
		for _, machineType := range workload.AllowedMachineTypes {
			own.AllowedMachineTypes[workload.Name] = append(own.AllowedMachineTypes[workload.Name], string(machineType))
		}
	}
	for _, quota := range moduleSettings.Quotas.Tenants {
		own.TenantQuotas[string(quota.Tenant)] = quota.RatePerSecond
	}
	if own.Validate() != nil { // settings that are not valid as a version
		return mostCautiousRules(moduleSettings.Identity.Routers)
	}
	return own
}

// mostCautiousRules returns valid rules that permit nothing but what every version permits, for one of so many routers.
func mostCautiousRules(routers int) *rules.Rules {
	cautious := &rules.Rules{Routers: min(max(1, routers), rules.MaxRouters)}
	if err := cautious.Validate(); err != nil { // its one field is within its bounds, so this is a programming error
		panic(err)
	}
	return cautious
}

// rulesChanged is the event that hands the active rules to the module. The settings apply where the version sets nothing.
func (c *configurationLease) rulesChanged() decision.RulesChanged {
	active := c.activeRules
	changed := decision.RulesChanged{
		EffectiveRouters: 1 / max(leastPositive, active.FleetQuota(c.routerName)),
		Rules:            c.moduleRules(),
		OverQuotaFactor:  active.OverQuotaFactor,
	}
	for _, workload := range c.moduleSettings.Workloads {
		weight, named := active.PriorityWeights[workload.Name]
		if !named {
			weight = workload.PriorityWeight
		}
		changed.Workloads = append(changed.Workloads, decision.WorkloadRules{
			PriorityWeight:      weight,
			AllowedMachineTypes: allowedMachineTypes(active, workload),
			Protected:           !slices.Contains(active.SheddableWorkloads, workload.Name),
		})
	}
	for _, quota := range c.moduleSettings.Quotas.Tenants {
		if rate, named := active.TenantQuotas[string(quota.Tenant)]; named {
			quota.RatePerSecond = rate
		}
		changed.Quotas = append(changed.Quotas, quota)
	}
	return changed
}

// moduleRules returns the settings' rules, overridden by those of the active version.
func (c *configurationLease) moduleRules() decision.Rules {
	active := c.activeRules
	merged := c.moduleSettings.Rules
	merged.SlowStartShare = active.SlowStartShare
	merged.SlowStartMultiple = active.SlowStartMultiple
	merged.SlowStartDuration = milliseconds(active.WarmAfterMillis)
	merged.DrainGrace = milliseconds(active.DrainGraceMillis)
	merged.KeyQuietPeriod = milliseconds(active.KeyQuietPeriodMillis)
	merged.RetryBudgetWindow = milliseconds(active.RetryBudgetWindowMillis)
	merged.RetryBudgetFree = active.RetryBudgetFree
	merged.RetryBudgetShare = active.RetryBudgetShare
	merged.HealthChecksPerStatement = max(active.HealthChecksPerStatement, leastPositive)
	if len(active.PlacementExclusions) > 0 {
		merged.PlacementExclusions = excludedEngines(active)
	}
	return merged
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// excludedEngines returns the engines that each table group may not use. Names that are no table groups are ignored.
func excludedEngines(active *rules.Rules) map[decision.TableGroup][]decision.EngineID {
	excluded := map[decision.TableGroup][]decision.EngineID{}
	for _, name := range slices.Sorted(maps.Keys(active.PlacementExclusions)) {
		number, err := strconv.ParseInt(name, 10, 64)
		if err != nil {
			continue
		}
		group := decision.TableGroup(number)
		for _, engine := range active.PlacementExclusions[name] {
			excluded[group] = append(excluded[group], decision.EngineID(engine))
		}
	}
	return excluded
}

// allowedMachineTypes returns the machine types that both the settings and the version allow for a workload.
func allowedMachineTypes(active *rules.Rules, workload decision.Workload) []decision.MachineType {
	names, bound := active.AllowedMachineTypes[workload.Name]
	if !bound {
		return workload.AllowedMachineTypes
	}
	allowed := []decision.MachineType{noMachineType} // an empty list would allow all
	for _, name := range names {
		machineType := decision.MachineType(name)
		if len(workload.AllowedMachineTypes) == 0 || slices.Contains(workload.AllowedMachineTypes, machineType) {
			allowed = append(allowed, machineType)
		}
	}
	return allowed
}
