package policy_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bankledge/decision"
	"bankledge/internal/settings"
	"bankledge/policy"
)

const (
	ms = time.Millisecond

	clockStart      = time.Hour // of the module's clock: engines without a start time have run for long
	meanArrivalRate = 45.0      // statements a second
	tableGroups     = 24
	stopTime        = 2 * time.Second // from the notice of a stop until the router starts again
)

// generatedSite drives one module: it draws what happens from a seed, carries out the actions as engines that may
// fail would, and hands their consequences back as events. Equal actions give an equal stream.
type generatedSite struct {
	opening *settings.ModuleSettings
	random  *rand.Rand
	record  *actionRecord
	module  *policy.Module
	now     time.Duration
	queue   scheduledEvents
	seq     int
	events  int // handed to the module

	incarnation int // starts of the module; what was scheduled for an earlier one is void
	timer       int // the timer set last; earlier ones are replaced
	statements  int
	open        map[decision.StatementID]*generatedStatement
	attempts    map[attemptKey]*generatedAttempt // without an outcome
	engines     map[decision.EngineID]*generatedEngine
	engineCount int
	listVersion int64
	rate        float64 // of the mean arrival rate
}

type generatedStatement struct {
	event    decision.StatementArrived
	attempts int
}

type attemptKey struct {
	statement decision.StatementID
	attempt   decision.AttemptID
}

type generatedAttempt struct {
	engine  *generatedEngine
	threads float64
}

// fault is what is wrong with an engine.
type fault int

const (
	healthy fault = iota
	slow
	silent
	erring
	refusing
	full
	resetting
	flaky
	numFaults
)

type generatedEngine struct {
	entry   decision.Endpoint
	cores   float64
	running int
	others  float64 // statements of other routers there
	fault   fault
}

// scheduled is something that happens at a time; do returns the events that the module is told.
type scheduled struct {
	at          time.Duration
	seq         int
	incarnation int // -1: of any
	do          func() []decision.Event
}

type scheduledEvents []scheduled

func (s scheduledEvents) Len() int { return len(s) }
func (s scheduledEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(s[i].at, s[j].at), cmp.Compare(s[i].seq, s[j].seq)) < 0
}
func (s scheduledEvents) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *scheduledEvents) Push(x any)   { *s = append(*s, x.(scheduled)) }
func (s *scheduledEvents) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

func newGeneratedSite(opening *settings.ModuleSettings, seed uint64, record *actionRecord) *generatedSite {
	s := &generatedSite{opening: opening, random: rand.New(rand.NewPCG(seed, 17)), record: record, now: clockStart,
		engines: map[decision.EngineID]*generatedEngine{}, rate: 0.5}
	for range 7 {
		s.addEngine()
	}
	s.restart()
	s.always(0, s.arrive)
	s.always(5*time.Second, s.changeRate)
	s.always(time.Second, s.changeFault)
	s.always(3*time.Second, s.changeList)
	s.always(8*time.Second, s.changeRules)
	s.always(700*ms, s.clientEvent)
	s.always(37*time.Second, s.stop)
	return s
}

// schedule has something happen to this incarnation of the module.
func (s *generatedSite) schedule(after time.Duration, do func() []decision.Event) {
	s.seq++
	heap.Push(&s.queue, scheduled{s.now + after, s.seq, s.incarnation, do})
}

// always has something happen for the first time after so long; it schedules itself again.
func (s *generatedSite) always(after time.Duration, do func() []decision.Event) {
	s.seq++
	heap.Push(&s.queue, scheduled{s.now + after, s.seq, -1, do})
}

// run lets time pass. What comes within a millisecond is told in one call.
func (s *generatedSite) run(duration time.Duration) {
	for end := s.now + duration; s.queue[0].at < end; {
		s.now = max(s.now, s.queue[0].at)
		var events []decision.Event
		for s.queue[0].at <= s.now+ms/2 {
			next := heap.Pop(&s.queue).(scheduled)
			if next.incarnation >= 0 && next.incarnation != s.incarnation {
				continue
			}
			incarnation := s.incarnation
			happened := next.do()
			if s.incarnation != incarnation { // what had come in this call is lost with the old module
				events = nil
			}
			events = append(events, happened...)
		}
		if len(events) > 0 {
			s.handle(events)
		}
	}
}

func (s *generatedSite) handle(events []decision.Event) {
	s.events += len(events)
	actions := s.module.Handle(s.now, events)
	s.record.add(s.now, actions)
	for _, action := range actions {
		s.carryOut(action)
	}
}

func (s *generatedSite) carryOut(action decision.Action) {
	switch a := action.(type) {
	case decision.StartAttempt:
		s.startAttempt(a)
	case decision.CancelAttempt:
		key := attemptKey{a.Statement, a.Attempt}
		s.schedule(s.between(0, 3*ms), func() []decision.Event { return s.end(key, decision.Cancelled) })
	case decision.Reject:
		delete(s.open, a.Statement)
	case decision.Abort:
		delete(s.open, a.Statement)
	case decision.HealthCheck:
		s.probe(a.Engine)
	case decision.SetTimer:
		s.timer++
		timer := s.timer
		s.schedule(max(0, a.At-s.now)+s.between(0, s.opening.Identity.ClockGranularity), func() []decision.Event {
			if timer != s.timer {
				return nil
			}
			return []decision.Event{decision.TimerFired{Token: a.Token}}
		})
	case decision.WatchEndpoints:
		s.schedule(s.between(ms, 50*ms), func() []decision.Event {
			if s.chance(0.5) {
				return []decision.Event{decision.EndpointList{Kind: decision.ListFailed}}
			}
			return []decision.Event{s.list(decision.ListComplete)}
		})
	}
}

// ---- Chance ----

func (s *generatedSite) chance(p float64) bool { return s.random.Float64() < p }

func (s *generatedSite) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Float64()*float64(most-least))
}

func (s *generatedSite) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// anyEngine draws an engine, by the order of their ids.
func (s *generatedSite) anyEngine() *generatedEngine {
	ids := slices.Sorted(maps.Keys(s.engines))
	return s.engines[ids[s.random.IntN(len(ids))]]
}

func (s *generatedSite) anyOpen() *generatedStatement {
	if len(s.open) == 0 {
		return nil
	}
	ids := slices.Sorted(maps.Keys(s.open))
	return s.open[ids[s.random.IntN(len(ids))]]
}

// ---- Statements ----

func (s *generatedSite) arrive() []decision.Event {
	s.always(time.Duration(s.random.ExpFloat64()/(s.rate*meanArrivalRate)*float64(time.Second)), s.arrive)
	workload := 0
	if s.chance(0.25) {
		workload = s.random.IntN(len(s.opening.Workloads))
	}
	declared := s.opening.Workloads[workload]
	s.statements++
	event := decision.StatementArrived{
		Statement:   decision.StatementID(fmt.Sprintf("s%d", s.statements)),
		Workload:    decision.WorkloadID(workload),
		TimeBudget:  time.Duration(s.factor(0.5, 1) * float64(declared.StatementTimeout)),
		TableGroup:  decision.TableGroup(math.Sqrt(s.random.Float64()) * tableGroups),
		ClientRetry: s.chance(0.05),
		Writes:      declared.Idempotency != decision.Idempotent,
	}
	if groups := s.opening.Quotas.Tenants; len(groups) > 0 {
		event.Tenant = groups[s.random.IntN(len(groups))].Tenant
	}
	if declared.OrderedByKey && s.chance(0.8) {
		event.Key = decision.Key(fmt.Sprintf("k%d", s.random.IntN(12)))
	}
	if s.chance(0.9) {
		event.EstimatedWork = time.Duration(s.factor(0.02, 1.2) * float64(declared.LatencyObjective) * float64(max(1, declared.Threads)))
		event.EstimatedMemoryMB = s.factor(10, 3000)
	}
	if s.chance(0.2) {
		event.Classification = s.classification()
	}
	s.open[event.Statement] = &generatedStatement{event: event}
	return []decision.Event{event}
}

// factor draws from a range so that small values come more often.
func (s *generatedSite) factor(least, most float64) float64 {
	return least * math.Pow(most/least, s.random.Float64())
}

func (s *generatedSite) classification() *decision.Classification {
	looks := &decision.Classification{Workload: decision.WorkloadID(s.random.IntN(len(s.opening.Workloads))), Writes: s.chance(0.1)}
	if s.chance(0.5) {
		looks.EstimatedWork = s.between(10*ms, 2*time.Second)
		looks.EstimatedMemoryMB = s.factor(10, 2000)
	}
	if s.chance(0.5) {
		looks.OtherTableGroups = []decision.TableGroup{decision.TableGroup(s.random.IntN(tableGroups))}
	}
	return looks
}

// clientEvent has a client leave, stop taking answers in, or take them in again.
func (s *generatedSite) clientEvent() []decision.Event {
	s.always(s.exponential(400*ms), s.clientEvent)
	statement := s.anyOpen()
	if statement == nil {
		return nil
	}
	id := statement.event.Statement
	switch s.random.IntN(4) {
	case 0:
		delete(s.open, id)
		return []decision.Event{decision.ClientCancelled{Statement: id}}
	case 1:
		delete(s.open, id)
		return []decision.Event{decision.ClientReadStateChanged{Statements: []decision.StatementID{id, "unknown"}, Disconnected: true}}
	default:
		ids := []decision.StatementID{id}
		s.schedule(s.between(0, 2*time.Second), func() []decision.Event {
			return []decision.Event{decision.ClientReadStateChanged{Statements: ids, Reading: true}}
		})
		return []decision.Event{decision.ClientReadStateChanged{Statements: ids}}
	}
}

// ---- Attempts ----

func (s *generatedSite) startAttempt(a decision.StartAttempt) {
	statement, engine := s.open[a.Statement], s.engines[a.Engine]
	key := attemptKey{a.Statement, decision.AttemptID(statement.attempts)}
	statement.attempts++
	workload := s.opening.Workloads[statement.event.Workload]
	threads := float64(max(1, workload.Threads))
	s.attempts[key] = &generatedAttempt{engine: engine, threads: threads}
	engine.running++
	work := cmp.Or(statement.event.EstimatedWork, workload.LatencyObjective/4)
	run := time.Duration(s.factor(0.5, 2) * float64(work) / threads * (1 + float64(engine.running)*threads/engine.cores/2))
	outcome, after := s.outcome(engine, run)
	if a.StartBefore > 0 && s.now+after > a.StartBefore && s.chance(0.3) {
		outcome = decision.NotSent
	}
	s.notes(key, statement, after)
	if outcome == decision.Completed && s.chance(0.3) {
		s.schedule(after*9/10, func() []decision.Event {
			if s.attempts[key] == nil || s.open[key.statement] == nil {
				return nil
			}
			return []decision.Event{decision.ResponseStarted{Statement: key.statement, Attempt: key.attempt, Engine: engine.entry.Engine, Elapsed: after}}
		})
	}
	s.schedule(after, func() []decision.Event { return s.end(key, outcome) })
}

// outcome draws how an attempt ends, and when.
func (s *generatedSite) outcome(engine *generatedEngine, run time.Duration) (decision.Outcome, time.Duration) {
	kind := engine.fault
	if s.chance(0.01) {
		kind = fault(s.random.IntN(int(numFaults)))
	}
	switch kind {
	case slow:
		return decision.Completed, run * time.Duration(5+s.random.IntN(30))
	case silent:
		return decision.TimedOut, s.between(8*time.Second, 20*time.Second)
	case erring:
		return decision.Errored, s.between(ms, 5*ms)
	case refusing:
		return decision.ConnectFailed, s.between(ms, 250*ms)
	case full:
		return decision.Overloaded, s.between(ms, 5*ms)
	case resetting:
		return decision.ConnectionReset, s.between(0, run)
	case flaky:
		if s.chance(0.6) {
			return decision.Errored, run / 2
		}
	}
	return decision.Completed, run
}

// notes has the engine tell of a running attempt, where engines do.
func (s *generatedSite) notes(key attemptKey, statement *generatedStatement, run time.Duration) {
	every := s.opening.Engines.ProgressInterval
	if every == 0 || s.attempts[key].engine.fault == silent {
		return
	}
	note := func(after time.Duration, kind decision.ProgressKind, value float64) {
		s.schedule(after, func() []decision.Event {
			attempt := s.attempts[key]
			if attempt == nil {
				return nil
			}
			return []decision.Event{decision.AttemptProgress{Statement: key.statement, Attempt: key.attempt,
				Engine: attempt.engine.entry.Engine, Kind: kind, Value: value}}
		})
	}
	done := s.factor(0.7, 1) // it seldom progresses evenly
	if s.chance(0.05) {
		done = 0.05
	}
	for at := every; at < run; at += every {
		note(at, decision.ProgressShareDone, done*float64(at)/float64(run))
	}
	if s.chance(0.15) {
		note(s.between(0, run), decision.ProgressSpilling, s.factor(10, 500))
	}
	if s.chance(0.05) {
		note(s.between(0, run), decision.ProgressWaiting, float64(1+s.random.IntN(2)))
	}
}

// end is an attempt's outcome, once.
func (s *generatedSite) end(key attemptKey, outcome decision.Outcome) []decision.Event {
	attempt := s.attempts[key]
	if attempt == nil {
		return nil
	}
	delete(s.attempts, key)
	engine := attempt.engine
	engine.running--
	event := decision.AttemptEnded{Statement: key.statement, Attempt: key.attempt, Engine: engine.entry.Engine,
		Outcome: outcome, Elapsed: s.between(ms, time.Second), Cost: 1}
	if outcome == decision.Completed && s.open[key.statement] != nil {
		event.Finished = true
		delete(s.open, key.statement)
	}
	answered := outcome == decision.Completed || outcome == decision.Errored
	if answered && s.opening.LoadReports.Source == decision.LoadReportsInResponses && s.chance(0.8) {
		event.Report = s.report(engine)
	}
	return []decision.Event{event}
}

func (s *generatedSite) probe(id decision.EngineID) {
	engine := s.engines[id]
	s.schedule(s.between(ms, 40*ms), func() []decision.Event {
		event := decision.HealthCheckEnded{Engine: id, Outcome: decision.Completed, Elapsed: ms}
		switch {
		case engine.fault == refusing:
			event.Outcome = decision.ConnectFailed
		case engine.fault == silent || s.chance(0.02):
			event.Outcome = decision.TimedOut
		default:
			event.Report = s.report(engine)
		}
		return []decision.Event{event}
	})
}

// report holds the settings' fields; now and then one is missing.
func (s *generatedSite) report(engine *generatedEngine) *decision.LoadReport {
	report := &decision.LoadReport{}
	for _, field := range s.opening.LoadReports.Fields {
		if s.chance(0.03) {
			continue
		}
		held := float64(engine.running) + engine.others
		report.Known[field] = true
		switch field {
		case decision.FieldInFlight:
			report.Value[field] = math.Floor(held * s.factor(0.9, 1.1))
		case decision.FieldQueueDepth:
			report.Value[field] = math.Floor(max(0, held-engine.cores) / 2)
		case decision.FieldUtilisation:
			report.Value[field] = min(1, held/engine.cores*s.factor(0.8, 1.2))
		}
	}
	return report
}

// ---- Engines ----

func (s *generatedSite) addEngine() *generatedEngine {
	s.engineCount++
	kinds := slices.Sorted(maps.Keys(s.opening.Engines.Machines))
	kind := kinds[s.random.IntN(len(kinds))]
	zone := s.opening.Identity.Zone
	if s.chance(0.3) {
		zone = "yard"
	}
	engine := &generatedEngine{cores: s.opening.Engines.Machines[kind].Cores, others: 2, entry: decision.Endpoint{
		Engine: decision.EngineID(fmt.Sprintf("10.0.0.%d:5000", s.engineCount)), Zone: zone, MachineType: kind,
		Cell: decision.Cell(s.engineCount % 2), Weight: 1}}
	if s.now > clockStart {
		engine.entry.StartedAt = s.now
	}
	s.engines[engine.entry.Engine] = engine
	return engine
}

func (s *generatedSite) list(kind decision.ListKind) decision.EndpointList {
	s.listVersion++
	list := decision.EndpointList{Kind: kind, Version: s.listVersion}
	for _, id := range slices.Sorted(maps.Keys(s.engines)) {
		list.Endpoints = append(list.Endpoints, s.engines[id].entry)
	}
	return list
}

// changeList has an engine drain and go, start over, or come, sometimes told as a complete list.
func (s *generatedSite) changeList() []decision.Event {
	s.always(s.exponential(4*time.Second), s.changeList)
	engine := s.anyEngine()
	switch choice := s.random.IntN(10); {
	case choice < 3 && len(s.engines) > 5:
		engine.entry.State = decision.Draining
		s.always(s.between(time.Second, 4*time.Second), func() []decision.Event {
			engine.entry.State = decision.Removed
			delete(s.engines, engine.entry.Engine)
			return s.changed(engine)
		})
	case choice < 6:
		engine.entry.StartedAt = s.now
		engine.fault = healthy
	case len(s.engines) < 11:
		engine = s.addEngine()
	}
	if s.chance(0.3) {
		return []decision.Event{s.list(decision.ListComplete)}
	}
	return s.changed(engine)
}

func (s *generatedSite) changed(engine *generatedEngine) []decision.Event {
	s.listVersion++
	return []decision.Event{decision.EndpointList{Kind: decision.ListPartial, Version: s.listVersion, Endpoints: []decision.Endpoint{engine.entry}}}
}

func (s *generatedSite) changeFault() []decision.Event {
	s.always(s.exponential(1500*ms), s.changeFault)
	engine := s.anyEngine()
	engine.others = s.factor(0.1, 2.5) * engine.cores
	engine.fault = healthy
	if s.chance(0.4) {
		engine.fault = fault(s.random.IntN(int(numFaults)))
	}
	return nil
}

// changeRate moves between quiet times and overload.
func (s *generatedSite) changeRate() []decision.Event {
	s.always(s.exponential(6*time.Second), s.changeRate)
	s.rate = s.factor(0.2, 3)
	return nil
}

// ---- Rules and restarts ----

func (s *generatedSite) changeRules() []decision.Event {
	s.always(s.exponential(9*time.Second), s.changeRules)
	event := decision.RulesChanged{EffectiveRouters: float64(1 + s.random.IntN(3)), Rules: s.opening.Rules,
		Quotas: slices.Clone(s.opening.Quotas.Tenants), OverQuotaFactor: s.factor(0.05, 1)}
	for i := range event.Quotas {
		event.Quotas[i].RatePerSecond *= s.factor(0.5, 2)
	}
	for _, workload := range s.opening.Workloads {
		event.PriorityWeights = append(event.PriorityWeights, workload.PriorityWeight*s.factor(0.5, 2))
		event.AllowedMachineTypes = append(event.AllowedMachineTypes, workload.AllowedMachineTypes)
		event.Protected = append(event.Protected, s.chance(0.1))
	}
	event.Rules.HealthChecksPerStatement = float64(s.random.IntN(3))
	event.Rules.SlowStartMultiple *= s.factor(0.5, 2)
	if s.chance(0.3) {
		event.Rules.RetryBudgetWindow, event.Rules.RetryBudgetFree, event.Rules.RetryBudgetShare = 5*time.Second, 5, 0.05
	}
	event.Rules.PlacementExclusions = map[decision.TableGroup][]decision.EngineID{
		decision.TableGroup(s.random.IntN(tableGroups)): {s.anyEngine().entry.Engine}}
	return []decision.Event{event}
}

// stop ends this incarnation: mostly with notice, sometimes as a process that is killed.
func (s *generatedSite) stop() []decision.Event {
	s.always(s.between(20*time.Second, 50*time.Second), s.stop)
	if s.chance(0.3) {
		s.restart()
		return nil
	}
	s.schedule(stopTime, func() []decision.Event {
		s.restart()
		return nil
	})
	return []decision.Event{decision.ShutdownStarted{GracePeriod: stopTime * 3 / 4}}
}

// restart begins with a new module that knows the endpoint list as last seen.
func (s *generatedSite) restart() {
	s.incarnation++
	s.open = map[decision.StatementID]*generatedStatement{}
	s.attempts = map[attemptKey]*generatedAttempt{}
	for _, engine := range s.engines {
		engine.running = 0
	}
	o := s.opening
	s.module = policy.New(o.Identity, o.Workloads, o.Engines, o.Quotas, o.Limits, o.Rules, o.LoadReports)
	s.schedule(0, func() []decision.Event { return []decision.Event{s.list(decision.ListPersisted)} })
}
