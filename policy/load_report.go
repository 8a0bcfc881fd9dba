package policy

import (
	"time"

	"bankledge/decision"
)

const (
	// reportPeriod is the minimum time between two adjustments of a window, and the time for which a load report is
	// fresh.
	reportPeriod = time.Second
	// peerLoadLearningRate is the weight of one report in the mean number of other routers' statements on an engine.
	peerLoadLearningRate = 0.1
)

// receiveReport handles a load report. It does nothing if the engine sent none.
func (m *Module) receiveReport(e *engine, report *decision.LoadReport) {
	if report == nil {
		return
	}
	e.reportedAt = m.now
	e.applyReport(report, m.now)
	if _, known := report.Get(decision.FieldInFlight); known {
		m.peerLoad.Observe(m.now, e.peerStatements)
		if m.isOverloaded(e) {
			m.eject(e, false)
		}
	}
	if m.now >= e.windowsAdjustedAt+reportPeriod {
		_, utilizationKnown := report.Get(decision.FieldUtilization)
		m.adjustWindows(e, utilizationKnown)
	}
}

// applyReport stores the fields that the load report contains.
func (e *engine) applyReport(report *decision.LoadReport, now time.Duration) {
	if utilization, known := report.Get(decision.FieldUtilization); known {
		e.utilization = utilization
		e.utilizationKnown = true
	}
	if queueDepth, known := report.Get(decision.FieldQueueDepth); known {
		e.queueDepth = queueDepth
	}
	if inFlight, known := report.Get(decision.FieldInFlight); known {
		e.peerStatements = max(0, inFlight-float64(len(e.attempts)))
		e.peerReportedAt = now
	}
}

// replaceMissingReports adjusts the windows by the latencies that this router measures while an engine sends no
// reports.
func (m *Module) replaceMissingReports(e *engine) {
	if m.now < e.windowsAdjustedAt+missedReports*reportPeriod {
		return
	}
	e.utilizationKnown = false
	e.queueDepth = 0
	m.adjustWindows(e, false)
}

// peerStatementsOn estimates the number of other routers' statements on an engine.
func (m *Module) peerStatementsOn(e *engine) float64 {
	return m.peerLoad.Estimate(m.now, e.peerStatements, e.peerReportedAt)
}
