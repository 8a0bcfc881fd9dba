package policy

import (
	"time"

	"bankledge/decision"
)

const (
	// reportPeriod is the time between steps of a window; a load report is fresh for as long.
	reportPeriod = time.Second
	// peerLoadLearningRate is the weight of one report in the mean of what other routers have in flight on an engine.
	peerLoadLearningRate = 0.1
)

// receiveReport handles a load report; nil: the engine sent none.
func (m *Module) receiveReport(e *engine, report *decision.LoadReport) {
	if report == nil {
		return
	}
	e.reportedAt = m.now
	e.applyReport(report, m.now)
	if _, known := report.Get(decision.FieldInFlight); known {
		m.peerLoad.Observe(m.now, e.othersInFlight)
		if m.isOverloaded(e) {
			m.eject(e, false)
		}
	}
	if m.now >= e.windowsSteppedAt+reportPeriod {
		_, utilizationKnown := report.Get(decision.FieldUtilization)
		m.stepWindows(e, utilizationKnown)
	}
}

// applyReport takes the fields of a load report that are known.
func (e *engine) applyReport(report *decision.LoadReport, now time.Duration) {
	if utilization, known := report.Get(decision.FieldUtilization); known {
		e.utilization = utilization
		e.utilizationKnown = true
	}
	if queueDepth, known := report.Get(decision.FieldQueueDepth); known {
		e.queueDepth = queueDepth
	}
	if inFlight, known := report.Get(decision.FieldInFlight); known {
		e.othersInFlight = max(0, inFlight-float64(len(e.attempts)))
		e.othersReportedAt = now
	}
}

// replaceMissingReports steps the windows by own latencies while an engine sends no reports.
func (m *Module) replaceMissingReports(e *engine) {
	if m.now < e.windowsSteppedAt+missedReports*reportPeriod {
		return
	}
	e.utilizationKnown = false
	e.queueDepth = 0
	m.stepWindows(e, false)
}

// othersOn estimates how many statements of other routers are on an engine.
func (m *Module) othersOn(e *engine) float64 {
	return m.peerLoad.Estimate(m.now, e.othersInFlight, e.othersReportedAt)
}
