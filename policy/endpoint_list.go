package policy

import (
	"cmp"
	"slices"
	"time"

	"bankledge/decision"
	"bankledge/internal/detrand"
)

// The bounds of the delay until the endpoint list is fetched again after a failure. The delay is random, so that
// routers do not all fetch at the same time.
const (
	minEndpointRetryDelay    = 1.0 // seconds
	endpointRetryDelayJitter = 1.0 // seconds
)

// endpointList holds the known engines by ID, and caches their rendezvous-hash order by table group.
type endpointList struct {
	all         []*engine // sorted by ID
	maxRankings int       // limit of table groups whose order is cached; 0: none
	byID        map[decision.EngineID]*engine
	rankings    map[decision.TableGroup][]*engine
}

// find returns the engine with an ID, or nil.
func (l *endpointList) find(id decision.EngineID) *engine { return l.byID[id] }

// add adds an engine and clears the cached orders.
func (l *endpointList) add(e *engine) {
	if l.byID == nil {
		l.byID = map[decision.EngineID]*engine{}
	}
	l.byID[e.Engine] = e
	i, _ := slices.BinarySearchFunc(l.all, e, func(a, b *engine) int { return cmp.Compare(a.Engine, b.Engine) })
	l.all = slices.Insert(l.all, i, e)
	l.rankings = map[decision.TableGroup][]*engine{}
}

// unlistAll marks all engines as not listed, before a complete list is applied.
func (l *endpointList) unlistAll() {
	for _, e := range l.all {
		e.listed = false
	}
}

// removeUnlisted removes engines that have not been listed for the given time and have no attempt in flight. Without
// it, memory would grow without bound where each engine that starts has a new ID.
func (l *endpointList) removeUnlisted(now, after time.Duration) {
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

// ranked returns all engines in rendezvous-hash order for a table group, which is the same at every router. Callers
// must not modify the result.
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

// finishAttempt removes an ended attempt from its engine and returns it, or nil if the engine has no such attempt.
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

// updateEndpoints applies a partial or complete endpoint list.
func (m *Module) updateEndpoints(ev decision.EndpointList) {
	if ev.Kind == decision.ListFailed && m.limits.PollEndpoints {
		delay := minEndpointRetryDelay + endpointRetryDelayJitter*m.random.Float64()
		m.timers.Schedule(m.now+secondsToDuration(delay), m.watchEndpoints)
	}
	if ev.Kind == decision.ListComplete || ev.Kind == decision.ListPersisted {
		m.endpoints.unlistAll()
	}
	for _, endpoint := range ev.Endpoints {
		m.updateEndpoint(endpoint)
	}
	m.maintain()
}

// updateEndpoint applies one engine's entry of the list.
func (m *Module) updateEndpoint(endpoint decision.Endpoint) {
	e := m.endpoints.find(endpoint.Engine)
	switch {
	case e == nil:
		e = newEngine(endpoint, m.traits.Machines[endpoint.MachineType], m.now)
		m.endpoints.add(e)
		e.windows = m.endpoints.initialWindows(e, m.workloads)
	case endpoint.StartedAt > e.StartedAt: // the engine restarted, and its caches are empty
		e.resetAfterRestart(m.endpoints.initialWindows(e, m.workloads), m.now)
	}
	e.Endpoint = endpoint
	e.listed = endpoint.State != decision.Removed
}

// watchEndpoints requests the endpoint list and its changes.
func (m *Module) watchEndpoints() { m.emit(decision.WatchEndpoints{Enabled: true}) }
