package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

func TestSlowStartBudget(t *testing.T) {
	// The total traffic is the same for any number of routers: 210 statements per second of 0.1 core seconds each. One
	// of ten engines starts during the test.
	for _, routers := range []int{1, 3, 300} {
		t.Run(fmt.Sprintf("%d routers together stay within the budget and use it", routers), func(t *testing.T) {
			sent, budget := 0, 0.0
			for router := range routers {
				h, list := newHarness(t), ready("b", "c", "d", "e", "f", "g", "h", "i", "j")
				h.settings.Identity.Router = decision.RouterID(router)
				h.settings.Identity.Routers = routers
				h.settings.Identity.Seed = uint64(router)
				rules := h.settings.Rules
				budget = rules.SlowStartMultiple * rules.SlowStartShare * 8 * rules.SlowStartWindow.Seconds()
				h.at(0, list)
				started := ready("a")
				started.Kind = decision.ListPartial
				started.Endpoints[0].StartedAt = 4 * time.Second
				gap := time.Duration(routers) * 5 * ms
				for i, now := 0, gap*time.Duration(router)/time.Duration(routers); now < 5500*ms; i, now = i+1, now+gap {
					if now >= 4*time.Second && h.engine("a") == nil {
						h.at(now, started)
					}
					h.at(now, read(decision.StatementID(fmt.Sprint(router, " ", i))))
					for _, x := range pick[decision.StartAttempt](h) {
						if x.Engine == "a" {
							sent++
						}
						h.at(now, end(x.Statement, 0, x.Engine, decision.Completed))
					}
				}
			}
			assert.Positive(t, sent)
			assert.LessOrEqual(t, float64(sent)*0.1, budget)
		})
	}
	t.Run("a router that has just started does not know what it sent before", func(t *testing.T) {
		h, list := newHarness(t), ready("a")
		list.Endpoints[0].StartedAt = time.Second
		assert.Empty(t, h.at(2*time.Second, list, read("s")).sentTo())
		assert.NotEmpty(t, h.at(2*time.Second+h.settings.Rules.SlowStartWindow, read("later")).sentTo())
	})
	for _, c := range []struct {
		name          string
		first, second decision.Outcome // second: of the trial
		warmingUp     bool
	}{
		{"the first failed connection may only be slow", decision.ConnectFailed, decision.Completed, false},
		{"the connection of the trial fails too", decision.ConnectFailed, decision.ConnectFailed, true},
		{"an engine that resets connections is running", decision.ConnectionReset, decision.ConnectionReset, false},
	} {
		t.Run("only failed connections put an engine in slow start before the list does: "+c.name, func(t *testing.T) {
			h := newHarness(t).at(0, ready("a"), read("s"), read("beside"))
			h.at(ms, end("s", 0, "a", c.first), end("beside", 0, "a", c.first)) // at once: one observation
			h.at(ms, decision.ClientCancelled{Statement: "s"}, decision.ClientCancelled{Statement: "beside"})
			for i, outcome := range []decision.Outcome{c.second, decision.Completed} {
				now, id := time.Duration(2+8*i)*time.Second, decision.StatementID(fmt.Sprint("trial ", i))
				require.NotEmpty(t, h.at(now, read(id)).sentTo())
				h.at(now+ms, end(id, 0, "a", outcome), decision.ClientCancelled{Statement: id})
			}
			assert.Equal(t, c.warmingUp, h.module.slowStart.isWarmingUp(h.engine("a"), h.module.now))
		})
	}
}

// All listed engines first are in slow start, and then drain.
func TestAllEnginesWarmingUpOrDraining(t *testing.T) {
	started, draining := ready("a", "b"), ready("a", "b")
	for i := range started.Endpoints {
		started.Endpoints[i].StartedAt = 5 * time.Second
		draining.Endpoints[i].State = decision.Draining
	}
	h := newHarness(t).at(0).at(5*time.Second, started, read("s"))
	assert.NotEmpty(t, h.sentTo(), "a single router has the complete budget")
	assert.Empty(t, h.at(6*time.Second, draining, read("s2")).sentTo())
	assert.Len(t, pick[decision.Reject](h.at(10*time.Second)), 2, "the second statement was never sent")
}
