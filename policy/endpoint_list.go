package policy

import (
	"cmp"
	"slices"
	"time"

	"bankledge/decision"
	"bankledge/internal/detrand"
)

// The delay until the endpoint list is fetched again after a failure; it is random, so that routers do not fetch at
// once.
const (
	minEndpointRetryDelay    = 1.0 // seconds
	endpointRetryDelayJitter = 1.0 // seconds
)

// endpointList is all engines ever listed, by ID, and their order by rendezvous hash.
type endpointList struct {
	all         []*engine // sorted by ID
	maxRankings int       // table groups whose order is cached; 0: any number
	byID        map[decision.EngineID]*engine
	rankings    map[decision.TableGroup][]*engine
}

// find returns the engine of an ID, or nil.
func (l *endpointList) find(id decision.EngineID) *engine { return l.byID[id] }

// add adds an engine.
func (l *endpointList) add(e *engine) {
	if l.byID == nil {
		l.byID = map[decision.EngineID]*engine{}
	}
	l.byID[e.Engine] = e
	i, _ := slices.BinarySearchFunc(l.all, e, func(a, b *engine) int { return cmp.Compare(a.Engine, b.Engine) })
	l.all = slices.Insert(l.all, i, e)
	l.rankings = map[decision.TableGroup][]*engine{}
}

// unlistAll marks all engines as not listed, before a complete list.
func (l *endpointList) unlistAll() {
	for _, e := range l.all {
		e.listed = false
	}
}

// forget drops engines that have been off the list for so long and have no attempt in flight: IDs may be new for ever.
func (l *endpointList) forget(now, after time.Duration) {
	before := len(l.all)
	l.all = slices.DeleteFunc(l.all, func(e *engine) bool {
		if e.listed || len(e.attempts) > 0 {
			e.unlistedSince = now
			return false
		}
		if now < e.unlistedSince+after {
			return false
		}
		delete(l.byID, e.Engine)
		return true
	})
	if len(l.all) < before {
		l.rankings = map[decision.TableGroup][]*engine{}
	}
}

// ranked is the list by rendezvous hash for a table group, the same at every router. Callers must not change it.
func (l *endpointList) ranked(tables decision.TableGroup) []*engine {
	ranked, known := l.rankings[tables]
	if known || len(l.all) == 0 {
		return ranked
	}
	hashes := map[*engine]uint64{}
	for _, e := range l.all {
		hashes[e] = detrand.Hash(string(e.Engine), uint64(tables))
	}
	ranked = slices.SortedFunc(slices.Values(l.all), func(a, b *engine) int {
		return cmp.Compare(hashes[b], hashes[a])
	})
	if l.maxRankings > 0 && len(l.rankings) >= l.maxRankings {
		clear(l.rankings)
	}
	l.rankings[tables] = ranked
	return ranked
}

// finishAttempt ends an attempt; nil where its engine has no such attempt.
func (l *endpointList) finishAttempt(ev decision.AttemptEnded) *attempt {
	e := l.byID[ev.Engine]
	if e == nil {
		return nil
	}
	neverRan := ev.Outcome == decision.Overloaded || ev.Outcome == decision.ConnectFailed || ev.Outcome == decision.NotSent
	return e.finish(ev.Statement, ev.Attempt, neverRan)
}

// isReady reports whether the engine is listed and neither draining nor removed.
func (e *engine) isReady() bool { return e.listed && e.State == decision.Ready }

// updateEndpoints takes a change of the endpoint list, or all of it.
func (m *Module) updateEndpoints(ev decision.EndpointList) {
	if ev.Kind == decision.ListFailed && m.limits.PollEndpoints {
		delay := minEndpointRetryDelay + endpointRetryDelayJitter*m.random.Float64()
		m.timers.Schedule(m.now+duration(delay), m.watchEndpoints)
	}
	if ev.Kind == decision.ListComplete || ev.Kind == decision.ListPersisted {
		m.endpoints.unlistAll()
	}
	for _, endpoint := range ev.Endpoints {
		m.updateEndpoint(endpoint)
	}
	m.maintain()
}

// updateEndpoint takes one engine's entry of the list.
func (m *Module) updateEndpoint(endpoint decision.Endpoint) {
	e := m.endpoints.find(endpoint.Engine)
	switch {
	case e == nil:
		e = newEngine(endpoint, m.traits.Machines[endpoint.MachineType], m.now)
		m.endpoints.add(e)
		e.windows = m.endpoints.firstWindows(e, m.workloads)
	case endpoint.StartedAt > e.StartedAt: // it restarted: its caches are empty
		e.restarted(m.endpoints.firstWindows(e, m.workloads), m.now)
	}
	e.Endpoint = endpoint
	e.listed = endpoint.State != decision.Removed
}

// watchEndpoints requests the endpoint list and its changes.
func (m *Module) watchEndpoints() { m.act(decision.WatchEndpoints{Enabled: true}) }
