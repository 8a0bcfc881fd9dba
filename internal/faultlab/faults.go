package faultlab

import (
	"context"
	"syscall"

	"golang.org/x/sync/errgroup"
)

// runFault injects a fault at its time and repairs it at its end.
func (f *fleet) runFault(ctx context.Context, fault Fault) error {
	f.waitUntil(ctx, fault.At) // if the context is done, the fault begins and ends immediately
	f.record(Event{Kind: FaultStarted, Router: noRouter, Text: string(fault.Kind)})
	repair, err := f.inject(ctx, fault)
	if err == nil && repair != nil {
		f.waitUntil(ctx, fault.At+fault.For)
		err = repair()
	}
	f.record(Event{Kind: FaultEnded, Router: noRouter, Text: string(fault.Kind)})
	return err
}

// inject begins a fault. repair ends it, and is nil if there is nothing to end.
func (f *fleet) inject(ctx context.Context, fault Fault) (repair func() error, err error) {
	if impaired, ok := engineLinkFaults[fault.Kind]; ok {
		return f.impairLinks(fault, impaired(fault)), nil
	}
	if faultKinds[fault.Kind].members {
		return f.injectGroupFault(ctx, fault)
	}
	if _, ok := hostFaults[fault.Kind]; ok {
		return f.injectHostFault(fault), nil
	}
	switch fault.Kind {
	case faultResetLinks:
		f.eachLink(fault, (*Link).Reset)
		return nil, nil
	case faultRefuseConnections:
		return f.refuseConnections(fault), nil
	case faultBlockFeed:
		return f.blockFeeds(fault), nil
	case faultReplaceEngines, faultLoseEngines:
		return f.replaceEngines(fault), nil
	case faultSlowEngines:
		return f.slowEngines(fault, fault.Amount, false), nil
	case faultFailingEngines:
		return f.slowEngines(fault, fault.Amount, true), nil
	}
	return f.injectRouterFault(ctx, fault)
}

// injectRouterFault begins a fault of routers' processes. It ignores other kinds: surgeAt applies a surge of traffic, for example.
func (f *fleet) injectRouterFault(ctx context.Context, fault Fault) (repair func() error, err error) {
	restart := func() error {
		return f.eachRouter(fault, func(r *router) error { return r.start(ctx) })
	}
	switch fault.Kind {
	case faultKillRouters:
		return restart, f.eachRouter(fault, (*router).kill)
	case faultTerminateRouters:
		return restart, f.eachRouter(fault, (*router).terminate)
	case faultRetireRouters:
		return nil, f.eachRouter(fault, func(r *router) error { return r.retire(ctx, int(fault.Amount)) })
	case faultIdleClients:
		return f.connectIdleClients(ctx, fault), nil
	case faultReloadRouters:
		return nil, f.eachRouter(fault, func(r *router) error { return r.signal(syscall.SIGHUP) })
	case faultStopRouters:
		resume := func() error { return f.eachRouter(fault, (*router).resume) }
		return resume, f.eachRouter(fault, (*router).stop)
	}
	return nil, nil
}

// linkImpairments are the impairments that a fault applies to the two directions of links.
type linkImpairments struct{ forward, reverse Impairment }

// engineLinkFaults maps the faults of links from routers to engines to their impairments.
var engineLinkFaults = map[FaultKind]func(Fault) linkImpairments{
	"cut":       blockBothWays,
	"cut-there": blockForward,
	"cut-back":  blockReverse,
	"delay":     delayReverse,
	"slow":      func(Fault) linkImpairments { return linkImpairments{reverse: Impairment{Throttled: true}} },
}

func blockBothWays(Fault) linkImpairments {
	return linkImpairments{forward: Impairment{Blocked: true}, reverse: Impairment{Blocked: true}}
}

func blockForward(Fault) linkImpairments {
	return linkImpairments{forward: Impairment{Blocked: true}}
}

func blockReverse(Fault) linkImpairments {
	return linkImpairments{reverse: Impairment{Blocked: true}}
}

func delayReverse(fault Fault) linkImpairments {
	return linkImpairments{reverse: Impairment{Delay: seconds(fault.Amount)}}
}

// eachRouter calls a function concurrently for the routers of a fault, and returns the first error.
func (f *fleet) eachRouter(fault Fault, do func(*router) error) error {
	var group errgroup.Group
	for _, i := range fault.Routers {
		group.Go(func() error { return do(f.routers[i]) })
	}
	return group.Wait()
}

// eachLink calls a function for the links from the routers of a fault to its engines.
func (f *fleet) eachLink(fault Fault, do func(*Link)) {
	for _, i := range fault.Routers {
		for _, e := range f.enginesAt(fault.Engines) {
			if link := f.routers[i].linkTo(e.id); link != nil {
				do(link)
			}
		}
	}
}

func (f *fleet) impairLinks(fault Fault, impaired linkImpairments) (repair func() error) {
	f.eachLink(fault, func(l *Link) { l.Impair(impaired.forward, impaired.reverse) })
	return func() error {
		f.eachLink(fault, (*Link).Restore)
		return nil
	}
}

// refuseConnections makes engines refuse new connections of all routers.
func (f *fleet) refuseConnections(fault Fault) (repair func() error) {
	links := Fault{Routers: f.allRouters(), Engines: fault.Engines}
	f.eachLink(links, func(l *Link) { l.RefuseConnections(true) })
	return func() error {
		f.eachLink(links, func(l *Link) { l.RefuseConnections(false) })
		return nil
	}
}

func (f *fleet) blockFeeds(fault Fault) (repair func() error) {
	for _, i := range fault.Routers {
		f.routers[i].feedLink.Impair(Impairment{Blocked: true}, Impairment{Blocked: true})
	}
	return func() error {
		for _, i := range fault.Routers {
			f.routers[i].feedLink.Restore()
		}
		return nil
	}
}

// slowEngines multiplies the execution time of engines by a factor. If failing is set, all statements that start there end with an error.
func (f *fleet) slowEngines(fault Fault, factor float64, failing bool) (repair func() error) {
	for _, e := range f.enginesAt(fault.Engines) {
		e.model.SetSlowdown(factor, failing)
	}
	return func() error {
		for _, e := range f.enginesAt(fault.Engines) {
			e.model.SetSlowdown(1, false)
		}
		return nil
	}
}
