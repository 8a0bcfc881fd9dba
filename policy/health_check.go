package policy

import (
	"cmp"

	"bankledge/decision"
)

const (
	// healthCheckWidth is how many of a statement's candidates are checked; maxHealthCheckWidth applies to the wider
	// choice when all of these are congested.
	healthCheckWidth    = 2
	maxHealthCheckWidth = 4
	// maxSavedHealthChecks limits the checks that are saved up.
	maxSavedHealthChecks = maxHealthCheckWidth * maxHealthCheckWidth
)

// healthCheckBudget holds the health checks that may still be sent: they follow the statements, not a clock.
type healthCheckBudget struct {
	enabled   bool // load reports come by health check only
	available float64
}

func newHealthCheckBudget(limits decision.Limits, reports decision.LoadReportSettings) healthCheckBudget {
	return healthCheckBudget{enabled: reports.Source == decision.LoadReportsByHealthCheck && limits.HealthChecks}
}

// earn adds the checks of one arrival; perStatement is what the rules name, 0 if they name nothing.
func (b *healthCheckBudget) earn(perStatement float64) {
	b.available = min(b.available+cmp.Or(perStatement, healthCheckWidth), maxSavedHealthChecks)
}

// spend takes a check; false: there is none.
func (b *healthCheckBudget) spend() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// freshlyReported returns the engines with a fresh load report. If none of these is free of congestion it checks the
// statement's first few; none is returned while one of those checks is in flight: the statement waits for it.
func (m *Module) freshlyReported(s *statement, engines []*engine, width int) []*engine {
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
	first := m.rotation(s, len(engines)) + int(m.now/reportPeriod)*width // a period later, the next few
	for i := range min(width, len(engines)) {
		if m.awaitReport(engines[(i+first)%len(engines)]) {
			fresh = nil
		}
	}
	return fresh
}

// awaitReport checks an engine whose report is not fresh, if the budget allows it, and reports whether a check is in
// flight.
func (m *Module) awaitReport(e *engine) bool {
	if e.checking && m.now < e.checkedAt+reportPeriod {
		return true
	}
	if m.hasFreshReport(e) || !m.healthChecks.spend() {
		return false
	}
	e.checking = true
	e.checkedAt = m.now
	m.act(decision.HealthCheck{Engine: e.Engine})
	return true
}

// hasFreshReport reports whether an engine's last load report is fresh.
func (m *Module) hasFreshReport(e *engine) bool { return m.now < e.reportedAt+reportPeriod }

// healthCheckEnded takes the outcome of a health check. It does not readmit an engine: only attempts do.
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
	case decision.TimedOut: // a check is served like a statement: as good as full
		e.reportedAt = m.now
		e.othersInFlight = maxStatementsPerCore * e.cores
		e.othersReportedAt = m.now
	}
}
