package policy

import (
	"time"

	"bankledge/decision"
)

const (
	// reportPeriod is the time between steps of a window; a load report is fresh for as long.
	reportPeriod = time.Second
	// peerLoadLearningRate is the weight of one report in the mean of what other routers hold on an engine.
	peerLoadLearningRate = 0.1
)

// receiveReport takes a load report; nil: the engine sent none.
func (m *Module) receiveReport(e *engine, report *decision.LoadReport) {
	if report == nil {
		return
	}
	e.reportedAt = m.now
	e.applyReport(report, m.now)
	if report.Known[decision.FieldInFlight] {
		m.peerLoad.Observe(m.now, e.othersInFlight)
		if m.isOverloaded(e) {
			m.eject(e, false)
		}
	}
	if m.now >= e.windowsSteppedAt+reportPeriod {
		m.stepWindows(e, report.Known[decision.FieldUtilisation])
	}
}

// applyReport takes the fields of a load report that are known.
func (e *engine) applyReport(report *decision.LoadReport, now time.Duration) {
	if report.Known[decision.FieldUtilisation] {
		e.utilization = report.Value[decision.FieldUtilisation]
		e.utilizationKnown = true
	}
	if report.Known[decision.FieldQueueDepth] {
		e.queueDepth = report.Value[decision.FieldQueueDepth]
	}
	if report.Known[decision.FieldInFlight] {
		e.othersInFlight = max(0, report.Value[decision.FieldInFlight]-float64(len(e.attempts)))
		e.othersReportedAt = now
	}
}

// replaceMissingReports has own latencies stand in for the reports of an engine that sends none.
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
