package policy

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// A silent engine is ejected, and its attempts are cancelled and retried on another engine.
func TestSilentEngineIsEjected(t *testing.T) {
	h := newHarness(t)
	h.settings.Engines.ProgressInterval = 500 * ms
	h.settings.Workloads[0].LatencyObjective = 3 * time.Second
	e := h.at(0, ready("a", "b"), read("s")).sentTo()
	h.at(1200 * ms)
	require.Len(t, pick[decision.CancelAttempt](h), 1)
	assert.NotEqual(t, e, h.at(1205*ms, end("s", 0, e, decision.Cancelled)).sentTo())
	assert.NotEqual(t, e, h.at(1210*ms, read("s2")).sentTo())
}

// A health check does not readmit an ejected engine; a completed attempt does.
func TestOnlyAttemptsReadmit(t *testing.T) {
	h := newHarness(t)
	h.settings.Workloads[0].LatencyObjective = time.Second
	e := h.at(0, ready("a"), read("s")).sentTo()
	h.at(2 * time.Second)
	require.True(t, h.engine(e).ejected)
	h.at(2*time.Second+ms, end("s", 0, e, decision.Cancelled))
	h.at(2*time.Second+2*ms, decision.HealthCheckEnded{Engine: e, Outcome: decision.Completed})
	assert.True(t, h.engine(e).ejected)
	assert.NotEmpty(t, h.at(4*time.Second, read("trial")).sentTo(), "one trial statement")
	assert.Empty(t, h.at(4*time.Second+ms, read("more")).sentTo(), "no second statement during the trial")
	h.at(4*time.Second+2*ms, end("trial", 0, e, decision.Completed))
	assert.False(t, h.engine(e).ejected)
}

// A connection reset ejects the engine only if it has no other attempts in flight.
func TestResetWithOtherAttemptsInFlight(t *testing.T) {
	h := newHarness(t).at(0, ready("a"), read("s"), read("s2"))
	h.at(ms, end("s", 0, "a", decision.ConnectionReset))
	assert.False(t, h.engine("a").ejected)
	h.at(2*ms, end("s", 1, "a", decision.ConnectionReset), end("s2", 0, "a", decision.ConnectionReset))
	assert.True(t, h.engine("a").ejected)
}

// An engine that is slower than usual for the workload gets a worse score, which recovers over time.
func TestSlowEngineScoresWorse(t *testing.T) {
	h := newHarness(t).at(0, ready("a", "b"))
	e := h.at(ms, read("s")).sentTo()
	require.NotEmpty(t, e)
	h.at(900*ms, end("s", 0, e, decision.Completed)) // nine times the expected run time
	slow := h.engine(e)
	assert.Greater(t, slow.slowdown, 2.0)
	assert.NotEqual(t, e, h.at(901*ms, read("s2")).sentTo())
	for i := range 3000 {
		h.at(time.Second + time.Duration(i)*50*ms)
	}
	assert.InDelta(t, 1, slow.slowdown, 0.1)
}

// An engine that fails at once is never busy, and so attracts more and more statements. Errors of statements that
// complete on another engine count as its failures; errors of statements that fail on every engine do not.
func TestFailingEngineIsEjected(t *testing.T) {
	for _, c := range []struct {
		name    string
		other   decision.Outcome // of the second attempt
		ejected bool
	}{{"only this engine fails", decision.Completed, true}, {"all engines fail", decision.Errored, false}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t).at(0, ready("a", "b"))
			now, failing := time.Duration(0), h.at(1, read("first")).sentTo()
			h.at(2, end("first", 0, failing, decision.Completed))
			for i := range 10 {
				now = time.Duration(i+1) * ms
				id := decision.StatementID("s" + strconv.Itoa(i))
				on, n := h.at(now, read(id)).sentTo(), decision.AttemptID(0)
				for on == failing {
					on = h.at(now+1, end(id, n, on, decision.Errored)).sentTo()
					n++
				}
				if on != "" {
					h.at(now+2, end(id, n, on, c.other))
				}
				h.at(now+3, decision.ClientCancelled{Statement: id})
			}
			assert.Equal(t, c.ejected, h.engine(failing).ejected)
			if !c.ejected {
				return
			}
			h.at(now+minEjection, read("trial"))
			require.Equal(t, failing, h.module.statements["trial"].attempts[0].engine.Engine, "trial statement")
			h.at(now+minEjection+1, end("trial", 0, failing, decision.Completed))
			assert.True(t, h.engine(failing).ejected, "one completion is not enough")
		})
	}
}

// An engine that all routers together overload is ejected. It gets one trial statement at a time, after growing delays,
// whatever the router estimates of its load without a recent report. A completed attempt that reports free capacity
// readmits it.
func TestOverloadedEngineIsEjected(t *testing.T) {
	completed := func(id decision.StatementID, inFlight float64) decision.AttemptEnded {
		ended := end(id, 0, "a", decision.Completed)
		ended.Report = inFlightReport(inFlight)
		return ended
	}
	h := newHarness(t).at(0, ready("a"), read("s"))
	h.at(100*ms, completed("s", 2*maxStatementsPerCore*8))
	assert.Empty(t, h.at(200*ms, read("early")).sentTo())
	// trial adds a statement every 50 ms until the module sends one, which then completes with a report of inFlight
	// statements.
	trial := func(from, to time.Duration, inFlight float64) time.Duration {
		for at := from; at < to; at += 50 * ms {
			h.at(at, read(decision.StatementID(fmt.Sprint("at ", at))))
			if sent := pick[decision.StartAttempt](h); len(sent) > 0 {
				h.at(at+ms, completed(sent[0].Statement, inFlight))
				return at
			}
		}
		return to
	}
	const overloaded = 2 * maxStatementsPerCore * 8
	first := trial(250*ms, 20*time.Second, overloaded)
	second := trial(first+50*ms, first+30*time.Second, overloaded)
	third := trial(second+50*ms, second+30*time.Second, overloaded)
	assert.Greater(t, third-second, second-first, "growing delay")
	trial(third+50*ms, third+time.Minute, 1)
	assert.False(t, h.module.isOverloaded(h.engine("a")))
}
