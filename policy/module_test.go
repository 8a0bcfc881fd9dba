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

// Events of unknown or finished statements and engines are ignored.
func TestUnknownStatementsAreIgnored(t *testing.T) {
	h := newHarness(t).at(0, ready("a"))
	h.at(1, end("x", 0, "a", decision.Completed), end("x", 0, "zz", decision.Overloaded), progress("x", "a", 1, 0.5),
		decision.ClientCancelled{Statement: "x"}, decision.HealthCheckEnded{Engine: "zz"}, decision.TimerFired{Token: "?"})
	assert.Empty(t, pick[decision.Reject](h))
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() (all []decision.Action) {
		h := newHarness(t).at(0, ready("a", "b", "c"))
		for i := range 60 {
			ev := read(decision.StatementID(fmt.Sprint(i)))
			ev.TableGroup = decision.TableGroup(i % 7)
			all = append(all, h.at(time.Duration(i)*20*ms, ev).actions...)
		}
		return all
	}
	assert.Equal(t, run(), run())
}

// The state kept by engine ID, key and table group is bounded, although clients and engines may bring new ones without
// limit.
func TestMemoryIsBounded(t *testing.T) {
	h := newHarness(t)
	h.settings.Workloads[0].OrderedByKey = true
	h.settings.Engines.ProgressInterval = 100 * ms
	for i := range 2 * maxTableGroups {
		now, id := time.Duration(i)*100*ms, strconv.Itoa(i)
		e, s := decision.EngineID("e"+id), decision.StatementID("s"+id)
		arrival := read(s)
		arrival.Key = decision.Key(id)
		arrival.TableGroup = decision.TableGroup(i)
		h.at(now, ready(e), arrival)
		require.Equal(t, e, h.sentTo(), "unlisted engines get no statements")
		h.at(now+1, progress(s, e, decision.ProgressWaiting, decision.WaitingForBulkLoad), end(s, 0, e, decision.Cancelled))
		h.at(now+2, decision.ClientCancelled{Statement: s})
	}
	require.Less(t, len(h.module.endpoints.all), 200)
	require.Empty(t, h.module.keyQueues)
	require.Empty(t, h.module.statements)
	require.LessOrEqual(t, len(h.module.affinity.groups), maxTableGroups)
	one := newHarness(t).at(0, ready("a"))
	for i := range 2 * maxTableGroups { // a single engine that stays listed
		one.module.endpoints.ranked(decision.TableGroup(i))
		one.engine("a").recordBulkLoad(decision.TableGroup(i), time.Duration(i)*ms, time.Duration(i+10)*ms)
	}
	require.LessOrEqual(t, len(one.module.endpoints.rankings), maxTableGroups)
	require.Less(t, len(one.engine("a").bulkLoadsUntil), 20)
}
