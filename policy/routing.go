package policy

import (
	"math"
	"slices"

	"bankledge/decision"
	"bankledge/internal/detrand"
)

// Factors of an engine's score. The engine with the lowest score gets the statement.
const (
	localZoneWeight  = 8.0
	remoteZoneWeight = 11.0
	// cachedTablesCost and uncachedTablesCost depend on whether the engine is likely to have the table group in its
	// caches.
	cachedTablesCost   = 1.0
	uncachedTablesCost = 2.0
	// slowStartCost is low because only few statements may go to an engine that is warming up: those that may are sent
	// there.
	slowStartCost = 0.25
	// excludedCost ranks an engine that recently rejected an attempt, or where the statement's last attempt failed,
	// after all others.
	excludedCost = 1e6
	// minFreeShare is the least share of a window that remains, however many statements other routers have in flight
	// there.
	minFreeShare = 0.05
)

const (
	// busyUtilization is the utilization, and the number of statements per core, from which an engine counts as
	// congested.
	busyUtilization = 0.65
	// maxCandidates limits the number of candidate engines of a table group.
	maxCandidates = 32
	// fanOutSlack is the ratio of candidates to a table group's fair share of the engines.
	fanOutSlack = 4.0
	// fanOutSmoothing is added to the statements per engine, and keeps the fan-out low while few statements have been
	// seen.
	fanOutSmoothing = 0.3
)

// selectEngine returns the engine for a statement's next attempt, or nil if the statement has to wait.
func (m *Module) selectEngine(s *statement) *engine {
	available := m.availableEngines(s)
	if len(available) == 0 {
		return nil
	}
	engines := m.enginesToScore(s, available)
	if len(engines) == 0 {
		return nil
	}
	return m.lowestScore(s, engines)
}

// availableEngines returns the healthy engines that the rules allow, in rendezvous-hash order. No other engine is
// scored.
func (m *Module) availableEngines(s *statement) []*engine {
	available := make([]*engine, 0, len(m.endpoints.all))
	for _, e := range m.endpoints.ranked(s.tables) {
		if m.mayStart(s, e) && m.isHealthy(e, s) {
			available = append(available, e)
		}
	}
	return available
}

// enginesToScore returns the statement's candidates or, if all of these are congested, all available engines. Where
// load reports come only by health check, it returns those whose report is fresh.
func (m *Module) enginesToScore(s *statement, available []*engine) []*engine {
	engines := m.candidates(s, available)
	width := healthCheckWidth
	isFree := func(e *engine) bool { return !m.isCongested(e, s.classifiedAs) }
	if !slices.ContainsFunc(engines, isFree) {
		width = maxHealthCheckWidth
		engines = available
		if s.classifiedAs.BulkLoad { // in reversed order the last engine stays free for reads of the group
			engines = available[:max(1, len(available)-1)]
		}
	}
	if m.healthChecks.enabled {
		return m.enginesWithFreshReport(s, engines, width)
	}
	return engines
}

// lowestScore returns the engine with the lowest score that has capacity, or nil. Each router begins at a different
// engine, so that routers spread over engines with equal scores.
func (m *Module) lowestScore(s *statement, engines []*engine) *engine {
	var best *engine
	lowest := math.Inf(1)
	first := m.rotation(s, len(engines))
	for i := range engines {
		e := engines[(i+first)%len(engines)]
		score := m.score(e, s)
		if score < lowest && m.hasCapacity(e, s) {
			best = e
			lowest = score
		}
	}
	return best
}

// score returns zone weight × (own in flight + 1) ÷ window × cache cost × slowdown. In flight counts the threads of all
// workloads, divided by the threads of this workload's statements, since workloads share the cores. Statements of other
// routers reduce the window.
func (m *Module) score(e *engine, s *statement) float64 {
	zone := remoteZoneWeight
	if e.Zone == m.identity.Zone {
		zone = localZoneWeight
	}
	window := e.window(s.classifiedAs)
	cost := m.cacheCost(e, s)
	if window.excluded || e == s.avoid {
		cost *= excludedCost
	}
	inFlight := float64(e.threads) / float64(s.classifiedAs.Threads)
	free := max(minFreeShare, 1-m.peerStatementsOn(e)/m.maxStatementsOn(e))
	return zone * (inFlight + 1) / (window.size * free) * cost * max(1, e.slowdown)
}

// cacheCost returns the factor for the contents of the engine's caches.
func (m *Module) cacheCost(e *engine, s *statement) float64 {
	if m.slowStart.isWarmingUp(e, m.now) {
		return slowStartCost
	}
	if e.servedRecently(s.tables) {
		return cachedTablesCost
	}
	return uncachedTablesCost
}

// candidates returns the engines that a statement's table group is spread over: engines with the group in their caches
// first, then those of the local zone, each in rendezvous-hash order. A bulk load would block the reads of its table
// group, and wait for other loads of it. It therefore gets the last half of the hash order, where the group is read
// least, and available is reversed in place.
func (m *Module) candidates(s *statement, available []*engine) []*engine {
	if s.classifiedAs.BulkLoad {
		slices.Reverse(available)
		return available[:(len(available)+1)/2]
	}
	cached := 0
	local := make([]*engine, 0, len(available))
	var remote []*engine
	for _, e := range available {
		switch {
		case e.servedRecently(s.tables) || m.slowStart.isWarmingUp(e, m.now):
			local = slices.Insert(local, cached, e)
			cached++
		case e.Zone == m.identity.Zone:
			local = append(local, e)
		default:
			remote = append(remote, e)
		}
	}
	count := max(1, cached, m.fanOut(s.tables, len(available)))
	return append(local, remote...)[:min(count, maxCandidates, len(available))]
}

// fanOut returns the number of candidates for a table group's share of the traffic.
func (m *Module) fanOut(tables decision.TableGroup, engines int) int {
	step := (m.affinity.total/float64(engines) + fanOutSmoothing) / fanOutSlack
	return int(m.affinity.decayedCount(tables)/step) + 1
}

// rotation returns the index at which this router begins in a list of equal engines, so that routers spread over them.
func (m *Module) rotation(s *statement, engines int) int {
	return int(detrand.Hash("", uint64(s.tables), uint64(m.identity.Router)) % uint64(engines))
}

// isCongested reports whether the engine is full for this router, or is reported as busy.
func (m *Module) isCongested(e *engine, w *workload) bool {
	window := e.window(w)
	switch {
	case float64(window.inFlight) >= window.size, window.excluded, e.slowdown > slowAttemptFactor:
		return true
	case m.healthChecks.enabled && e.queueDepth >= 1:
		return true
	case e.utilizationKnown && e.utilization > busyUtilization:
		return true
	}
	return m.peerStatementsOn(e)+float64(len(e.attempts)) >= busyUtilization*e.cores*m.slowStart.capacityShare(e, m.now)
}
