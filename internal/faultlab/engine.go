package faultlab

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"bankledge/internal/fakes"
)

// abandonAfter is how long an engine runs a statement that no router polls.
const abandonAfter = 2 * time.Second

// States of an engine, as the control feed publishes them.
const (
	stateActive   = "active"
	stateDraining = "leaving"
	stateRemoved  = "left"
)

// engine is a simulated engine of the fleet.
type engine struct {
	id    string
	slot  int
	model *fakes.SimulatedEngine
}

// engineEvents maps the kinds of events of a simulated engine to those of a history.
var engineEvents = map[fakes.EngineEventKind]EventKind{
	fakes.AttemptStarted:       AttemptStarted,
	fakes.AttemptEnded:         AttemptEnded,
	fakes.AttemptCancelled:     AttemptCancelled,
	fakes.AttemptAbandoned:     AttemptAbandoned,
	fakes.HealthChecked:        HealthChecked,
	fakes.ColdEngineOverloaded: ColdEngineOverloaded,
}

// newEngine starts an engine whose events are recorded in the history.
func (f *fleet) newEngine(slot int, slowStart fakes.SlowStart) *engine {
	f.mu.Lock()
	f.enginesMade++
	e := &engine{id: fmt.Sprintf("e%02d", f.enginesMade), slot: slot}
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

// statementCost parses the cost of a statement from its text. A statement without a valid cost tag costs one millisecond on one thread.
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

// stopEngines stops engines immediately: it resets their links and has them refuse connections. The engines count as stopped from then
// on, and new engines may get their addresses. Closing a server takes longer, as it waits for polls that no router can receive any more.
func (f *fleet) stopEngines(engines []*engine) {
	for _, e := range engines {
		for _, r := range f.routers {
			if link := r.linkTo(e.id); link != nil {
				link.RefuseConnections(true)
				link.Reset()
			}
		}
		f.record(Event{Kind: EngineStopped, Router: noRouter, Engine: e.id})
		e.model.Close()
	}
}

// replaceEngines drains engines, or stops them immediately, and returns a function that starts cold engines in their slots.
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
			started = append(started, f.newEngine(e.slot, engineSlowStart))
		}
		if drain {
			f.publish(old, stateRemoved)
			defer f.stopEngines(old)
		}
		return f.joinEngines(started)
	}
}

// joinEngines creates the links to new engines, assigns their slots and publishes them as active.
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
		f.engines[e.slot] = e
	}
	f.mu.Unlock()
	f.publish(engines, stateActive)
	return nil
}
