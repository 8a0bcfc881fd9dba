package policy_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bankledge/decision"
	"bankledge/policy"
)

func (s *generatedSite) addEngine() *generatedEngine {
	s.engineCount++
	kinds := slices.Sorted(maps.Keys(s.moduleSettings.Engines.Machines))
	kind := kinds[s.random.IntN(len(kinds))]
	zone := s.moduleSettings.Identity.Zone
	if s.chance(0.3) {
		zone = "yard"
	}
	engine := &generatedEngine{cores: s.moduleSettings.Engines.Machines[kind].Cores, others: 2, entry: decision.Endpoint{
		Engine: decision.EngineID(fmt.Sprintf("10.0.0.%d:5000", s.engineCount)), Zone: zone, MachineType: kind,
		Cell: decision.Cell(s.engineCount % 2), Weight: 1}}
	if s.now > clockStart {
		engine.entry.StartedAt = s.now
	}
	s.engines[engine.entry.Engine] = engine
	return engine
}

func (s *generatedSite) list(kind decision.ListKind) decision.EndpointList {
	s.listVersion++
	list := decision.EndpointList{Kind: kind, Version: s.listVersion}
	for _, id := range slices.Sorted(maps.Keys(s.engines)) {
		list.Endpoints = append(list.Endpoints, s.engines[id].entry)
	}
	return list
}

// changeList drains and removes, restarts or adds an engine, and sometimes sends a complete list.
func (s *generatedSite) changeList() []decision.Event {
	s.scheduleAcrossRestarts(s.exponential(4*time.Second), s.changeList)
	engine := s.anyEngine()
	switch choice := s.random.IntN(10); {
	case choice < 3 && len(s.engines) > 5:
		engine.entry.State = decision.Draining
		s.scheduleAcrossRestarts(s.between(time.Second, 4*time.Second), func() []decision.Event {
			engine.entry.State = decision.Removed
			delete(s.engines, engine.entry.Engine)
			return s.changed(engine)
		})
	case choice < 6:
		engine.entry.StartedAt = s.now
		engine.fault = healthy
	case len(s.engines) < 11:
		engine = s.addEngine()
	}
	if s.chance(0.3) {
		return []decision.Event{s.list(decision.ListComplete)}
	}
	return s.changed(engine)
}

func (s *generatedSite) changed(engine *generatedEngine) []decision.Event {
	s.listVersion++
	return []decision.Event{decision.EndpointList{
		Kind:      decision.ListPartial,
		Version:   s.listVersion,
		Endpoints: []decision.Endpoint{engine.entry},
	}}
}

func (s *generatedSite) changeFault() []decision.Event {
	s.scheduleAcrossRestarts(s.exponential(1500*ms), s.changeFault)
	engine := s.anyEngine()
	engine.others = s.logUniform(0.1, 2.5) * engine.cores
	engine.fault = healthy
	if s.chance(0.4) {
		engine.fault = fault(s.random.IntN(int(numFaults)))
	}
	return nil
}

// changeRate varies the arrival rate between low load and overload.
func (s *generatedSite) changeRate() []decision.Event {
	s.scheduleAcrossRestarts(s.exponential(6*time.Second), s.changeRate)
	s.rate = s.logUniform(0.2, 3)
	return nil
}

func (s *generatedSite) changeRules() []decision.Event {
	s.scheduleAcrossRestarts(s.exponential(9*time.Second), s.changeRules)
	event := decision.RulesChanged{EffectiveRouters: float64(1 + s.random.IntN(3)), Rules: s.moduleSettings.Rules,
		Quotas: slices.Clone(s.moduleSettings.Quotas.Tenants), OverQuotaFactor: s.logUniform(0.05, 1)}
	for i := range event.Quotas {
		event.Quotas[i].RatePerSecond *= s.logUniform(0.5, 2)
	}
	for _, workload := range s.moduleSettings.Workloads {
		event.Workloads = append(event.Workloads, decision.WorkloadRules{
			PriorityWeight:      workload.PriorityWeight * s.logUniform(0.5, 2),
			AllowedMachineTypes: workload.AllowedMachineTypes,
			Protected:           s.chance(0.1),
		})
	}
	event.Rules.HealthChecksPerStatement = float64(s.random.IntN(3))
	event.Rules.SlowStartMultiple *= s.logUniform(0.5, 2)
	if s.chance(0.3) {
		event.Rules.RetryBudgetWindow = 5 * time.Second
		event.Rules.RetryBudgetFree = 5
		event.Rules.RetryBudgetShare = 0.05
	}
	event.Rules.PlacementExclusions = map[decision.TableGroup][]decision.EngineID{
		decision.TableGroup(s.random.IntN(tableGroups)): {s.anyEngine().entry.Engine}}
	return []decision.Event{event}
}

// stop ends the current instance of the module, mostly by a graceful shutdown, sometimes as if the process were killed.
func (s *generatedSite) stop() []decision.Event {
	s.scheduleAcrossRestarts(s.between(20*time.Second, 50*time.Second), s.stop)
	if s.chance(0.3) {
		s.restart()
		return nil
	}
	s.schedule(stopTime, func() []decision.Event {
		s.restart()
		return nil
	})
	return []decision.Event{decision.ShutdownStarted{GracePeriod: stopTime * 3 / 4}}
}

// restart starts a new instance of the module, which gets the last known endpoint list.
func (s *generatedSite) restart() {
	s.incarnation++
	s.open = map[decision.StatementID]*generatedStatement{}
	s.attempts = map[attemptKey]*generatedAttempt{}
	for _, engine := range s.engines {
		engine.running = 0
	}
	s.module = policy.New(s.moduleSettings.Settings)
	s.schedule(0, func() []decision.Event { return []decision.Event{s.list(decision.ListPersisted)} })
}
