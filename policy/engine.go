package policy

import (
	"time"

	"bankledge/decision"
	"bankledge/internal/slidingwindow"
)

// engine is the state that this router keeps of one engine.
type engine struct {
	decision.Endpoint
	cores    float64
	memoryMB float64

	// Endpoint list.
	listed        bool
	unlistedSince time.Duration // since when it is not listed and has no attempt in flight

	// Attempts of this router on the engine.
	attempts       []*attempt
	threads        int
	memoryInFlight float64 // MB
	recentTables   []decision.TableGroup
	bulkLoadsUntil map[decision.TableGroup]time.Duration // until when a bulk load of another router locks the table group

	// Reported load, and the values derived from it.
	windows           []congestionWindow // by workload
	windowsAdjustedAt time.Duration
	reportedAt        time.Duration // last load report
	utilization       float64
	utilizationKnown  bool
	queueDepth        float64
	peerStatements    float64       // statements of other routers, as last reported
	peerReportedAt    time.Duration // when peerStatements was reported

	// Health.
	ejected             bool
	unreachable         bool // connections failed while it was ejected, so it may have restarted
	ejectedUntil        time.Duration
	backoff             time.Duration
	lastEventAt         time.Duration // last activity of the engine
	slowdown            float64       // moving average of an attempt's run time over the usual one of its workload
	errorShare          float64       // moving average of errors here on statements that completed elsewhere
	skippedUntilArrival int           // value of Module.arrivals until which no statement is sent here
	checking            bool          // a health check is in flight
	checkedAt           time.Duration // start of the last health check

	// Slow start.
	slowStartWork        slidingwindow.Sum // work sent during its slow start
	slowStartProbability float64           // that a statement may be sent here
}

// newEngine returns the state of an engine that joins the endpoint list now.
func newEngine(endpoint decision.Endpoint, machine decision.MachineSpec, now time.Duration) *engine {
	return &engine{
		Endpoint:          endpoint,
		cores:             max(1, machine.Cores),
		memoryMB:          machine.MemoryMB,
		windowsAdjustedAt: now,
		lastEventAt:       now,
		reportedAt:        now - reportPeriod,
		peerReportedAt:    now,
		slowdown:          1,
		bulkLoadsUntil:    map[decision.TableGroup]time.Duration{},
	}
}

// resetAfterRestart resets what was learned of an engine before it restarted, but keeps the attempts that have not
// ended.
func (e *engine) resetAfterRestart(windows []congestionWindow, now time.Duration) {
	e.recentTables = nil
	e.ejected = false
	e.unreachable = false
	e.backoff = 0
	e.peerStatements = 0
	e.peerReportedAt = now
	e.errorShare = 0
	e.windows = windows
	for _, a := range e.attempts {
		e.windows[a.statement.classifiedAs.id].inFlight++
	}
}

// statementsInFlight returns the statements of other routers, as last reported, plus the attempts of this router.
func (e *engine) statementsInFlight() float64 { return e.peerStatements + float64(len(e.attempts)) }
