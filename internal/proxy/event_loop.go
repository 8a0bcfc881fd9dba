package proxy

import (
	"context"
	"runtime"
	"time"

	"bankledge/decision"
	"bankledge/internal/classify"
	"bankledge/internal/downstream"
	"bankledge/internal/lease"
	"bankledge/internal/logevent"
	"bankledge/policy"
)

const (
	inboxSize        = 4096
	watchdogInterval = 20 * time.Millisecond // clients wait longer than this after their deadline
)

// message is an input that the event loop itself processes. It may yield an event for the module.
type message interface {
	// apply updates the loop's state and returns the event for the module, or nil.
	apply(l *eventLoop, now time.Duration) decision.Event
}

// input is either an event that is passed to the module unchanged, or a message.
type input struct {
	event    decision.Event
	message  message
	postedAt time.Time // zero if the loop itself created the input
}

// eventLoop runs on the single goroutine that owns the decision module and the records of requests. It passes batches of events to the
// module in the order in which they happened, executes the module's actions, and never waits for a socket.
type eventLoop struct {
	router     *Router
	module     *policy.Module
	inbox      chan input
	done       chan struct{} // closed when the loop has ended and no longer reads the inbox
	requests   requestTable
	locations  engineLocations
	classifier *classify.Classifier
	lease      *configurationLease // nil without a control group

	rejectFrom        time.Duration // from this time on a shutdown rejects new requests; 0: no shutdown
	timers            []decision.SetTimer
	followUps         []decision.Event // events caused by replies, for the next call of the module
	decidedAt         time.Duration    // time of the last call of the module
	watchdogRanAt     time.Time
	countsPublishedAt time.Time // when the classifier's counts were last copied to the metrics
}

func newEventLoop(r *Router) *eventLoop {
	moduleSettings := r.config.Module
	return &eventLoop{
		router:     r,
		module:     policy.New(moduleSettings.Settings),
		inbox:      make(chan input, inboxSize),
		done:       make(chan struct{}),
		requests:   newRequestTable(r.limits.answeredIDs),
		locations:  engineLocations{},
		classifier: classify.New(moduleSettings.Workloads, r.limits.fingerprintBytes),
	}
}

// post queues an input for the loop, or drops it if the loop has ended.
func (l *eventLoop) post(in input) {
	in.postedAt = time.Now()
	select {
	case l.inbox <- in:
	case <-l.done:
	}
}

// run calls the module with batches of inputs until ctx ends. It does not sleep between calls, since on a core shared with other
// processes each sleep would delay answers by a time slice of the kernel's scheduler.
func (l *eventLoop) run(ctx context.Context) error {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var batch []input
		select {
		case <-ctx.Done():
			return nil
		case in := <-l.inbox:
			batch = append(batch, in)
		case <-timer.C:
		}
		if l.router.pauses.heartbeat(l.router.now()) {
			l.router.awaitDiscovery()
		}
		l.router.checkWallClock()
		runtime.Gosched() // lets runnable goroutines post their inputs, so that the batch includes them
		for n := len(l.inbox); n > 0; n-- {
			batch = append(batch, <-l.inbox)
		}
		l.handle(batch)
		l.runWatchdog()
		timer.Reset(l.untilNextWake())
	}
}

// untilNextWake returns how long the loop may wait for an input.
func (l *eventLoop) untilNextWake() time.Duration {
	wait := pauseThreshold / 2
	for _, timer := range l.timers {
		wait = min(wait, timer.At-l.router.now())
	}
	if l.lease != nil {
		wait = min(wait, l.lease.client.NextDeadline()-l.router.now())
	}
	return max(0, wait)
}

// handle passes a batch to the module and executes the module's actions.
func (l *eventLoop) handle(batch []input) {
	now := l.router.now()
	events := l.collectEvents(batch, now)
	if len(events) == 0 {
		return
	}
	for _, event := range events {
		if changed, ok := event.(decision.RulesChanged); ok {
			l.enforceMachineTypes(changed)
		}
	}
	l.decidedAt = now
	for _, action := range l.decide(now, events) {
		l.perform(action)
	}
	for _, in := range batch {
		if !in.postedAt.IsZero() {
			l.router.metrics.recordDecisionDelay(time.Since(in.postedAt))
		}
	}
}

// collectEvents applies the inputs in order and returns the events for the module: first those of the control group, so that a router
// that was suspended does not act on an outdated configuration, then those of the inputs, of due timers and of earlier replies.
func (l *eventLoop) collectEvents(batch []input, now time.Duration) []decision.Event {
	events := make([]decision.Event, 0, len(batch)+1)
	if l.lease != nil {
		events = append(events, l.stepLease(now, lease.ClientTick{})...)
	}
	for _, in := range batch {
		if update, ok := in.message.(leaseEvent); ok {
			events = append(events, l.stepLease(now, update.event)...)
			continue
		}
		if event := l.apply(in, now); event != nil {
			events = append(events, event)
		}
	}
	events = l.appendDueTimers(events, now)
	events = append(events, l.followUps...)
	l.followUps = l.followUps[:0]
	return events
}

func (l *eventLoop) apply(in input, now time.Duration) decision.Event {
	if in.message != nil {
		return in.message.apply(l, now)
	}
	if progress, ok := in.event.(decision.AttemptProgress); ok {
		l.recordProgress(progress)
	}
	return in.event
}

func (l *eventLoop) appendDueTimers(events []decision.Event, now time.Duration) []decision.Event {
	waiting := l.timers[:0]
	for _, timer := range l.timers {
		if timer.At <= now {
			events = append(events, decision.TimerFired{Token: timer.Token})
		} else {
			waiting = append(waiting, timer)
		}
	}
	l.timers = waiting
	return events
}

// decide calls the module. A panic in the module loses only the actions of this batch: the router continues with the module in its
// current state, and the watchdog aborts the requests that the module does not answer.
func (l *eventLoop) decide(now time.Duration, events []decision.Event) (actions []decision.Action) {
	defer func() {
		if p := recover(); p != nil {
			l.router.log.Error(logevent.DecisionModulePanicked, logevent.Panic(p), logevent.Stack())
			l.timers = append(l.timers, decision.SetTimer{Token: "again", At: now})
		}
	}()
	return l.module.Handle(now, events)
}

// runWatchdog aborts requests that the module has not answered by their deadline, which only a defect of the module causes. An abort
// does not state whether the request ran, so it is always correct. runWatchdog also publishes the classifier's counts.
func (l *eventLoop) runWatchdog() {
	now := time.Now()
	if now.Sub(l.watchdogRanAt) < watchdogInterval {
		return
	}
	l.watchdogRanAt = now
	l.publishClassificationCounts(now)
	for _, req := range l.requests.byID {
		if !req.finished && now.After(req.deadline) {
			l.router.log.Error(logevent.RequestUnanswered, logevent.RequestID(req.id))
			l.reply(req, downstream.CodeAborted, nil, reasonUnanswered)
			l.handle([]input{{event: decision.ClientCancelled{Statement: req.id}}})
		}
	}
}
