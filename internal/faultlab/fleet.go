package faultlab

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"bankledge/internal/configversion"
	"bankledge/internal/fakes"
	"bankledge/internal/faultinject"
)

// fleet holds the state of one run: the processes, the links between them, and the history that is recorded.
type fleet struct {
	scenario    *Scenario
	options     Options
	dir         string
	began       time.Time
	hostLibrary string // path of the preloaded library for host faults; empty: the scenario has no host faults
	routers     []*router
	members     []*member // of the control group
	sources     sync.Map  // maps the source address that an engine sees to the index of the router
	clients     sync.WaitGroup

	mu            sync.Mutex
	events        []Event
	engines       []*engine // by slot; a replacement engine takes the slot of the engine that it replaces
	enginesMade   int
	knownVersions map[uint64]*configversion.Version // written by the control group, by number
}

func newFleet(s *Scenario, o Options, dir string) *fleet {
	return &fleet{
		scenario:      s,
		options:       o,
		dir:           dir,
		began:         time.Now(),
		knownVersions: map[uint64]*configversion.Version{},
	}
}

// record adds an event to the history. An event without a time gets the current time.
func (f *fleet) record(e Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.At == 0 {
		e.At = time.Since(f.began)
	}
	f.events = append(f.events, e)
}

// start starts engines, control feeds, control group and routers, and waits until all routers are ready. The history begins at that time.
func (f *fleet) start(ctx context.Context) error {
	f.began = time.Now()
	if f.scenario.needsHosts() {
		library, err := faultinject.Build(f.dir)
		if err != nil {
			return err
		}
		f.hostLibrary = library
	}
	for slot := range f.scenario.Engines {
		f.engines = append(f.engines, f.newEngine(slot, fakes.SlowStart{}))
	}
	if err := f.startGroup(ctx); err != nil {
		return err
	}
	if err := f.startRouters(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.began = time.Now()
	f.events = nil
	return nil
}

func (f *fleet) startRouters(ctx context.Context) error {
	var group errgroup.Group
	for i := range f.scenario.Routers {
		r, err := f.newRouter(i)
		if err != nil {
			return err
		}
		f.routers = append(f.routers, r)
		group.Go(func() error { return r.start(ctx) })
	}
	return group.Wait()
}

func (f *fleet) close() {
	for _, r := range f.routers {
		r.close()
	}
	for _, e := range f.engines {
		e.model.Close()
	}
	for _, m := range f.members {
		m.close()
	}
}

// waitUntil waits until a time of the scenario, in seconds from the start of the traffic, or until the context is done.
func (f *fleet) waitUntil(ctx context.Context, at float64) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(f.began.Add(seconds(at)))):
		return nil
	}
}

// enginesAt returns the engines that currently occupy the given slots.
func (f *fleet) enginesAt(slots []int) (engines []*engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, slot := range slots {
		engines = append(engines, f.engines[slot])
	}
	return engines
}

// allRouters returns the indexes of all routers.
func (f *fleet) allRouters() []int { return f.scenario.allRouters() }

// publish sends the state of engines on the control feeds of all routers.
func (f *fleet) publish(engines []*engine, state string) {
	for _, r := range f.routers {
		r.publish(engines, state)
	}
}
