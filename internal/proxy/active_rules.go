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

// localHealthChecks is the number of health checks per statement in the router's own rules.
const localHealthChecks = 2

const (
	// minPositive replaces 0 where the module would treat 0 as its default or divide by it.
	minPositive = 1e-9

	// noMachineType is a machine type that no machine has.
	noMachineType = decision.MachineType("\x00none")
)

// RulesFromSettings returns the rules of a router's own settings in the form of a configuration version. Fields that the settings
// do not define, such as the number of health checks, have the module's default.
func RulesFromSettings(moduleSettings *settings.ModuleSettings) *rules.Rules {
	settingsRules := moduleSettings.Rules
	localRules := &rules.Rules{
		Routers:                  moduleSettings.Identity.Routers,
		PriorityWeights:          map[string]float64{},
		TenantQuotas:             map[string]float64{},
		OverQuotaFactor:          moduleSettings.Quotas.OverQuotaFactor,
		RetryBudgetShare:         settingsRules.RetryBudgetShare,
		RetryBudgetFree:          settingsRules.RetryBudgetFree,
		RetryBudgetWindowMillis:  settingsRules.RetryBudgetWindow.Milliseconds(),
		HealthChecksPerStatement: localHealthChecks,
		SlowStartShare:           settingsRules.SlowStartShare,
		SlowStartMultiple:        settingsRules.SlowStartMultiple,
		SlowStartDurationMillis:  settingsRules.SlowStartDuration.Milliseconds(),
		DrainGraceMillis:         settingsRules.DrainGrace.Milliseconds(),
		KeyQuietPeriodMillis:     settingsRules.KeyQuietPeriod.Milliseconds(),
		AllowedMachineTypes:      map[string][]string{},
	}
	for _, workload := range moduleSettings.Workloads {
		localRules.PriorityWeights[workload.Name] = workload.PriorityWeight
		localRules.SheddableWorkloads = append(localRules.SheddableWorkloads, workload.Name)
		for _, machineType := range workload.AllowedMachineTypes {
			localRules.AllowedMachineTypes[workload.Name] = append(localRules.AllowedMachineTypes[workload.Name], string(machineType))
		}
	}
	for _, quota := range moduleSettings.Quotas.Tenants {
		localRules.TenantQuotas[string(quota.Tenant)] = quota.RatePerSecond
	}
	if localRules.Validate() != nil { // the settings are not valid as a version
		return mostRestrictiveRules(moduleSettings.Identity.Routers)
	}
	return localRules
}

// mostRestrictiveRules returns valid rules that permit only what every version permits, for this number of routers.
func mostRestrictiveRules(routers int) *rules.Rules {
	restrictive := &rules.Rules{Routers: min(max(1, routers), rules.MaxRouters)}
	if err := restrictive.Validate(); err != nil { // the only field set is within its bounds, so this is a programming error
		panic(err)
	}
	return restrictive
}

// rulesChanged returns the event that passes the active rules to the module. The settings apply where the version sets no value.
func (c *configurationLease) rulesChanged() decision.RulesChanged {
	active := c.activeRules
	changed := decision.RulesChanged{
		EffectiveRouters: 1 / max(minPositive, active.FleetQuota(c.routerName)),
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

// moduleRules returns the rules of the settings, overridden by those of the active version.
func (c *configurationLease) moduleRules() decision.Rules {
	active := c.activeRules
	merged := c.moduleSettings.Rules
	merged.SlowStartShare = active.SlowStartShare
	merged.SlowStartMultiple = active.SlowStartMultiple
	merged.SlowStartDuration = milliseconds(active.SlowStartDurationMillis)
	merged.DrainGrace = milliseconds(active.DrainGraceMillis)
	merged.KeyQuietPeriod = milliseconds(active.KeyQuietPeriodMillis)
	merged.RetryBudgetWindow = milliseconds(active.RetryBudgetWindowMillis)
	merged.RetryBudgetFree = active.RetryBudgetFree
	merged.RetryBudgetShare = active.RetryBudgetShare
	merged.HealthChecksPerStatement = max(active.HealthChecksPerStatement, minPositive)
	if len(active.PlacementExclusions) > 0 {
		merged.PlacementExclusions = excludedEngines(active)
	}
	return merged
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// excludedEngines returns the engines that each table group may not use. It ignores names that are not numbers of table groups.
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
