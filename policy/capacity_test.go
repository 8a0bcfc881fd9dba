package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bankledge/decision"
)

// An engine that is full of other routers' statements, or of statements that still run after a time-out, gets no more.
func TestEngineFullOfPeerStatements(t *testing.T) {
	h := newHarness(t).at(0, ready("a"))
	full := inFlightReport(8 * maxStatementsPerCore)
	h.at(ms, decision.HealthCheckEnded{Engine: "a", Outcome: decision.Completed, Report: full})
	assert.Empty(t, h.at(2*ms, read("s")).sentTo())
	assert.Empty(t, h.at(900*ms, read("s2")).sentTo(), "no reports do not mean free capacity")
	assert.NotEmpty(t, h.at(3*time.Second, read("s3")).sentTo(), "an old report no longer counts")
}

// Heavy statements leave capacity for the light statements of any router.
func TestCapacityForLightWork(t *testing.T) {
	for _, c := range []struct {
		name     string
		inFlight float64
		want     bool
		ev       decision.StatementArrived
	}{
		{"light statement takes free capacity", 8, true, read("s")},
		{"heavy statement leaves capacity for light ones of any router", 8, false, heavyWrite("s")},
		{"heavy statement takes an engine that is nearly idle", 2, true, heavyWrite("s")},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.settings.Identity.Routers = 100
			h.at(0, ready("a")).at(time.Second).module.priorities.lightShare = 0.8
			h.at(time.Second, decision.HealthCheckEnded{
				Engine:  "a",
				Outcome: decision.Completed,
				Report:  inFlightReport(c.inFlight),
			})
			assert.Equal(t, c.want, h.at(time.Second+ms, c.ev).sentTo() != "")
		})
	}
}
