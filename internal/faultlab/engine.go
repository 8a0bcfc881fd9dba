package faultlab

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"bankledge/internal/fakes"
)

// abandonAfter is how long an engine runs a statement that nobody polls.
const abandonAfter = 2 * time.Second

// States of an engine, as the control feed says them.
const (
	stateActive   = "active"
	stateDraining = "leaving"
	stateRemoved  = "left"
)

// engine is a simulated engine of the fleet.
type engine struct {
	id    string
	place int
	model *fakes.SimulatedEngine
}

// engineEvents are the kinds of events of a history for those of a simulated engine.
var engineEvents = map[fakes.EngineEventKind]EventKind{
	fakes.AttemptStarted:   AttemptStarted,
	fakes.AttemptEnded:     AttemptEnded,
	fakes.AttemptCancelled: AttemptCancelled,
	fakes.AttemptAbandoned: AttemptDropped,
	fakes.HealthChecked:    HealthChecked,
	fakes.Collapsed:        EngineCollapsed,
}

// newEngine starts an engine whose events go to the history.
func (f *fleet) newEngine(place int, slowStart fakes.SlowStart) *engine {
	f.mu.Lock()
	f.enginesMade++
	e := &engine{id: fmt.Sprintf("e%02d", f.enginesMade), place: place}
	f.mu.Unlock()
	model := fakes.NewSimulatedEngine(engineCores, func(_, text string) (time.Duration, int) { return statementCost(text) })
	model.SlowStart = slowStart
	model.ReportProgress = true
	model.AbandonAfter = abandonAfter
	model.OnEvent = func(event fakes.EngineEvent) { f.recordEngineEvent(e.id, event) }
	e.model = model
	return e
}

func (f *fleet) recordEngineEvent(engine string, event fakes.EngineEvent) {
	source := noRouter
	if r, ok := f.sources.Load(event.Peer); ok {
		source = r.(int)
	}
	f.record(Event{
		Kind:      engineEvents[event.Kind],
		Statement: event.ID,
		Workload:  event.Workload,
		Router:    source,
		Engine:    engine,
		Work:      event.Work.Seconds(),
		ColdLoad:  event.ColdLoad,
	})
}

// costTag precedes the cost of a statement in its text: milliseconds of work on one thread, a dot, and the number of threads.
const costTag = "cost = "

// statementCost reads what a statement costs from its text. One that the lab did not write costs a millisecond.
func statementCost(text string) (work time.Duration, threads int) {
	_, tag, _ := strings.Cut(text, costTag)
	millis, threadText, _ := strings.Cut(strings.Fields(tag + " 1")[0], ".")
	workMillis, err := strconv.Atoi(millis)
	if err != nil {
		return time.Millisecond, 1
	}
	threads, err = strconv.Atoi(threadText)
	if err != nil {
		return time.Millisecond, 1
	}
	return time.Duration(workMillis) * time.Millisecond, threads
}

// stopEngines ends engines at once: their links are reset and refuse connections. They are gone from then on, and a new engine may have
// their addresses; the end of their servers waits for polls that nobody hears any more.
func (f *fleet) stopEngines(engines []*engine) {
	for _, e := range engines {
		for _, r := range f.routers {
			if link := r.linkTo(e.id); link != nil {
				link.RefuseConnections(true)
				link.Reset()
			}
		}
		f.record(Event{Kind: EngineGone, Router: noRouter, Engine: e.id})
		e.model.Close()
	}
}

// replaceEngines has engines drain, or stops them at once, and returns what puts new ones, which start slowly, in their places.
func (f *fleet) replaceEngines(fault Fault) (repair func() error) {
	drain := fault.Kind == faultReplaceEngines
	old := f.enginesAt(fault.Engines)
	if drain {
		f.publish(old, stateDraining)
	} else {
		f.stopEngines(old)
		f.publish(old, stateRemoved)
	}
	return func() error {
		var started []*engine
		for _, e := range old {
			started = append(started, f.newEngine(e.place, engineSlowStart))
		}
		if drain {
			f.publish(old, stateRemoved)
			defer f.stopEngines(old)
		}
		return f.joinEngines(started)
	}
}

// joinEngines makes the links to new engines, gives them their places and publishes them.
func (f *fleet) joinEngines(engines []*engine) error {
	for _, r := range f.routers {
		for _, e := range engines {
			if err := r.connect(e); err != nil {
				return err
			}
		}
	}
	f.mu.Lock()
	for _, e := range engines {
		f.engines[e.place] = e
	}
	f.mu.Unlock()
	f.publish(engines, stateActive)
	return nil
}
