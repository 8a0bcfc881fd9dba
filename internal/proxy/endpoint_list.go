package proxy

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/discovery"
	"bankledge/internal/logevent"
)

// reachabilityRetryInterval is the time between two rounds of connection attempts while the router is not ready.
const reachabilityRetryInterval = 100 * time.Millisecond

// endpointListReceived is a change of the endpoint list, for the event loop.
type endpointListReceived struct {
	list      decision.EndpointList
	addresses []string // of the entries, in the same order
}

func (m endpointListReceived) apply(l *eventLoop, now time.Duration) decision.Event {
	l.locations.update(m.list)
	if l.lease != nil {
		return l.lease.mergeEndpoints(now, m.list, m.addresses)
	}
	return m.list
}

// applyKnownEvents passes the known events of the configuration to the module and returns how many endpoints they list.
func (r *Router) applyKnownEvents() (endpoints int, err error) {
	last, err := r.discovery.ApplyKnownEvents(r.config.KnownEvents, func(change discovery.WatchEvent) {
		r.applyWatchEvent(change, decision.ListPersisted)
		endpoints += len(change.Endpoints)
	})
	r.config.LastEventID = max(r.config.LastEventID, last)
	return endpoints, err
}

// receiveWatchEvent handles an event of the control feed.
func (r *Router) receiveWatchEvent(change discovery.WatchEvent) {
	r.log.Info(logevent.EndpointListChanged, zap.Int64("number", change.Number), zap.Any("endpoints", change.Endpoints))
	r.applyWatchEvent(change, decision.ListComplete)
}

// applyWatchEvent publishes a change to package upstream and to the module. It adds usable engines to package upstream before the module
// receives them, since the module may start attempts at once. It removes or drains unusable engines after the module has received the
// change, so that the module knows the reason when an attempt ends as not sent.
func (r *Router) applyWatchEvent(change discovery.WatchEvent, completeKind decision.ListKind) {
	list := decision.EndpointList{Kind: decision.ListPartial, Version: change.Revision}
	if change.Complete {
		list.Kind = completeKind
	}
	listed := map[decision.EngineID]bool{}
	var addresses []string
	for _, endpoint := range change.Endpoints {
		listed[endpoint.Engine] = endpoint.State != decision.Removed
		list.Endpoints = append(list.Endpoints, endpoint.Endpoint)
		addresses = append(addresses, endpoint.Address)
	}
	for _, endpoint := range change.Endpoints {
		if listed[endpoint.Engine] {
			r.upstream.UpdateEngine(endpoint.Engine, endpoint.Address, endpoint.State == decision.Ready)
		}
	}
	r.loop.post(input{message: endpointListReceived{list: list, addresses: addresses}})
	for _, endpoint := range change.Endpoints {
		switch {
		case !listed[endpoint.Engine]:
			r.upstream.RemoveEngine(endpoint.Engine)
		case endpoint.State != decision.Ready:
			r.upstream.DrainEngine(endpoint.Engine)
		}
	}
	if change.Complete {
		r.upstream.RetainEngines(listed)
	}
}

// awaitReachableEngine marks the router ready once one engine has accepted a connection. It does not connect to all engines, since
// engines would then have to accept many connections that are not needed yet from every starting router.
func (r *Router) awaitReachableEngine(ctx context.Context) error {
	for !r.reachable.Load() && ctx.Err() == nil {
		if r.connectAnyEngine(ctx) {
			r.reachable.Store(true)
		}
		select {
		case <-time.After(reachabilityRetryInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

// connectAnyEngine tries to connect to each engine listed now, once, until one accepts. The first engine depends on the seed, so that
// routers that start together begin with different engines.
func (r *Router) connectAnyEngine(ctx context.Context) bool {
	engines := r.upstream.Engines()
	for i := range engines {
		first := int(r.config.Seed % uint64(len(engines)))
		engine := engines[(i+first)%len(engines)]
		if r.upstream.Preconnect(ctx, engine) == nil {
			return true
		}
	}
	return false
}
