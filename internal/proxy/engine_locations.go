package proxy

import (
	"bankledge/decision"
	"bankledge/internal/invariant"
)

// engineLocations maps the listed engines to the locations where they run, for the invariant checks.
type engineLocations map[decision.EngineID]invariant.Location

// lookUp returns the location of an engine as last listed. For an engine that is not listed only the id is set.
func (e engineLocations) lookUp(engine decision.EngineID) invariant.Location {
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
		e[entry.Engine] = invariant.Location{Engine: entry.Engine, Zone: entry.Zone, MachineType: entry.MachineType, Cell: entry.Cell}
	}
}

// enforceMachineTypes makes the invariant checks use the machine types of the changed rules.
func (l *eventLoop) enforceMachineTypes(changed decision.RulesChanged) {
	for workload, rules := range changed.Workloads {
		l.router.enforcedWorkloads[workload].AllowedMachineTypes = rules.AllowedMachineTypes
	}
}
