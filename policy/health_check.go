package policy

import (
	"cmp"

	"bankledge/decision"
)

const (
	// healthCheckWidth is the number of a statement's candidates that are checked. If all candidates are congested, all
	// available engines are considered, and maxHealthCheckWidth of them are checked.
	healthCheckWidth    = 2
	maxHealthCheckWidth = 4
	// maxUnusedHealthChecks limits the unused health checks that accumulate.
	maxUnusedHealthChecks = maxHealthCheckWidth * maxHealthCheckWidth
)

// healthCheckBudget holds the health checks that may still be sent. Each arriving statement adds to it, rather than
// elapsed time.
type healthCheckBudget struct {
	enabled   bool // load reports come only by health check
	available float64
}

func newHealthCheckBudget(limits decision.Limits, reports decision.LoadReportSettings) healthCheckBudget {
	return healthCheckBudget{enabled: reports.Source == decision.LoadReportsByHealthCheck && limits.HealthChecks}
}

// deposit adds the checks of one arrival: perStatement, or the default if the rules set none (0).
func (b *healthCheckBudget) deposit(perStatement float64) {
	b.available = min(b.available+cmp.Or(perStatement, healthCheckWidth), maxUnusedHealthChecks)
}

// tryWithdraw takes a check from the budget, and reports whether there was one.
func (b *healthCheckBudget) tryWithdraw() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// enginesWithFreshReport returns the engines with a fresh load report. Unless one of these is free of congestion, it
// sends health checks to up to width engines. While one of those checks is in flight it returns none, so that the
// statement waits for the result.
func (m *Module) enginesWithFreshReport(s *statement, engines []*engine, width int) []*engine {
	var fresh []*engine
	for _, e := range engines {
		if !m.hasFreshReport(e) {
			continue
		}
		fresh = append(fresh, e)
		if !m.isCongested(e, s.classifiedAs) {
			width = 0
		}
	}
	first := m.rotation(s, len(engines)) + int(m.now/reportPeriod)*width // each period begins at the next few engines
	for i := range min(width, len(engines)) {
		if m.awaitReport(engines[(i+first)%len(engines)]) {
			fresh = nil
		}
	}
	return fresh
}

// awaitReport sends a health check to an engine without a fresh report, if the budget allows it, and reports whether a
// check is in flight.
func (m *Module) awaitReport(e *engine) bool {
	if e.checking && m.now < e.checkedAt+reportPeriod {
		return true
	}
	if m.hasFreshReport(e) || !m.healthChecks.tryWithdraw() {
		return false
	}
	e.checking = true
	e.checkedAt = m.now
	m.emit(decision.HealthCheck{Engine: e.Engine})
	return true
}

// hasFreshReport reports whether the engine's last load report is fresh.
func (m *Module) hasFreshReport(e *engine) bool { return m.now < e.reportedAt+reportPeriod }

// healthCheckEnded handles the result of a health check. It does not readmit an ejected engine: only attempts do.
func (m *Module) healthCheckEnded(ev decision.HealthCheckEnded) {
	e := m.endpoints.find(ev.Engine)
	if e == nil {
		return
	}
	e.checking = false
	m.receiveReport(e, ev.Report)
	switch ev.Outcome {
	case decision.ConnectFailed:
		m.eject(e, m.failsTrial(e))
	case decision.TimedOut: // engines serve checks like statements, so this one is considered full
		e.reportedAt = m.now
		e.peerStatements = maxStatementsPerCore * e.cores
		e.peerReportedAt = m.now
	}
}
