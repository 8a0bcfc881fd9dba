package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bankledge/decision"
)

// What a statement is classified as changes what it takes, and loosens no rule.
func TestClassification(t *testing.T) {
	classified := func(ev decision.StatementArrived, classification decision.Classification) decision.StatementArrived {
		ev.Classification = &classification
		return ev
	}
	t.Run("as declared, it changes nothing", func(t *testing.T) {
		plain := newHarness(t).at(0, ready("a", "b")).at(time.Second, read("s")).actions
		asDeclared := classified(read("s"), decision.Classification{Workload: 0})
		same := newHarness(t).at(0, ready("a", "b")).at(time.Second, asDeclared).actions
		assert.Equal(t, plain, same)
	})
	t.Run("windows, threads and memory are those of what it is classified as", func(t *testing.T) {
		h := newHarness(t).at(0, ready("a")).at(time.Second, classified(read("s"), decision.Classification{
			Workload:          1,
			EstimatedWork:     2 * time.Second,
			EstimatedMemoryMB: 70,
		}))
		e := h.engine("a")
		assert.Equal(t, 0, e.windows[0].inFlight)
		assert.Equal(t, 1, e.windows[1].inFlight)
		assert.Equal(t, 2, e.threads)
		assert.Equal(t, 70.0*firstMemoryFactor, e.memoryInFlight)
		h.at(2*time.Second, end("s", 0, "a", decision.Completed))
		assert.Equal(t, []any{0, 0, 0.0}, []any{e.windows[1].inFlight, e.threads, e.memoryInFlight}, "given back")
	})
	t.Run("a wrong label wins neither priority nor time", func(t *testing.T) {
		h := newHarness(t).at(0).at(time.Second, read("light"),
			classified(read("heavy"), decision.Classification{Workload: 1, EstimatedWork: 4 * time.Second}),
			classified(write("claims"), decision.Classification{Workload: 0, EstimatedWork: 100 * ms}))
		heavy, claims := h.module.statements["heavy"], h.module.statements["claims"]
		assert.Less(t, h.value("heavy"), h.value("light"))
		assert.Equal(t, h.value("light"), h.value("claims"), "the lower priority weight of the two")
		assert.Equal(t, time.Second+4*time.Second, heavy.deadline, "the statement timeout stays")
		assert.Equal(t, decision.NonIdempotent, claims.idempotency)
	})
	t.Run("what writes under a label that is idempotent runs once", func(t *testing.T) {
		writes := classified(read("s"), decision.Classification{Workload: 0, Writes: true})
		h := newHarness(t).at(0, ready("a", "b")).at(time.Second, writes)
		on := h.sentTo()
		h.at(time.Second+100*ms, end("s", 0, on, decision.ConnectionReset))
		assert.Empty(t, h.sentTo())
		assert.Empty(t, pick[decision.Reject](h), "a rejection would say that trying again is harmless")
		assert.Len(t, pick[decision.Abort](h), 1)
	})
	t.Run("what is classified as a load has the idempotency that it declares, if that is stricter", func(t *testing.T) {
		h := newHarness(t)
		h.settings.Workloads[0].Idempotency = decision.Deduplicated
		h.at(0).at(time.Second, classified(read("s"), decision.Classification{Workload: 1}))
		assert.Equal(t, decision.Deduplicated, h.module.statements["s"].idempotency)
	})
	t.Run("reads of any group that a load locks are not sent there", func(t *testing.T) {
		for _, c := range []struct {
			name   string
			others []decision.TableGroup
			sent   decision.EngineID
		}{{"named beside the first", []decision.TableGroup{9}, ""}, {"not named", nil, "a"}} {
			h := newHarness(t).at(0, ready("a"))
			load := write("load")
			load.TableGroup = 9
			h.at(time.Second, load)
			r := classified(read("r"), decision.Classification{Workload: 0, OtherTableGroups: c.others})
			r.TableGroup = 3
			assert.Equal(t, c.sent, h.at(time.Second+10*ms, r).sentTo(), c.name)
			// Another router's load, once the own one has finished.
			h.engine("a").recordLoad(9, h.module.now, h.module.now+time.Minute)
			h.at(2*time.Second, end("load", 0, "a", decision.Completed))
			r.Statement = "r2"
			assert.Equal(t, c.sent, h.at(2*time.Second+10*ms, r).sentTo(), c.name)
		}
	})
	t.Run("a lookup classified as a load locks its group", func(t *testing.T) {
		h := newHarness(t).at(0, ready("a"))
		ev := classified(read("w"), decision.Classification{Workload: 1, Writes: true})
		ev.TableGroup = 9
		assert.EqualValues(t, "a", h.at(time.Second, ev).sentTo())
		r := read("r")
		r.TableGroup = 9
		assert.Empty(t, h.at(time.Second+10*ms, r).sentTo())
	})
	t.Run("what is estimated of a statement teaches no workload", func(t *testing.T) {
		h := newHarness(t).at(0, ready("a")).at(time.Second, read("s"))
		before := h.module.workloads[0].meanWork
		h.at(2*time.Second, classified(read("s2"), decision.Classification{Workload: 0, EstimatedWork: time.Minute}))
		assert.Equal(t, before, h.module.workloads[0].meanWork)
	})
}
