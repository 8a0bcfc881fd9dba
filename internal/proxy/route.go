package proxy

import (
	"context"
	"maps"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/classify"
	"bankledge/internal/invariant"
	"bankledge/internal/lease"
	"bankledge/policy"
)

// Route: one goroutine alone owns the module and the records of statements. It feeds the module batches of
// events in the order they came, carries out its actions, and never waits for a socket.

// input is one thing that happened.
type input struct {
	event   decision.Event
	steer   lease.ClientEvent // of the link to the control group
	address []string          // with a list of engines: where each listens
	stmt    *statement        // with an arrival
	left    *stmtAt           // a client that waits no longer
	stalled *stall
	release *release
	result  []byte    // with a completed execution
	at      time.Time // when it happened
}

type route struct {
	gateway *Router
	module  *policy.Module
	inbox   chan input
	done    chan struct{}                       // closed when nobody hears the inbox any more
	open    map[decision.StatementID]*statement // those not given back yet
	from    map[client]map[uint32]*statement    // of these the ones that are not over, by where they came from
	used    usedIDs
	places  map[decision.EngineID]invariant.Location // of the listed engines
	timers  []decision.SetTimer
	decided time.Duration    // when the module was last called
	looked  time.Time        // by the backstop
	also    []decision.Event // what answers led to, for the module's next call
	looks   *classify.Classifier
	counted time.Time // when the counts of looks were last handed out

	steering *steering // nil: no control group
}

const backstopEvery = 20 * time.Millisecond // within the answer's grace

// run feeds the module until ctx ends. It does not sleep between calls: on a core that others use, too, that
// would cost a turn of the scheduler for each answer.
func (r *route) run(ctx context.Context) error {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var batch []input
		select {
		case <-ctx.Done():
			return nil
		case in := <-r.inbox:
			batch = append(batch, in)
		case <-timer.C:
		}
		if r.gateway.pulse.strike(r.gateway.now()) {
			r.gateway.hearList()
		}
		r.gateway.watchWallClock()
		runtime.Gosched() // whoever has something to post does so first: what is ready makes one batch
		for n := len(r.inbox); n > 0; n-- {
			batch = append(batch, <-r.inbox)
		}
		r.handle(batch)
		r.backstop()
		timer.Reset(r.untilTimer())
	}
}

func (r *route) untilTimer() time.Duration {
	next := heldUp / 2
	for _, t := range r.timers {
		next = min(next, t.At-r.gateway.now())
	}
	if r.steering != nil {
		next = min(next, r.steering.core.NextDeadline()-r.gateway.now())
	}
	return max(0, next)
}

// handle hears a batch and carries out what the module answers.
func (r *route) handle(batch []input) {
	now := r.gateway.now()
	events := make([]decision.Event, 0, len(batch)+1)
	if r.steering != nil { // before anything is decided: who was stopped acts on nothing old
		events = append(events, r.steered(now, lease.ClientTick{})...)
	}
	for _, in := range batch {
		if in.steer != nil {
			events = append(events, r.steered(now, in.steer)...)
			continue
		}
		if ev := r.hear(in, now); ev != nil {
			events = append(events, ev)
		}
	}
	waiting := r.timers[:0]
	for _, t := range r.timers {
		if t.At <= now {
			events = append(events, decision.TimerFired{Token: t.Token})
		} else {
			waiting = append(waiting, t)
		}
	}
	r.timers = waiting
	events = append(events, r.also...)
	r.also = r.also[:0]
	if len(events) == 0 {
		return
	}
	for _, ev := range events {
		if changed, ok := ev.(decision.RulesChanged); ok {
			r.enforce(changed)
		}
	}
	r.decided = now
	for _, action := range r.decide(now, events) {
		r.carryOut(action)
	}
	for _, in := range batch {
		if !in.at.IsZero() {
			r.gateway.figures.delay(time.Since(in.at))
		}
	}
}

// decide calls the module. A panic there loses this batch's actions and no more: the router goes on with the
// module as it is, and the backstop answers whoever it has forgotten.
func (r *route) decide(now time.Duration, events []decision.Event) (actions []decision.Action) {
	defer func() {
		if p := recover(); p != nil {
			r.gateway.log.Error("the module broke down", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			r.timers = append(r.timers, decision.SetTimer{Token: "again", At: now})
		}
	}()
	return r.module.Handle(now, events)
}

// hear does the book's part of an input and returns the module's event, or nil if it is of no concern to it.
func (r *route) hear(in input, now time.Duration) decision.Event {
	if in.left != nil {
		s := r.from[in.left.client][in.left.stream]
		if s == nil {
			return nil
		}
		r.endUnanswered(s)
		return decision.ClientCancelled{Statement: s.id}
	}
	if in.stalled != nil {
		return decision.ClientReadStateChanged{Statements: r.openOf(in.stalled.client), Reading: !in.stalled.on}
	}
	if in.release != nil {
		return r.releaseClient(in.release)
	}
	switch ev := in.event.(type) {
	case decision.EndpointList:
		r.listPlaces(ev)
		if r.steering != nil {
			return r.steering.keep(now, ev, in.address)
		}
	case decision.StatementArrived:
		if r.open[ev.Statement] != nil || r.used.has(ev.Statement) { // an engine knows it as another: this one never ran
			r.answer(in.stmt, rejected, []byte("id is in use"), reasonIDInUse)
			return nil
		}
		r.open[ev.Statement] = in.stmt
		r.enter(in.stmt)
		r.look(in.stmt, &ev, now)
		ev.TimeBudget = in.stmt.ends.Sub(r.gateway.origin) - now // less what has passed since it was taken
		return ev
	case decision.AttemptProgress:
		if s := r.open[ev.Statement]; s != nil && ev.Kind == decision.ProgressSpilling {
			s.missing = max(s.missing, ev.Value)
		}
	case decision.AttemptEnded:
		s := r.open[ev.Statement]
		if s == nil {
			return nil
		}
		if ev.Outcome == decision.Completed {
			r.relay(s, in.result)
		}
		ev.Finished = s.over
		r.executionEnded(s, ev)
		return ev
	}
	return in.event
}

// openOf is what is open of a client, in the order of its streams.
func (r *route) openOf(c client) (ids []decision.StatementID) {
	for _, stream := range slices.Sorted(maps.Keys(r.from[c])) {
		ids = append(ids, r.from[c][stream].id)
	}
	return ids
}

// enter notes where a statement came from; leave, that it is over.
func (r *route) enter(s *statement) {
	if r.from[s.client] == nil {
		r.from[s.client] = map[uint32]*statement{}
	}
	r.from[s.client][s.stream] = s
}

func (r *route) leave(s *statement) {
	if of := r.from[s.client]; of[s.stream] == s {
		if delete(of, s.stream); len(of) == 0 {
			delete(r.from, s.client)
		}
	}
}

// releaseClient answers all that is open of a client that takes in too little: it may have run, and nobody will take a
// result, so it is aborted at once. The module hears that its client left.
func (r *route) releaseClient(in *release) decision.Event {
	ids := r.openOf(in.client)
	for _, id := range ids {
		r.answer(r.open[id], aborted, []byte(in.why), reasonReleased)
	}
	return decision.ClientReadStateChanged{Statements: ids, Disconnected: true}
}

// backstop aborts what the module has left without an answer past its time, which only a fault of the
// module can do. An abort promises nothing, so it is always true.
func (r *route) backstop() {
	now := time.Now()
	if now.Sub(r.looked) < backstopEvery {
		return
	}
	r.looked = now
	r.handOutCounts(now)
	for _, s := range r.open {
		if !s.over && now.After(s.ends) {
			r.gateway.log.Error("a statement was left without an answer", zap.String("statement", string(s.id)))
			r.answer(s, aborted, nil, reasonUnanswered)
			r.handle([]input{{event: decision.ClientCancelled{Statement: s.id}}})
		}
	}
}
