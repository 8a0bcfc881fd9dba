package simulation

import (
	"encoding/json"
	"fmt"
	"time"

	"bankledge/internal/configregister"
	"bankledge/internal/lease"
	"bankledge/internal/replica"
	"bankledge/internal/rules"
)

// quiet is when nothing fails any more and nobody proposes anything new.
func (w *world) quiet() time.Duration { return w.SimulatedTime * 6 / 10 }

// operators propose versions: what tightens, what loosens, what does both; one at a time or each 20 ms.
func (w *world) operators() {
	r := ownRules(w.Routers)
	r.SlowStartMultiple, r.SlowStartShare, r.HealthChecksPerStatement, r.RetryBudgetShare, r.WarmAfterMillis, r.KeyQuietPeriodMillis, r.RetryBudgetWindowMillis = 2, 0.2, 1, 0.2, 20000, 5000, 5000
	r.Engines = map[string]rules.Engine{}
	for i := range 8 {
		r.Engines[fmt.Sprint("e", i)] = rules.Engine{Phase: rules.Active, Address: fmt.Sprint("e:", i), Kind: "k"}
	}
	next := 0
	every := []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second}[w.chance.IntN(4)]
	var propose func()
	propose = func() {
		if w.now > w.quiet() {
			return
		}
		w.change(r)
		raw := r.Canonical()
		next++
		w.propose(fmt.Sprint("p", next), configregister.Entry{Kind: configregister.EntryPropose, Rules: json.RawMessage(raw), ForcedGuards: []string{"share-of-engines", "floor", "all-engines", "nothing-in-between"}}, w.now, 0)
		w.after(w.uniform(every/2, 2*every), propose)
	}
	w.at(600*time.Millisecond, propose)
}

// change changes one or two things, up or down.
func (w *world) change(r *rules.Rules) {
	for range 1 + w.chance.IntN(2) {
		up := w.chance.IntN(2) == 0
		scale := 0.8
		if up {
			scale = 1.25
		}
		switch w.chance.IntN(6) {
		case 0:
			r.SlowStartMultiple = min(20, max(1.1, r.SlowStartMultiple*scale))
		case 1:
			r.RetryBudgetShare = min(5, max(0.11, r.RetryBudgetShare*scale))
		case 2:
			r.HealthChecksPerStatement = min(50, max(0.6, r.HealthChecksPerStatement*scale))
		case 3:
			r.WarmAfterMillis = min(29000, max(1000, int64(float64(r.WarmAfterMillis)*scale)))
		default:
			id := fmt.Sprint("e", w.chance.IntN(8))
			e, there := r.Engines[id]
			switch {
			case !there:
				w.seq++
				r.Engines[id] = rules.Engine{Phase: rules.Active, Address: fmt.Sprintf("e:%d", w.seq), Kind: "k"}
			case e.Phase == rules.Active:
				e.Phase = rules.Draining
				r.Engines[id] = e
			default:
				delete(r.Engines, id)
			}
		}
	}
	if err := r.Validate(); err != nil {
		panic(err)
	}
}

// propose hands a proposal to some process, and again to another one as long as there is no outcome.
func (w *world) propose(id string, e configregister.Entry, began time.Duration, try int) {
	e.ID = id
	p := w.procs[w.chance.IntN(w.Processes)]
	for _, q := range w.procs { // an operator asks who leads
		if q.up && !q.stopped && q.seat.IsLeader() {
			p = q
		}
	}
	w.audit.wanted(w, id, began)
	answered := false
	again := func() {
		if !answered && try < 12 && w.now < w.quiet()+2*time.Second {
			answered = true
			w.propose(id, e, began, try+1)
		}
	}
	w.after(1500*time.Millisecond, again)
	p.handle(p.life, func() {
		p.call++
		p.calls[p.call] = call{told: func(o configregister.Outcome) {
			if o.Number > 0 {
				answered = true
				w.audit.accepted(w, o)
			} else if o.Error != lease.ErrNotLeader.Error() {
				answered = true
			}
		}}
		p.step(replica.LeaseRequest{Event: lease.ProposalReceived{CallID: p.call, Entry: e}})
	})
}

// faults draws what befalls whom when. All is whole again in the last quarter.
func (w *world) faults() {
	quiet := w.quiet()
	some := func() *router { return w.routes[w.chance.IntN(len(w.routes))] }
	proc := func() *process { return w.procs[w.chance.IntN(len(w.procs))] }
	if w.chance.IntN(3) == 0 {
		w.at(w.uniform(0, quiet), func() { w.slow = w.uniform(0, 300*time.Millisecond) })
		w.at(quiet, func() { w.slow = 0 })
	}
	for range 3 + w.chance.IntN(10) {
		at := w.uniform(time.Second, quiet)
		long := min(w.uniform(50*time.Millisecond, 4*time.Second), quiet-at)
		switch w.chance.IntN(9) {
		case 0, 1: // a router is cut off from some of the group, one way or both
			r, way := some(), w.chance.IntN(3)
			all := w.chance.IntN(2) == 0
			for _, p := range w.procs {
				if !all && w.chance.IntN(2) == 0 {
					continue
				}
				w.both(at, long, r.id, p.id, way)
			}
		case 2: // the group in two halves, routers on both sides
			for i, p := range w.procs {
				for j, q := range w.procs {
					if i < w.Processes/2 && j >= w.Processes/2 {
						w.both(at, long, p.id, q.id, w.chance.IntN(3))
					}
				}
			}
			for _, r := range w.routes {
				side := w.chance.IntN(3)
				for i, p := range w.procs {
					if side == 0 && i < w.Processes/2 || side == 1 && i >= w.Processes/2 {
						w.both(at, long, r.id, p.id, 2)
					}
				}
			}
		case 3: // a process is stopped and woken
			p := proc()
			w.at(at, func() { p.stop(); w.note("stop %d", p.id) })
			w.at(at+long, func() { p.wake(); w.note("wake %d", p.id) })
		case 4: // the leader
			w.at(at, func() {
				for _, p := range w.procs {
					if p.up && p.seat.IsLeader() && !p.stopped {
						p.stop()
						w.note("stop leader %d", p.id)
						w.after(long, func() { p.wake(); w.note("wake %d", p.id) })
						return
					}
				}
			})
		case 5: // a process crashes at one of its next saves, or at once
			p := proc()
			if n := w.chance.IntN(4); n > 0 {
				w.at(at, func() { p.crash = n })
				continue
			}
			w.at(at, func() {
				if p.up {
					w.note("kill %d", p.id)
					p.kill()
					w.after(long, func() {
						if !p.up {
							p.start()
						}
					})
				}
			})
		case 6, 7: // a router is stopped across versions, and woken
			r := some()
			w.at(at, func() { r.stop(); w.note("stop router %d", r.id) })
			w.at(at+long, func() { r.wake(); w.note("wake router %d", r.id) })
		case 8: // a router is killed, and comes back with nothing under its name
			r := some()
			w.at(at, func() {
				if r.up {
					r.kill()
					w.note("kill router %d", r.id)
					w.after(w.uniform(0, long), r.start)
				}
			})
		}
	}
}

// both cuts a link one way, the other or both, for a while.
func (w *world) both(at, long time.Duration, a, b, way int) {
	for _, link := range [][2]int{{a, b}, {b, a}} {
		if way == 0 && link[0] != a || way == 1 && link[0] != b {
			continue
		}
		w.at(at, func() { w.sever(link[0], link[1], true); w.note("cut %v", link) })
		w.at(at+long, func() { w.sever(link[0], link[1], false); w.note("whole %v", link) })
	}
}
