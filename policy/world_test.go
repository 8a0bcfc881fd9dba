package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bankledge/decision"
)

// world is a fleet of routers, each an instance of the module, before engines that share their cores among what they run.
// It steps by 10 ms; statements come by chance from a seed. It shows what is harmless in one router and harmful in all.
type world struct {
	now     time.Duration
	chance  *rand.Rand
	routers []*worldRouter
	engines map[decision.EngineID]*worldEngine
	rate    float64 // statements a second and router
	tries   int     // further ones of a client whose statement was rejected

	firsts, completed, inTime, refused, calledOff int
}

type worldRouter struct {
	*bed
	inbox []decision.Event
	wake  time.Duration
	times float64 // of the mean traffic
	n     int
	good  int // answered in time
	open  map[decision.StatementID]decision.StatementArrived
	taken map[decision.StatementID]time.Duration // when its client came first
	left  map[decision.StatementID]int           // tries
	execs map[decision.StatementID]decision.AttemptID
	again []again
}

// again is a client that comes once more, with a new id.
type again struct {
	at    time.Duration
	s     decision.StatementArrived
	first time.Duration // when it came first
	left  int
}

type worldEngine struct {
	entry   decision.Endpoint
	cores   float64
	slow    float64 // times as long
	stuck   bool    // nothing ends there
	errs    bool    // errors at once
	errsOn  int     // workload that errs at once, less one; 0: none
	gone    bool    // takes no connection
	running []*worldRun
	sent    int
	work    []worldSent
}

type worldSent struct {
	at   time.Duration
	work float64
}

type worldRun struct {
	router  int
	s       decision.StatementArrived
	n       decision.AttemptID
	threads float64
	left    float64 // work, on one core
}

const worldStep = 10 * ms

func newWorld(b func() *bed, routers int, rate float64, engines ...*worldEngine) *world {
	w := &world{chance: rand.New(rand.NewPCG(7, 11)), engines: map[decision.EngineID]*worldEngine{}, rate: rate, now: time.Hour}
	list := decision.EndpointList{Kind: decision.ListComplete}
	for _, e := range engines {
		w.engines[e.entry.Engine] = e
		list.Endpoints = append(list.Endpoints, e.entry)
	}
	for i := range routers {
		r := &worldRouter{bed: b(), times: 1, open: map[decision.StatementID]decision.StatementArrived{},
			taken: map[decision.StatementID]time.Duration{}, left: map[decision.StatementID]int{}, execs: map[decision.StatementID]decision.AttemptID{}}
		r.me.Router, r.me.Seed = decision.RouterID(i), uint64(i+1)
		if r.me.Routers == 0 {
			r.me.Routers = routers
		}
		r.inbox = append(r.inbox, list)
		w.routers = append(w.routers, r)
	}
	return w
}

func (w *world) ids() (ids []decision.EngineID) {
	for id := range w.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// worldEngines are of eight cores each.
func worldEngines(n int) (list []*worldEngine) {
	for i := range n {
		list = append(list, &worldEngine{cores: 8, slow: 1, entry: decision.Endpoint{Engine: decision.EngineID(fmt.Sprintf("e%02d", i)), Zone: "z1", MachineType: "k8"}})
	}
	return list
}

// say has the settings of all routers name so many.
func (w *world) say(routers int) {
	for _, r := range w.routers {
		r.me.Routers = routers
	}
}

// restart has so many routers of ten start over: what they had taken is lost, what they had out is dropped.
func (w *world) restart(ofTen int) {
	list := decision.EndpointList{Kind: decision.ListPersisted}
	for _, id := range w.ids() {
		list.Endpoints = append(list.Endpoints, w.engines[id].entry)
	}
	for i, r := range w.routers {
		if i%10 < ofTen {
			for _, e := range w.engines {
				e.running = slices.DeleteFunc(e.running, func(x *worldRun) bool { return x.router == i })
			}
			clear(r.open)
			clear(r.taken)
			r.m, r.wake, r.inbox = nil, 0, []decision.Event{list}
		}
	}
}

// asked is how many statements have come.
func (w *world) asked() (n int) {
	for _, r := range w.routers {
		n += r.n
	}
	return n
}

// tell hands an event to all routers.
func (w *world) tell(ev decision.Event) {
	for _, r := range w.routers {
		r.inbox = append(r.inbox, ev)
	}
}

// run lets time pass.
func (w *world) run(d time.Duration) *world {
	for end := w.now + d; w.now < end; w.now += worldStep {
		for _, id := range w.ids() {
			w.work(w.engines[id])
		}
		for i, r := range w.routers {
			for next := w.chance.ExpFloat64() / (w.rate * r.times); next < worldStep.Seconds(); next += w.chance.ExpFloat64() / (w.rate * r.times) {
				w.arrive(i, r)
			}
			r.again = slices.DeleteFunc(r.again, func(a again) bool {
				if w.now < a.at {
					return false
				}
				a.s.Statement, a.s.ClientRetry = decision.StatementID(fmt.Sprintf("%d-%d-again", i, r.n)), true
				r.n++
				w.take(r, a.s, a.first, a.left)
				return true
			})
			if len(r.inbox) > 0 || r.wake > 0 && w.now >= r.wake {
				w.handle(i, r)
			}
		}
	}
	return w
}

func (w *world) arrive(i int, r *worldRouter) {
	s := decision.StatementArrived{Statement: decision.StatementID(fmt.Sprintf("%d-%d", i, r.n)), TimeBudget: 2500 * ms,
		TableGroup: decision.TableGroup(w.chance.IntN(40))}
	r.n++
	mean := 0.06
	if w.chance.Float64() < 0.15 {
		s.Workload, s.TimeBudget, mean = 1, 10*time.Second, 1.2
	}
	s.EstimatedWork = time.Duration((0.5 + w.chance.ExpFloat64()/2) * mean * float64(time.Second))
	w.firsts++
	w.take(r, s, w.now, w.tries)
}

func (w *world) take(r *worldRouter, s decision.StatementArrived, first time.Duration, left int) {
	r.open[s.Statement], r.taken[s.Statement], r.left[s.Statement] = s, first, left
	r.inbox = append(r.inbox, s)
}

func (w *world) handle(i int, r *worldRouter) {
	events := r.inbox
	r.inbox = nil
	if r.wake > 0 && w.now >= r.wake {
		r.wake, events = 0, append(events, decision.TimerFired{Token: "due"})
	}
	r.at(w.now, events...)
	for _, action := range r.out {
		switch a := action.(type) {
		case decision.SetTimer:
			r.wake = a.At
		case decision.Reject:
			w.refused++
			if s, left := r.open[a.Statement], r.left[a.Statement]; left > 0 {
				r.again = append(r.again, again{w.now + 150*ms, s, r.taken[a.Statement], left - 1})
			}
			w.over(r, a.Statement)
		case decision.Abort:
			w.refused++
			w.over(r, a.Statement)
		case decision.CancelAttempt:
			w.calledOff++
			for _, e := range w.engines {
				e.running = slices.DeleteFunc(e.running, func(x *worldRun) bool {
					gone := x.router == i && x.s.Statement == a.Statement && x.n == a.Attempt
					if gone {
						r.inbox = append(r.inbox, end(a.Statement, a.Attempt, e.entry.Engine, decision.Cancelled))
					}
					return gone
				})
			}
		case decision.StartAttempt:
			s, e := r.open[a.Statement], w.engines[a.Engine]
			n := r.execs[a.Statement]
			r.execs[a.Statement]++
			e.sent++
			e.work = append(e.work, worldSent{w.now, s.EstimatedWork.Seconds()})
			if e.gone {
				r.inbox = append(r.inbox, end(a.Statement, n, a.Engine, decision.ConnectFailed))
				continue
			}
			if e.errs || e.errsOn > 0 && int(s.Workload) == e.errsOn-1 {
				r.inbox = append(r.inbox, end(a.Statement, n, a.Engine, decision.Errored))
				continue
			}
			e.running = append(e.running, &worldRun{router: i, s: s, n: n, threads: float64(r.wlms[s.Workload].Threads), left: s.EstimatedWork.Seconds() * e.slow})
		}
	}
}

func (w *world) over(r *worldRouter, id decision.StatementID) {
	delete(r.open, id)
	delete(r.taken, id)
	delete(r.left, id)
}

// work runs an engine for a step: its cores are shared by threads, and as much again is lost beyond twice as many.
func (w *world) work(e *worldEngine) {
	threads := 0.0
	for _, x := range e.running {
		threads += x.threads
	}
	speed := min(1, e.cores/threads) * min(1, 2*e.cores/threads)
	if age := w.now - e.entry.StartedAt; e.entry.StartedAt > 0 && age < 15*time.Second {
		speed *= warmth(age)
	}
	if e.stuck {
		return
	}
	e.running = slices.DeleteFunc(e.running, func(x *worldRun) bool {
		if x.left -= x.threads * speed * worldStep.Seconds(); x.left > 0 {
			return false
		}
		r, report := w.routers[x.router], &decision.LoadReport{}
		report.Value[decision.FieldInFlight], report.Known[decision.FieldInFlight] = float64(len(e.running)-1), true
		report.Value[decision.FieldUtilisation], report.Known[decision.FieldUtilisation] = min(1, threads/e.cores), true
		ended := end(x.s.Statement, x.n, e.entry.Engine, decision.Completed)
		_, ended.Finished = r.open[x.s.Statement]
		ended.Report = report
		r.inbox = append(r.inbox, ended)
		if ended.Finished {
			w.completed++
			if w.now-r.taken[x.s.Statement] < r.wlms[x.s.Workload].LatencyObjective {
				w.inTime++
				r.good++
			}
			w.over(r, x.s.Statement)
		}
		return true
	})
}

// most is the most work that an engine was sent in any window so long, as a share of what it bears then, and sum is all of it.
func (e *worldEngine) most(window time.Duration, multiple float64) (most, sum float64) {
	for i, from := range e.work {
		in := 0.0
		for _, s := range e.work[i:] {
			if s.at >= from.at+window {
				break
			}
			in += s.work
		}
		bears := multiple * e.cores * window.Seconds() * warmth(from.at-e.entry.StartedAt)
		most, sum = max(most, in/bears), sum+from.work
	}
	return most, sum
}

// warmth is the share of its capacity that an engine of this age has.
func warmth(age time.Duration) float64 { return min(1, 0.3+0.7*age.Seconds()/15) }
