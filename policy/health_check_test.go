package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// If load reports come only by health check, a statement waits for the checks of its candidates.
func TestStatementWaitsForHealthChecks(t *testing.T) {
	h := newHarness(t)
	h.settings.LoadReports.Source = decision.LoadReportsByHealthCheck
	h.at(0, ready("a", "b", "c", "d"))
	assert.Empty(t, pick[decision.HealthCheck](h), "none without a statement")
	checks := pick[decision.HealthCheck](h.at(ms, read("s")))
	require.NotEmpty(t, checks)
	assert.LessOrEqual(t, len(checks), healthCheckWidth, "at most two per statement")
	assert.Empty(t, h.sentTo())
	h.at(2*ms, decision.HealthCheckEnded{Engine: checks[0].Engine, Outcome: decision.Completed, Report: inFlightReport(0)})
	assert.Equal(t, checks[0].Engine, h.sentTo())
}
