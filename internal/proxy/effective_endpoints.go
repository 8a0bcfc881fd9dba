package proxy

import (
	"maps"
	"slices"
	"time"

	"bankledge/decision"
	"bankledge/internal/rules"
)

// endpointView holds an engine's entry as the control feed last listed it, and as it was last published to the module.
type endpointView struct {
	listed       decision.Endpoint
	address      string
	published    decision.Endpoint
	warmingSince time.Duration // since when the active version lists the engine as warming up; 0: it does not
}

// mergeEndpoints records a list of the control feed and returns it combined with the active version: each engine gets the more
// restrictive of its two states.
func (c *configurationLease) mergeEndpoints(now time.Duration, list decision.EndpointList, addresses []string) decision.EndpointList {
	if list.Kind != decision.ListPartial {
		clear(c.endpoints)
	}
	for i, entry := range list.Endpoints {
		if entry.State == decision.Removed {
			delete(c.endpoints, entry.Engine)
			continue
		}
		view := c.endpoints[entry.Engine]
		if view == nil {
			view = &endpointView{}
			c.endpoints[entry.Engine] = view
		}
		view.listed = entry
		view.address = addresses[i]
		view.published = c.effectiveEndpoint(now, view)
		list.Endpoints[i] = view.published
	}
	return list
}

// changedEndpoints returns the entries that differ from those last published because the active rules have changed.
func (c *configurationLease) changedEndpoints(now time.Duration) decision.EndpointList {
	list := decision.EndpointList{Kind: decision.ListPartial}
	for _, engine := range slices.Sorted(maps.Keys(c.endpoints)) {
		view := c.endpoints[engine]
		entry := c.effectiveEndpoint(now, view)
		if entry == view.published {
			continue
		}
		view.published = entry
		list.Endpoints = append(list.Endpoints, entry)
	}
	return list
}

// effectiveEndpoint combines an engine's entry in the control feed with the active version: no attempt starts on an engine that either of them
// excludes. An engine that only the version has removed is drained, since its attempts have not ended yet.
func (c *configurationLease) effectiveEndpoint(now time.Duration, view *endpointView) decision.Endpoint {
	entry := view.listed
	if c.activeRules.Engines == nil {
		view.warmingSince = 0
		return entry
	}
	engine := c.activeRules.Engine(string(entry.Engine))
	if engine.Phase != rules.Active || engine.Address != view.address {
		entry.State = max(entry.State, decision.Draining)
	}
	switch {
	case !engine.WarmingUp:
		view.warmingSince = 0
	case view.warmingSince == 0:
		view.warmingSince = now
	}
	entry.StartedAt = max(entry.StartedAt, view.warmingSince)
	return entry
}
