package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bankledge/decision"
)

// The classification of a statement determines the resources that it is expected to use, and relaxes no rule.
func TestClassification(t *testing.T) {
	classified := func(ev decision.StatementArrived, classification decision.Classification) decision.StatementArrived {
		ev.Classification = &classification
		return ev
	}
	t.Run("same classification as declared changes nothing", func(t *testing.T) {
		plain := newHarness(t).at(0, ready("a", "b")).at(time.Second, read("s")).actions
		asDeclared := classified(read("s"), decision.Classification{Workload: 0})
		same := newHarness(t).at(0, ready("a", "b")).at(time.Second, asDeclared).actions
		assert.Equal(t, plain, same)
	})
	t.Run("windows, threads and memory are those of the classified workload", func(t *testing.T) {
		h := newHarness(t).at(0, ready("a")).at(time.Second, classified(read("s"), decision.Classification{
			Workload:          1,
			EstimatedWork:     2 * time.Second,
			EstimatedMemoryMB: 70,
		}))
		e := h.engine("a")
		assert.Equal(t, 0, e.windows[0].inFlight)
		assert.Equal(t, 1, e.windows[1].inFlight)
		assert.Equal(t, 2, e.threads)
		assert.Equal(t, 70.0*initialMemoryFactor, e.memoryInFlight)
		h.at(2*time.Second, end("s", 0, "a", decision.Completed))
		assert.Equal(t, []any{0, 0, 0.0}, []any{e.windows[1].inFlight, e.threads, e.memoryInFlight}, "released at the end")
	})
	t.Run("declaring another workload improves neither priority nor deadline", func(t *testing.T) {
		h := newHarness(t).at(0).at(time.Second, read("light"),
			classified(read("heavy"), decision.Classification{Workload: 1, EstimatedWork: 4 * time.Second}),
			classified(write("claims"), decision.Classification{Workload: 0, EstimatedWork: 100 * ms}))
		heavy, claims := h.module.statements["heavy"], h.module.statements["claims"]
		assert.Less(t, h.value("heavy"), h.value("light"))
		assert.Equal(t, h.value("light"), h.value("claims"), "the lower priority weight of the two")
		assert.Equal(t, time.Second+4*time.Second, heavy.deadline, "the statement timeout stays")
		assert.Equal(t, decision.NonIdempotent, claims.idempotency)
	})
	t.Run("a write declared in an idempotent workload runs once", func(t *testing.T) {
		writes := classified(read("s"), decision.Classification{Workload: 0, Writes: true})
		h := newHarness(t).at(0, ready("a", "b")).at(time.Second, writes)
		on := h.sentTo()
		h.at(time.Second+100*ms, end("s", 0, on, decision.ConnectionReset))
		assert.Empty(t, h.sentTo())
		assert.Empty(t, pick[decision.Reject](h), "a rejection would tell the client that a retry is harmless")
		assert.Len(t, pick[decision.Abort](h), 1)
	})
	t.Run("classification as a bulk load keeps the declared idempotency if that is stricter", func(t *testing.T) {
		h := newHarness(t)
		h.settings.Workloads[0].Idempotency = decision.Deduplicated
		h.at(0).at(time.Second, classified(read("s"), decision.Classification{Workload: 1}))
		assert.Equal(t, decision.Deduplicated, h.module.statements["s"].idempotency)
	})
	t.Run("reads of a table group locked by a bulk load are not sent to its engine", func(t *testing.T) {
		for _, c := range []struct {
			name   string
			others []decision.TableGroup
			sent   decision.EngineID
		}{{"group is one of the other table groups", []decision.TableGroup{9}, ""}, {"group is not used", nil, "a"}} {
			h := newHarness(t).at(0, ready("a"))
			load := write("load")
			load.TableGroup = 9
			h.at(time.Second, load)
			r := classified(read("r"), decision.Classification{Workload: 0, OtherTableGroups: c.others})
			r.TableGroup = 3
			assert.Equal(t, c.sent, h.at(time.Second+10*ms, r).sentTo(), c.name)
			// Another router's bulk load, after the one of this router has finished.
			h.engine("a").recordBulkLoad(9, h.module.now, h.module.now+time.Minute)
			h.at(2*time.Second, end("load", 0, "a", decision.Completed))
			r.Statement = "r2"
			assert.Equal(t, c.sent, h.at(2*time.Second+10*ms, r).sentTo(), c.name)
		}
	})
	t.Run("a lookup classified as a bulk load locks its table group", func(t *testing.T) {
		h := newHarness(t).at(0, ready("a"))
		ev := classified(read("w"), decision.Classification{Workload: 1, Writes: true})
		ev.TableGroup = 9
		assert.EqualValues(t, "a", h.at(time.Second, ev).sentTo())
		r := read("r")
		r.TableGroup = 9
		assert.Empty(t, h.at(time.Second+10*ms, r).sentTo())
	})
	t.Run("an estimate of the classification does not change the workload's mean work", func(t *testing.T) {
		h := newHarness(t).at(0, ready("a")).at(time.Second, read("s"))
		before := h.module.workloads[0].meanWork
		h.at(2*time.Second, classified(read("s2"), decision.Classification{Workload: 0, EstimatedWork: time.Minute}))
		assert.Equal(t, before, h.module.workloads[0].meanWork)
	})
}
