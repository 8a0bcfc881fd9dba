// Package gateway carries statements through their stages: take in, admit, route, send, relay, book. It joins
// the clients' side and the engines' side, which know nothing of each other, around the decision module.
package proxy

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bankledge/decision"
	"bankledge/internal/classify"
	"bankledge/internal/discovery"
	"bankledge/internal/downstream"
	"bankledge/internal/flowcontrol"
	"bankledge/internal/invariant"
	"bankledge/internal/settings"
	"bankledge/internal/sqltext"
	"bankledge/internal/upstream"
	"bankledge/policy"
)

// How the platform's limits are divided, and the times of a start and a stop.
const (
	clientShare  = 3                     // clients hold one part in so many of the descriptors
	ownSockets   = 24                    // of the descriptors: listener, feed, log, the runtime's own
	outShare     = 0.85                  // of the engines' descriptors, for executions; the rest is for giving up and probes
	heapShare    = 0.6                   // of the memory, where the runtime collects its garbage ever more eagerly
	heapGrowth   = 400                   // percent, as long as the heap is far below that
	frameShare   = 12                    // of the memory, large frames that have not come whole one in so many
	overGuess    = 4                     // times the memory of the largest machine that an estimate may be
	shapeShare   = 32                    // and what is known of shapes of statements one in so many
	idsPerMB     = 64                    // of answered statements, remembered for each MB of memory
	wakeTime     = 25 * time.Millisecond // that a call to the module may be late on a core that others use, too
	clockBefore  = time.Hour             // the module's clock starts so long before the router
	inboxSize    = 4096
	reachPause   = 100 * time.Millisecond
	lateComers   = time.Second            // after SIGTERM new connections are taken so long
	granted      = 600 * time.Millisecond // after SIGTERM statements may come so long, on whatever connection
	stopMost     = 3 * time.Second        // the longest statement timeout that a stop waits for
	lastAnswers  = 200 * time.Millisecond // for the answers of what is given up at the end of a stop
	answerPart   = 8                      // but no more than one part in so many of the longest statement timeout
	stopLook     = 10 * time.Millisecond
	overLooks    = 3               // in a row that find nothing left to do, or its time up, before a stop ends
	reportsEvery = 5 * time.Second // lines of figures in the log
)

// Gateway is a router.
type Router struct {
	cfg     *settings.Config
	log     *zap.Logger
	origin  time.Time // of the module's clock; it holds a monotonic reading
	engines int       // descriptors for connections to them
	front   *downstream.Server
	back    *upstream.Client
	route   *route
	follow  *discovery.Client
	serving chan net.Addr // the address, once clients can connect

	workloads map[string]decision.WorkloadID
	groups    map[decision.Tenant]bool

	mostMemory float64     // of any kind of machine, in MB
	reached    atomic.Bool // engines were seen to be in reach
	stopping   atomic.Bool // SIGTERM has come
	figures    figures
	violations *invariant.Recorder
	enforced   []decision.Workload // what the guard holds statements to; the route goroutine changes it
	pulse      pulse
	wallClock  wallClock
	readers    sync.Pool // of analysers of texts
	looks      atomic.Pointer[classify.Counts]
}

// New prepares a router; nothing runs yet.
func New(cfg *settings.Config, log *zap.Logger) *Router {
	o := cfg.Module
	engines := cfg.Limits.Sockets - cfg.Limits.Sockets/clientShare - ownSockets
	o.Identity.ClockGranularity = max(o.Identity.ClockGranularity, wakeTime)
	o.Limits.MaxInFlightAttempts = int(outShare * float64(engines))
	o.Limits.MaxSendDelay = o.Connections.ConnectTimeout + wakeTime
	g := &Router{cfg: cfg, log: log, engines: engines, serving: make(chan net.Addr, 1), origin: time.Now().Add(-clockBefore),
		workloads: map[string]decision.WorkloadID{}, groups: map[decision.Tenant]bool{}}
	g.violations = invariant.NewRecorder(log)
	g.readers.New = func() any { return new(sqltext.Analyser) }
	for _, machine := range o.Engines.Machines {
		g.mostMemory = max(g.mostMemory, machine.MemoryMB)
	}
	g.mostMemory = cmp.Or(overGuess*g.mostMemory, math.MaxFloat64)
	for i, w := range o.Workloads {
		g.workloads[w.Name] = decision.WorkloadID(i)
	}
	for _, s := range o.Quotas.Tenants {
		g.groups[s.Tenant] = true
	}
	g.front = downstream.New(g, cfg.Limits.Sockets/clientShare, cfg.Limits.MemoryMB<<20/frameShare,
		flowcontrol.DeriveLimits(cfg.Limits.MemoryMB, cfg.Limits.Sockets/clientShare), log)
	g.front.Violations = g.violations
	g.enforced = slices.Clone(o.Workloads)
	g.route = &route{gateway: g, places: map[decision.EngineID]invariant.Location{}, inbox: make(chan input, inboxSize), done: make(chan struct{}), open: map[decision.StatementID]*statement{},
		from: map[client]map[uint32]*statement{}, used: usedIDs{half: idsPerMB * int(cfg.Limits.MemoryMB) / 2},
		looks: classify.New(o.Workloads, cfg.Limits.MemoryMB<<20/shapeShare), module: policy.New(o.Identity, o.Workloads, o.Engines, o.Quotas, o.Limits, o.Rules, o.LoadReports)}
	return g
}

// Run serves until stop ends, and then until what was taken is answered. At each sign to reload it takes over
// the configuration that load reads.
func (g *Router) Run(stop context.Context, reload <-chan os.Signal, load func() (*settings.Config, error)) error {
	runtime.GOMAXPROCS(max(1, int(g.cfg.Limits.Cores+0.5)))
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(heapShare * float64(g.cfg.Limits.MemoryMB<<20)))
	ctx, end := context.WithCancel(context.Background())
	defer end()
	sockets := g.cfg.Module.Connections
	g.back = upstream.New(ctx, g, g.engines, sockets.IdleTimeout, sockets.ConnectTimeout, g.log)
	g.back.AwaitDiscovery = g.hearList
	g.back.Violations = g.violations
	listener, err := net.Listen("tcp", g.cfg.ListenAddress)
	if err != nil {
		return err
	}
	follow := discovery.New(g.cfg.DiscoveryAddress, g.origin, g.changed, g.log)
	g.follow = follow
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.route.run(ctx) })
	known, err := g.knownChanges() // the module hears of these before anything else
	if err != nil {
		end()
		listener.Close()
		return errors.Join(err, group.Wait())
	}
	follow.LastEventID = g.cfg.LastEventID
	group.Go(func() error { return g.back.Run(ctx) })
	group.Go(func() error { return g.front.Serve(ctx, listener) })
	group.Go(func() error { return follow.Watch(ctx) })
	group.Go(func() error { return g.awaitReload(ctx, reload, load, follow) })
	group.Go(func() error { return g.reach(ctx) })
	group.Go(func() error { return g.report(ctx) })
	if s := g.route.steering; s != nil {
		group.Go(func() error {
			defer s.link.Close()
			return s.link.Run(ctx)
		})
	}
	group.Go(func() error {
		defer end()
		defer listener.Close()
		return g.awaitStop(ctx, stop, listener)
	})
	g.log.Info("settings", zap.Any("opening", g.cfg.Module), zap.Any("limits", g.cfg.Limits))
	g.log.Info("serving", zap.String("name", g.cfg.Name), zap.Stringer("listen", listener.Addr()),
		zap.Int("engines", len(known)))
	g.serving <- listener.Addr()
	err = group.Wait()
	g.log.Info("ended", zap.Error(err))
	return err
}

// Serving tells the address once clients can connect.
func (g *Router) Serving() <-chan net.Addr { return g.serving }

// knownChanges hands the changes of the configuration to the module.
func (g *Router) knownChanges() (engines []decision.EngineID, err error) {
	last, err := g.follow.ApplyKnownEvents(g.cfg.KnownEvents, func(c discovery.WatchEvent) {
		g.list(c, decision.ListPersisted)
		for _, m := range c.Endpoints {
			engines = append(engines, m.Engine)
		}
	})
	g.cfg.LastEventID = max(g.cfg.LastEventID, last)
	return engines, err
}

// changed takes a change from the control feed.
func (g *Router) changed(c discovery.WatchEvent) {
	g.log.Info("engine list changed", zap.Int64("number", c.Number), zap.Any("members", c.Endpoints))
	g.list(c, decision.ListComplete)
}

func (g *Router) list(c discovery.WatchEvent, whole decision.ListKind) {
	ev := decision.EndpointList{Kind: decision.ListPartial, Version: c.Revision}
	if c.Complete {
		ev.Kind = whole
	}
	listed := map[decision.EngineID]bool{}
	var addresses []string
	for _, m := range c.Endpoints {
		listed[m.Engine] = m.State != decision.Removed
		ev.Endpoints, addresses = append(ev.Endpoints, m.Endpoint), append(addresses, m.Address)
	}
	for _, m := range c.Endpoints { // before the module hears of them: it may send at once
		if listed[m.Engine] {
			g.back.UpdateEngine(m.Engine, m.Address, m.State == decision.Ready)
		}
	}
	g.route.post(input{event: ev, address: addresses})
	for _, m := range c.Endpoints { // after it: what is not sent for this comes back to a module that knows why
		switch {
		case !listed[m.Engine]:
			g.back.RemoveEngine(m.Engine)
		case m.State != decision.Ready:
			g.back.DrainEngine(m.Engine)
		}
	}
	if c.Complete {
		g.back.RetainEngines(listed)
	}
}

// reach finds out at the start whether engines can be reached: one is enough.
func (g *Router) reach(ctx context.Context) error {
	for !g.reached.Load() && ctx.Err() == nil {
		engines := g.back.Engines() // those at the start may all be gone by now
		for i := range engines {    // hundreds of routers that start begin at different ones
			if e := engines[(i+int(g.cfg.Seed%uint64(len(engines))))%len(engines)]; g.back.Preconnect(ctx, e) == nil {
				g.reached.Store(true)
				break // a connection to each would be a handshake storm at every engine, for none of which there is work yet
			}
		}
		select {
		case <-time.After(reachPause):
		case <-ctx.Done():
		}
	}
	return nil
}

// awaitReload waits for signs to read the configuration again. Only the control feed's address and events that
// are not known yet are taken over: all else is fixed at the start. One that is unfit changes nothing.
func (g *Router) awaitReload(ctx context.Context, reload <-chan os.Signal, load func() (*settings.Config, error),
	follow *discovery.Client) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-reload:
		}
		cfg, err := load()
		if err != nil {
			g.log.Error("the new configuration is unfit, the old one stays in force", zap.Error(err))
			continue
		}
		fixed := g.cfg.RestartRequired(cfg)
		g.log.Info("configuration read again", zap.String("feed", cfg.DiscoveryAddress), zap.Int64("known", cfg.LastEventID),
			zap.Strings("changed_but_fixed_until_a_restart", fixed))
		follow.SetAddress(cfg.DiscoveryAddress, cfg.KnownEvents)
	}
}

// awaitStop waits for the sign to stop. Then no client is to send new statements, those that come all the
// same are answered, and the router ends when all are, or when its time is up.
func (g *Router) awaitStop(ctx, stop context.Context, listener net.Listener) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stop.Done():
	}
	plan := planStop(g.cfg.Module.Workloads)
	began := time.Now()
	g.log.Info("stopping", zap.Duration("within", plan.end))
	g.stopping.Store(true)
	g.front.StartDraining()
	g.route.post(input{event: decision.ShutdownStarted{GracePeriod: plan.giveUp}})
	for looks, closed := 0, false; looks < overLooks; { // one that was held up hears what came meanwhile first
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(stopLook):
		}
		past := time.Since(began)
		if closed = closed || past > lateComers && !downstream.AcceptPending(listener); closed {
			listener.Close()
		}
		if looks++; !plan.over(past, closed && g.idle()) {
			looks = 0
		}
	}
	return nil
}

// idle tells whether nothing is open and nothing waits to be accepted, read, written or taken in. What was read and is not open yet
// shows at the next look: a router that is held up and goes on looks before it has read what came meanwhile.
func (g *Router) idle() bool {
	return g.front.PendingReads() == 0 && g.figures.open.Load() == 0 && g.front.PendingWrites() == 0
}

// stopPlan is when, after SIGTERM, what is open then is given up, and when the router ends whatever is open.
type stopPlan struct{ giveUp, end time.Duration }

// planStop works a stop out from the workloads' statement timeouts. What comes at the end of the time in which statements may
// still come has its whole time: the router ends a statement timeout later, which is before it would be killed, however short that is.
func planStop(workloads []decision.Workload) stopPlan {
	longest := time.Duration(0)
	for _, w := range workloads {
		longest = max(longest, w.StatementTimeout)
	}
	end := min(longest, stopMost) + granted
	return stopPlan{giveUp: end - min(lastAnswers, longest/answerPart), end: end}
}

// over tells whether a stop has ended: nothing is open and nothing can come any more, or its time is up.
func (p stopPlan) over(past time.Duration, idle bool) bool {
	return past > p.end || past > lateComers && idle
}

// now is the module's clock.
func (g *Router) now() time.Duration { return time.Since(g.origin) }

// Check tells what is wrong with a configuration beyond its settings.
func ValidateConfig(cfg *settings.Config) error {
	for i, raw := range cfg.KnownEvents {
		if _, _, err := discovery.ParseEvent(raw); err != nil {
			return fmt.Errorf("known.events[%d]: %w", i, err)
		}
	}
	return nil
}
