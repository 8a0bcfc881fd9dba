package policy

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bankledge/decision"
)

const (
	simulationStep  = 10 * ms
	clientRetryWait = 150 * ms // delay before a client retries a rejected statement
	reportShare     = 0.15     // share of statements in the second workload
	meanReadWork    = 0.06     // seconds on one thread
	meanReportWork  = 1.2
)

// simulatedFleet is a fleet of routers, each with its own module, that send to shared engines. Statements arrive at
// random from a seed. It shows effects that are harmless in a single router but harmful in all of them together.
type simulatedFleet struct {
	now           time.Duration
	random        *rand.Rand
	routers       []*simulatedRouter
	engines       map[decision.EngineID]*simulatedEngine
	rate          float64 // statements per second and router
	clientRetries int     // of a client whose statement was rejected

	firstSends int // statements, without client retries
	completed  int
	inTime     int // completed within the objective
	rejected   int // or aborted
	cancelled  int // attempts
}

// simulatedRouter is one router with its open statements.
type simulatedRouter struct {
	*harness
	inbox       []decision.Event
	timerAt     time.Duration
	trafficRate float64 // relative to the mean
	arrivals    int
	inTime      int
	open        map[decision.StatementID]*simulatedStatement
	attempts    map[decision.StatementID]decision.AttemptID // next number
	retries     []*simulatedStatement                       // client retries to come
}

// simulatedStatement is a statement with the remaining retries of its client.
type simulatedStatement struct {
	event       decision.StatementArrived
	firstSentAt time.Duration // by its client
	retriesLeft int
	retryAt     time.Duration
}

// newSimulatedFleet returns a fleet whose routers know the engines. Settings without a number of routers get the actual
// one.
func newSimulatedFleet(
	newHarness func() *harness, routers int, rate float64, engines ...*simulatedEngine,
) *simulatedFleet {
	f := &simulatedFleet{
		random:  rand.New(rand.NewPCG(7, 11)),
		engines: map[decision.EngineID]*simulatedEngine{},
		rate:    rate,
		now:     time.Hour,
	}
	list := decision.EndpointList{Kind: decision.ListComplete}
	for _, e := range engines {
		f.engines[e.endpoint.Engine] = e
		list.Endpoints = append(list.Endpoints, e.endpoint)
	}
	for i := range routers {
		r := &simulatedRouter{
			harness:     newHarness(),
			trafficRate: 1,
			open:        map[decision.StatementID]*simulatedStatement{},
			attempts:    map[decision.StatementID]decision.AttemptID{},
			inbox:       []decision.Event{list},
		}
		r.settings.Identity.Router = decision.RouterID(i)
		r.settings.Identity.Seed = uint64(i + 1)
		if r.settings.Identity.Routers == 0 {
			r.settings.Identity.Routers = routers
		}
		f.routers = append(f.routers, r)
	}
	return f
}

// engineIDs returns the sorted IDs of the engines.
func (f *simulatedFleet) engineIDs() []decision.EngineID { return slices.Sorted(maps.Keys(f.engines)) }

// setRouterCount sets the number of routers in the settings of all routers.
func (f *simulatedFleet) setRouterCount(routers int) {
	for _, r := range f.routers {
		r.settings.Identity.Routers = routers
	}
}

// restart restarts this many out of every ten routers. Their queued statements and attempts are dropped.
func (f *simulatedFleet) restart(ofTen int) {
	list := decision.EndpointList{Kind: decision.ListPersisted}
	for _, id := range f.engineIDs() {
		list.Endpoints = append(list.Endpoints, f.engines[id].endpoint)
	}
	for i, r := range f.routers {
		if i%10 >= ofTen {
			continue
		}
		for _, e := range f.engines {
			e.running = slices.DeleteFunc(e.running, func(a *simulatedAttempt) bool { return a.router == i })
		}
		clear(r.open)
		r.module = nil
		r.timerAt = 0
		r.inbox = []decision.Event{list}
	}
}

// arrivals returns the number of statements that have arrived.
func (f *simulatedFleet) arrivals() int {
	total := 0
	for _, r := range f.routers {
		total += r.arrivals
	}
	return total
}

// notify sends an event to all routers.
func (f *simulatedFleet) notify(event decision.Event) {
	for _, r := range f.routers {
		r.inbox = append(r.inbox, event)
	}
}

// run advances the clock by d.
func (f *simulatedFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += simulationStep {
		for _, id := range f.engineIDs() {
			f.runEngine(f.engines[id])
		}
		for i, r := range f.routers {
			f.receive(i, r)
			if len(r.inbox) > 0 || r.timerAt > 0 && f.now >= r.timerAt {
				f.handle(i, r)
			}
		}
	}
}

// inTimeShare advances the clock by d, and returns the share of the statements first sent in that time that complete in
// time.
func (f *simulatedFleet) inTimeShare(d time.Duration) float64 {
	sends, inTime := f.firstSends, f.inTime
	f.run(d)
	return float64(f.inTime-inTime) / float64(f.firstSends-sends)
}

// receive adds the statements and client retries that arrive at a router in one step.
func (f *simulatedFleet) receive(i int, r *simulatedRouter) {
	gap := func() float64 { return f.random.ExpFloat64() / (f.rate * r.trafficRate) }
	for next := gap(); next < simulationStep.Seconds(); next += gap() {
		f.arrive(i, r)
	}
	r.retries = slices.DeleteFunc(r.retries, func(s *simulatedStatement) bool {
		if f.now < s.retryAt {
			return false
		}
		s.event.Statement = decision.StatementID(fmt.Sprintf("%d-%d-again", i, r.arrivals))
		s.event.ClientRetry = true
		r.arrivals++
		r.send(s)
		return true
	})
}

func (f *simulatedFleet) arrive(i int, r *simulatedRouter) {
	event := decision.StatementArrived{
		Statement:  decision.StatementID(fmt.Sprintf("%d-%d", i, r.arrivals)),
		TimeBudget: 2500 * ms,
		TableGroup: decision.TableGroup(f.random.IntN(40)),
	}
	r.arrivals++
	meanWork := meanReadWork
	if f.random.Float64() < reportShare {
		event.Workload = 1
		event.TimeBudget = 10 * time.Second
		meanWork = meanReportWork
	}
	event.EstimatedWork = time.Duration((0.5 + f.random.ExpFloat64()/2) * meanWork * float64(time.Second))
	f.firstSends++
	r.send(&simulatedStatement{event: event, firstSentAt: f.now, retriesLeft: f.clientRetries})
}

func (r *simulatedRouter) send(s *simulatedStatement) {
	r.open[s.event.Statement] = s
	r.inbox = append(r.inbox, s.event)
}

// handle passes a router's pending events to its module, and carries out the actions.
func (f *simulatedFleet) handle(i int, r *simulatedRouter) {
	events := r.inbox
	r.inbox = nil
	if r.timerAt > 0 && f.now >= r.timerAt {
		r.timerAt = 0
		events = append(events, decision.TimerFired{Token: timerToken})
	}
	r.at(f.now, events...)
	for _, action := range r.actions {
		switch a := action.(type) {
		case decision.SetTimer:
			r.timerAt = a.At
		case decision.Reject:
			f.reject(r, a.Statement)
		case decision.Abort:
			f.rejected++
			delete(r.open, a.Statement)
		case decision.CancelAttempt:
			f.cancel(i, r, a)
		case decision.StartAttempt:
			f.start(i, r, a)
		}
	}
}

// reject schedules a retry by the client, if it has any left.
func (f *simulatedFleet) reject(r *simulatedRouter, id decision.StatementID) {
	f.rejected++
	s := r.open[id]
	delete(r.open, id)
	if s == nil || s.retriesLeft == 0 {
		return
	}
	retry := *s
	retry.retriesLeft--
	retry.retryAt = f.now + clientRetryWait
	r.retries = append(r.retries, &retry)
}

func (f *simulatedFleet) cancel(i int, r *simulatedRouter, a decision.CancelAttempt) {
	f.cancelled++
	for _, e := range f.engines {
		e.running = slices.DeleteFunc(e.running, func(x *simulatedAttempt) bool {
			if x.router != i || x.statement.Statement != a.Statement || x.number != a.Attempt {
				return false
			}
			r.inbox = append(r.inbox, end(a.Statement, a.Attempt, e.endpoint.Engine, decision.Cancelled))
			return true
		})
	}
}

func (f *simulatedFleet) start(i int, r *simulatedRouter, a decision.StartAttempt) {
	statement, e := r.open[a.Statement].event, f.engines[a.Engine]
	number := r.attempts[a.Statement]
	r.attempts[a.Statement]++
	e.sent = append(e.sent, sentWork{f.now, statement.EstimatedWork.Seconds()})
	if outcome, fails := e.failure(statement.Workload); fails {
		r.inbox = append(r.inbox, end(a.Statement, number, a.Engine, outcome))
		return
	}
	e.running = append(e.running, &simulatedAttempt{
		router:    i,
		statement: statement,
		number:    number,
		threads:   float64(r.settings.Workloads[statement.Workload].Threads),
		remaining: statement.EstimatedWork.Seconds() * e.slowness,
	})
}

// runEngine advances an engine by one step, and notifies the routers of completed attempts.
func (f *simulatedFleet) runEngine(e *simulatedEngine) {
	if e.hangs {
		return
	}
	threads := e.threads()
	speed := e.speed(threads, f.now)
	e.running = slices.DeleteFunc(e.running, func(a *simulatedAttempt) bool {
		a.remaining -= a.threads * speed * simulationStep.Seconds()
		if a.remaining > 0 {
			return false
		}
		f.complete(e, a, min(1, threads/e.cores))
		return true
	})
}

func (f *simulatedFleet) complete(e *simulatedEngine, a *simulatedAttempt, utilization float64) {
	r := f.routers[a.router]
	ended := end(a.statement.Statement, a.number, e.endpoint.Engine, decision.Completed)
	ended.Report = inFlightReport(float64(len(e.running) - 1))
	ended.Report.Set(decision.FieldUtilization, utilization)
	s := r.open[a.statement.Statement]
	ended.StatementFinished = s != nil
	r.inbox = append(r.inbox, ended)
	if s == nil {
		return
	}
	f.completed++
	if f.now-s.firstSentAt < r.settings.Workloads[a.statement.Workload].LatencyObjective {
		f.inTime++
		r.inTime++
	}
	delete(r.open, a.statement.Statement)
}

// fleetHarness returns a constructor of harnesses with the settings of a large deployment.
func fleetHarness(t *testing.T) func() *harness {
	t.Helper()
	return func() *harness {
		h := newHarness(t)
		h.settings.Identity.Routers = 0
		h.settings.Rules.SlowStartMultiple = 4
		h.settings.Engines.ProgressInterval = 300 * ms
		h.settings.Workloads[0].LatencyObjective = 500 * ms
		h.settings.Workloads[0].StatementTimeout = 2500 * ms
		h.settings.Workloads[0].WaitsForBulkLoads = false
		h.settings.Workloads[1] = decision.Workload{Name: "report", PriorityWeight: 7.5, LatencyObjective: 3 * time.Second,
			ObjectiveStretch: 2, LateFactor: 0.3, StatementTimeout: 10 * time.Second, Threads: 2}
		return h
	}
}
