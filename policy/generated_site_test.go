package policy_test

import (
	"cmp"
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bankledge/decision"
	"bankledge/internal/settings"
	"bankledge/policy"
)

const (
	ms = time.Millisecond

	clockStart      = time.Hour // start of the module's clock; engines without a start time are older
	meanArrivalRate = 45.0      // statements a second
	tableGroups     = 24
	stopTime        = 2 * time.Second // from the start of a shutdown until the router starts again
)

// generatedSite drives one module. It draws events from a seed, carries out the module's actions on simulated engines
// that may fail, and feeds the results back as events. Equal actions give an equal stream of events.
type generatedSite struct {
	moduleSettings *settings.ModuleSettings
	random         *rand.Rand
	record         *actionRecord
	module         *policy.Module
	now            time.Duration
	queue          scheduledEvents
	seq            int
	events         int // number handed to the module

	incarnation int // number of module starts; events scheduled for earlier instances are dropped
	timer       int // number of the last timer set, which replaces earlier ones
	statements  int
	open        map[decision.StatementID]*generatedStatement
	attempts    map[attemptKey]*generatedAttempt // without an outcome
	engines     map[decision.EngineID]*generatedEngine
	engineCount int
	listVersion int64
	rate        float64 // relative to the mean arrival rate
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

// fault is the way in which an engine fails.
type fault int

const (
	healthy fault = iota
	slow
	silent
	failing
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
	others  float64 // statements of other routers on the engine
	fault   fault
}

// scheduled is a future occurrence; do returns the events that it causes for the module.
type scheduled struct {
	at          time.Duration
	seq         int
	incarnation int // -1: any
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

func newGeneratedSite(moduleSettings *settings.ModuleSettings, seed uint64, record *actionRecord) *generatedSite {
	s := &generatedSite{moduleSettings: moduleSettings, random: rand.New(rand.NewPCG(seed, 17)), record: record,
		now: clockStart, engines: map[decision.EngineID]*generatedEngine{}, rate: 0.5}
	for range 7 {
		s.addEngine()
	}
	s.restart()
	s.scheduleAcrossRestarts(0, s.arrive)
	s.scheduleAcrossRestarts(5*time.Second, s.changeRate)
	s.scheduleAcrossRestarts(time.Second, s.changeFault)
	s.scheduleAcrossRestarts(3*time.Second, s.changeList)
	s.scheduleAcrossRestarts(8*time.Second, s.changeRules)
	s.scheduleAcrossRestarts(700*ms, s.clientEvent)
	s.scheduleAcrossRestarts(37*time.Second, s.stop)
	return s
}

// schedule schedules an occurrence that is dropped if the module restarts before it.
func (s *generatedSite) schedule(after time.Duration, do func() []decision.Event) {
	s.seq++
	heap.Push(&s.queue, scheduled{s.now + after, s.seq, s.incarnation, do})
}

// scheduleAcrossRestarts schedules an occurrence that survives restarts of the module. Recurring occurrences schedule
// themselves again.
func (s *generatedSite) scheduleAcrossRestarts(after time.Duration, do func() []decision.Event) {
	s.seq++
	heap.Push(&s.queue, scheduled{s.now + after, s.seq, -1, do})
}

// run advances the clock. Events within half a millisecond are handled in one call.
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
			if s.incarnation != incarnation { // events collected for the previous instance are lost
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
		s.checkHealth(a.Engine)
	case decision.SetTimer:
		s.timer++
		timer := s.timer
		s.schedule(max(0, a.At-s.now)+s.between(0, s.moduleSettings.Identity.ClockGranularity), func() []decision.Event {
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

func (s *generatedSite) chance(p float64) bool { return s.random.Float64() < p }

func (s *generatedSite) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Float64()*float64(most-least))
}

func (s *generatedSite) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// anyEngine draws an engine. It sorts the IDs first, so that equal seeds draw the same engine.
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
