package policy

import (
	"math"
	"slices"

	"bankledge/decision"
	"bankledge/internal/detrand"
)

// Factors of an engine's score; the lowest score takes the statement.
const (
	localZoneWeight  = 8.0
	remoteZoneWeight = 11.0
	// cachedTablesCost and uncachedTablesCost: whether the engine is likely to have the table group in its caches.
	cachedTablesCost   = 1.0
	uncachedTablesCost = 2.0
	// slowStartCost: few statements may go to an engine that warms up, so those that may are sent there.
	slowStartCost = 0.25
	// excludedCost puts an engine that refused lately, or where the statement went wrong last, behind all others.
	excludedCost = 1e6
	// minFreeShare is the least share of a window that is left, whatever other routers have in flight there.
	minFreeShare = 0.05
)

const (
	// busyUtilization is the share of the cores, or the statements a core, from which an engine counts as congested.
	busyUtilization = 0.65
	// maxCandidates limits the engines of a table group.
	maxCandidates = 32
	// fanOutSlack: candidates over a table group's fair share of the engines.
	fanOutSlack = 4.0
	// fanOutDoubt is in statements an engine: it spreads groups wider while few statements were seen.
	fanOutDoubt = 0.3
)

// selectEngine picks the engine for a statement's next attempt; nil: it has to wait.
func (m *Module) selectEngine(s *statement) *engine {
	available := m.availableEngines(s)
	if len(available) == 0 {
		return nil
	}
	considered := m.considered(s, available)
	if len(considered) == 0 {
		return nil
	}
	return m.lowestScore(s, considered)
}

// availableEngines are those that the rules allow and health checks do not exclude, by rendezvous hash. No other engine
// is scored.
func (m *Module) availableEngines(s *statement) []*engine {
	available := make([]*engine, 0, len(m.endpoints.all))
	for _, e := range m.endpoints.ranked(s.tables) {
		if m.mayStart(s, e) && m.isHealthy(e, s) {
			available = append(available, e)
		}
	}
	return available
}

// considered are the engines that are scored: the statement's candidates, and all available ones when these are
// congested. Where load reports come by health check only, those whose report is fresh are considered.
func (m *Module) considered(s *statement, available []*engine) []*engine {
	engines := m.candidates(s, available)
	width := healthCheckWidth
	isFree := func(e *engine) bool { return !m.isCongested(e, s.classifiedAs) }
	if !slices.ContainsFunc(engines, isFree) {
		width = maxHealthCheckWidth
		engines = available
		if s.classifiedAs.BulkLoad { // one engine, now the last, stays for the reads of its table group
			engines = available[:max(1, len(available)-1)]
		}
	}
	if m.healthChecks.enabled {
		return m.freshlyReported(s, engines, width)
	}
	return engines
}

// lowestScore is the engine with the lowest score that has capacity, or nil. Each router begins elsewhere, so that
// routers share what is equal.
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

// score is zone weight × (own in flight + 1) ÷ window × cache cost × pace. In flight counts the threads of all
// workloads in units of this one's, since they share the cores; what other routers have in flight narrows the window.
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
	free := max(minFreeShare, 1-m.othersOn(e)/m.maxStatementsOn(e))
	return zone * (inFlight + 1) / (window.size * free) * cost * max(1, e.pace)
}

// cacheCost is the factor for what the engine has in its caches.
func (m *Module) cacheCost(e *engine, s *statement) float64 {
	if m.slowStart.isWarmingUp(e, m.now) {
		return slowStartCost
	}
	if e.servedRecently(s.tables) {
		return cachedTablesCost
	}
	return uncachedTablesCost
}

// candidates are the engines that a statement's table group is spread over: engines with the group in their caches
// first, then those of the own zone, each by rendezvous hash. A bulk load would lock its table group where that is
// read, and wait behind other loads: it takes the half of the hash where the group is read least, and has available
// reversed.
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

// fanOut is the number of engines that a table group's share of the traffic asks for.
func (m *Module) fanOut(tables decision.TableGroup, engines int) int {
	step := (m.affinity.total/float64(engines) + fanOutDoubt) / fanOutSlack
	return int(m.affinity.of(tables)/step) + 1
}

// rotation is where this router begins in a row of equal engines, so that routers share them.
func (m *Module) rotation(s *statement, engines int) int {
	return int(detrand.Hash("", uint64(s.tables), uint64(m.identity.Router)) % uint64(engines))
}

// isCongested reports whether the engine is full for this router, or reported busy.
func (m *Module) isCongested(e *engine, w *workload) bool {
	window := e.window(w)
	switch {
	case float64(window.inFlight) >= window.size, window.excluded, e.pace > slowAttemptFactor:
		return true
	case m.healthChecks.enabled && e.queueDepth >= 1:
		return true
	case e.utilizationKnown && e.utilization > busyUtilization:
		return true
	}
	return m.othersOn(e)+float64(len(e.attempts)) >= busyUtilization*e.cores*m.slowStart.capacityShare(e, m.now)
}
