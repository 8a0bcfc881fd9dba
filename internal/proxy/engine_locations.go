package proxy

import (
	"bankledge/decision"
	"bankledge/internal/invariant"
)

// engineLocations maps the listed engines to the locations where they run, for the invariants.
type engineLocations map[decision.EngineID]invariant.Location

// of returns where an engine runs, as last listed.
func (e engineLocations) of(engine decision.EngineID) invariant.Location {
	if location, listed := e[engine]; listed {
		return location
	}
	return invariant.Location{Engine: engine}
}

func (e engineLocations) update(list decision.EndpointList) {
	if list.Kind == decision.ListComplete || list.Kind == decision.ListPersisted {
		clear(e)
	}
	for _, entry := range list.Endpoints {
		if entry.State == decision.Removed {
			delete(e, entry.Engine)
			continue
		}
		e[entry.Engine] = invariant.Location{Engine: entry.Engine, Zone: entry.Zone, Kind: entry.MachineType, Cell: entry.Cell}
	}
}

// enforceMachineTypes has the invariants check the machine types that take effect now.
func (l *eventLoop) enforceMachineTypes(changed decision.RulesChanged) {
	for workload, rules := range changed.Workloads {
		l.router.enforcedWorkloads[workload].AllowedMachineTypes = rules.AllowedMachineTypes
	}
}
