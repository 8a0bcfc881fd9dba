package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bankledge/decision"
)

// What a statement is held to be moves what it takes, and loosens nothing.
func TestLooks(t *testing.T) {
	looking := func(ev decision.StatementArrived, looks decision.Classification) decision.StatementArrived {
		ev.Classification = &looks
		return ev
	}
	t.Run("as declared, it changes nothing", func(t *testing.T) {
		plain := newBed(t).at(0, ready("a", "b")).at(time.Second, read("s")).out
		same := newBed(t).at(0, ready("a", "b")).at(time.Second, looking(read("s"), decision.Classification{Workload: 0})).out
		assert.Equal(t, plain, same)
	})
	t.Run("windows, threads and memory are those of what it is held to be", func(t *testing.T) {
		b := newBed(t).at(0, ready("a")).at(time.Second, looking(read("s"), decision.Classification{Workload: 1, EstimatedWork: 2 * time.Second, EstimatedMemoryMB: 70}))
		e := b.m.endpoints.find("a")
		assert.Equal(t, []any{0, 1, 2, 70.0 * firstMemoryFactor}, []any{e.windows[0].inFlight, e.windows[1].inFlight, e.threads, e.memoryInFlight})
		b.at(2*time.Second, end("s", 0, "a", decision.Completed))
		assert.Equal(t, []any{0, 0, 0.0}, []any{e.windows[1].inFlight, e.threads, e.memoryInFlight}, "given back")
	})
	t.Run("a wrong label wins neither importance nor patience", func(t *testing.T) {
		b := newBed(t).at(0).at(time.Second, read("light"), looking(read("heavy"), decision.Classification{Workload: 1, EstimatedWork: 4 * time.Second}),
			looking(write("claims"), decision.Classification{Workload: 0, EstimatedWork: 100 * ms}))
		heavy, claims := b.m.statements["heavy"], b.m.statements["claims"]
		assert.Less(t, b.m.priorities.value(heavy, b.m.now), b.m.priorities.value(b.m.statements["light"], b.m.now))
		assert.Equal(t, b.m.priorities.value(b.m.statements["light"], b.m.now), b.m.priorities.value(claims, b.m.now), "importance is the lower of the two")
		assert.Equal(t, time.Second+4*time.Second, heavy.deadline, "the statement timeout stays")
		assert.Equal(t, decision.NonIdempotent, claims.idempotency)
	})
	t.Run("what writes under a label that is idempotent runs once", func(t *testing.T) {
		b := newBed(t).at(0, ready("a", "b")).at(time.Second, looking(read("s"), decision.Classification{Workload: 0, Writes: true}))
		on := b.sentTo()
		b.at(time.Second+100*ms, end("s", 0, on, decision.ConnectionReset))
		assert.Empty(t, b.sentTo())
		assert.Empty(t, pick[decision.Reject](b), "a rejection would say that trying again is harmless")
		assert.Len(t, pick[decision.Abort](b), 1)
	})
	t.Run("what looks like a load keeps the effect that it declares, if that is stricter than none", func(t *testing.T) {
		b := newBed(t)
		b.wlms[0].Idempotency = decision.Deduplicated
		b.at(0).at(time.Second, looking(read("s"), decision.Classification{Workload: 1}))
		assert.Equal(t, decision.Deduplicated, b.m.statements["s"].idempotency)
	})
	t.Run("reads of any group that a load holds keep off", func(t *testing.T) {
		for _, c := range []struct {
			name   string
			others []decision.TableGroup
			sent   decision.EngineID
		}{{"named beside the first", []decision.TableGroup{9}, ""}, {"not named", nil, "a"}} {
			b := newBed(t).at(0, ready("a"))
			load := write("load")
			load.TableGroup = 9
			b.at(time.Second, load)
			r := looking(read("r"), decision.Classification{Workload: 0, OtherTableGroups: c.others})
			r.TableGroup = 3
			assert.Equal(t, c.sent, b.at(time.Second+10*ms, r).sentTo(), c.name)
			b.m.endpoints.find("a").noteLoad(9, b.m.now, b.m.now+time.Minute) // another router's load, once the own one is over
			b.at(2*time.Second, end("load", 0, "a", decision.Completed))
			r.Statement = "r2"
			assert.Equal(t, c.sent, b.at(2*time.Second+10*ms, r).sentTo(), c.name)
		}
	})
	t.Run("a lookup treated as a load holds its group", func(t *testing.T) {
		b := newBed(t).at(0, ready("a"))
		ev := looking(read("w"), decision.Classification{Workload: 1, Writes: true})
		ev.TableGroup = 9
		assert.EqualValues(t, "a", b.at(time.Second, ev).sentTo())
		r := read("r")
		r.TableGroup = 9
		assert.Empty(t, b.at(time.Second+10*ms, r).sentTo())
	})
	t.Run("what is held of a statement teaches no workload", func(t *testing.T) {
		b := newBed(t).at(0, ready("a")).at(time.Second, read("s"))
		before := b.m.workloads[0].meanWork
		b.at(2*time.Second, looking(read("s2"), decision.Classification{Workload: 0, EstimatedWork: time.Minute}))
		assert.Equal(t, before, b.m.workloads[0].meanWork)
	})
}

// Statements whose client takes nothing in are not sent; their time runs on, and an answer that nobody waits for ends them.
func TestClientReads(t *testing.T) {
	reads := func(r, gone bool) decision.ClientReadStateChanged {
		return decision.ClientReadStateChanged{Statements: []decision.StatementID{"s", "none"}, Reading: r, Disconnected: gone}
	}
	b := newBed(t).at(0).at(time.Second, read("s")).at(time.Second+ms, reads(false, false), ready("a"))
	assert.Empty(t, b.sentTo())
	assert.Empty(t, b.m.queue.waiting, "held apart")
	assert.Equal(t, decision.EngineID("a"), b.at(1500*ms, reads(true, false)).sentTo())
	b.at(1501*ms, reads(false, true))
	assert.Len(t, pick[decision.CancelAttempt](b), 1, "nobody waits any more")
	assert.Empty(t, b.m.statements)
	b = newBed(t).at(0).at(time.Second, read("s")).at(time.Second+ms, reads(false, false), ready("a"))
	assert.Len(t, pick[decision.Reject](b.at(6*time.Second)), 1, "its time is up, and it never ran")
}
