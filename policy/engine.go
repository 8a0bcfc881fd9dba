package policy

import (
	"time"

	"bankledge/decision"
	"bankledge/internal/slidingwindow"
)

// engine is what this router knows of one engine.
type engine struct {
	decision.Endpoint
	cores    float64
	memoryMB float64

	// Endpoint list.
	listed        bool
	unlistedSince time.Duration // since when it is not listed and has no attempt

	// Attempts of this router there.
	attempts       []*attempt
	threads        int
	memoryInFlight float64 // MB
	recentTables   []decision.TableGroup
	loadsUntil     map[decision.TableGroup]time.Duration // until when a bulk load of another router locks the group

	// Load, as reported, and what follows from it.
	windows          []congestionWindow // by workload
	windowsSteppedAt time.Duration
	reportedAt       time.Duration // last report
	utilization      float64
	utilizationKnown bool
	queueDepth       float64
	othersInFlight   float64       // statements beyond this router's own
	othersReportedAt time.Duration // when othersInFlight was reported

	// Health.
	ejected         bool
	unreachable     bool // connections failed while it was ejected: it may have restarted
	ejectedUntil    time.Duration
	backoff         time.Duration
	lastEventAt     time.Duration // last sign of life
	pace            float64       // time taken over what its workload usually takes
	errorShare      float64       // learned: of its attempts that errored there while the statement completed elsewhere
	passedOverUntil int           // count of arrivals before which nothing is sent there
	checking        bool          // a health check is in flight
	checkedAt       time.Duration // last health check

	// Slow start.
	slowStartWork        slidingwindow.Sum // sent during its slow start
	slowStartProbability float64           // that a statement may go there
}

// newEngine is an engine that joins the endpoint list now.
func newEngine(endpoint decision.Endpoint, machine decision.MachineSpec, now time.Duration) *engine {
	return &engine{
		Endpoint:         endpoint,
		cores:            max(1, machine.Cores),
		memoryMB:         machine.MemoryMB,
		windowsSteppedAt: now,
		lastEventAt:      now,
		reportedAt:       now - reportPeriod,
		othersReportedAt: now,
		pace:             1,
		loadsUntil:       map[decision.TableGroup]time.Duration{},
	}
}

// restarted resets what was known of an engine before it restarted, but not the attempts that are still to end.
func (e *engine) restarted(windows []congestionWindow, now time.Duration) {
	e.recentTables = nil
	e.ejected = false
	e.unreachable = false
	e.backoff = 0
	e.othersInFlight = 0
	e.othersReportedAt = now
	e.errorShare = 0
	e.windows = windows
	for _, a := range e.attempts {
		e.windows[a.statement.classifiedAs.id].inFlight++
	}
}

// statementsInFlight is the number of statements there, as last reported, with what this router has sent since.
func (e *engine) statementsInFlight() float64 { return e.othersInFlight + float64(len(e.attempts)) }
