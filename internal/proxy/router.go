// Package proxy implements the router. It receives requests from clients (package downstream), admits them, has the decision module
// (package policy) decide where and when each request runs, dispatches attempts to engines (package upstream) and sends one final reply
// for each request. It also follows the endpoint list (package discovery) and, if a control group is configured, the configuration
// versions (package controlclient).
//
// A request passes through receive.go and admission.go on the goroutine that reads the client's connection, then through event_loop.go,
// dispatch.go and reply.go on the single goroutine that owns the decision module. request_record.go and request_table.go hold the
// records of the requests.
package proxy

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
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
	"bankledge/internal/invariant"
	"bankledge/internal/logevent"
	"bankledge/internal/settings"
	"bankledge/internal/sqltext"
	"bankledge/internal/upstream"
)

const (
	// maxSchedulingDelay is the longest delay assumed for a call of the decision module on a core shared with other processes.
	maxSchedulingDelay = 25 * time.Millisecond

	// clockOriginOffset is the time between the origin of the module's clock and the start of the router. It gives an engine that
	// started before the router a start time above 0.
	clockOriginOffset = time.Hour
)

// Router owns the connections of clients and engines, the endpoint list and the event loop. New prepares a router, Run serves requests.
type Router struct {
	config      *settings.Config
	log         *zap.Logger
	limits      resourceLimits
	clockOrigin time.Time // origin of the module's clock, with a monotonic reading
	downstream  *downstream.Server
	upstream    *upstream.Client
	discovery   *discovery.Client
	loop        *eventLoop
	serving     chan net.Addr // receives the listen address once clients can connect

	workloadIDs   map[string]decision.WorkloadID
	tenants       map[decision.Tenant]bool
	maxEstimateMB float64   // largest memory estimate that a request may declare
	analysers     sync.Pool // of *sqltext.Analyser

	// enforcedWorkloads are the workloads that the invariant checks use. The event loop updates their allowed machine types.
	enforcedWorkloads []decision.Workload
	violations        *invariant.Recorder

	reachable            atomic.Bool // an engine has accepted a connection
	draining             atomic.Bool // a graceful shutdown has started
	metrics              metrics
	classificationCounts atomic.Pointer[classify.Counts]
	pauses               pauseDetector
	wallClock            wallClockMonitor
}

// ConfigLoader reads the configuration for a reload.
type ConfigLoader func() (*settings.Config, error)

// New prepares a router. It starts no goroutine.
func New(cfg *settings.Config, log *zap.Logger) *Router {
	moduleSettings := cfg.Module
	limits := divideResources(cfg.Limits)
	moduleSettings.Identity.ClockGranularity = max(moduleSettings.Identity.ClockGranularity, maxSchedulingDelay)
	moduleSettings.Limits.MaxInFlightAttempts = limits.attempts
	moduleSettings.Limits.MaxSendDelay = moduleSettings.Connections.ConnectTimeout + maxSchedulingDelay
	r := &Router{
		config:            cfg,
		log:               log,
		limits:            limits,
		clockOrigin:       time.Now().Add(-clockOriginOffset),
		serving:           make(chan net.Addr, 1),
		workloadIDs:       workloadIDs(moduleSettings.Workloads),
		tenants:           tenants(moduleSettings),
		maxEstimateMB:     maxEstimateMB(moduleSettings),
		enforcedWorkloads: slices.Clone(moduleSettings.Workloads),
		violations:        invariant.NewRecorder(log),
	}
	r.analysers.New = func() any { return new(sqltext.Analyser) }
	r.downstream = downstream.New(r, limits.clientSockets, limits.flowControl, log)
	r.downstream.Violations = r.violations
	r.loop = newEventLoop(r)
	return r
}

func workloadIDs(workloads []decision.Workload) map[string]decision.WorkloadID {
	ids := make(map[string]decision.WorkloadID, len(workloads))
	for i, workload := range workloads {
		ids[workload.Name] = decision.WorkloadID(i)
	}
	return ids
}

func tenants(moduleSettings *settings.ModuleSettings) map[decision.Tenant]bool {
	known := make(map[decision.Tenant]bool, len(moduleSettings.Quotas.Tenants))
	for _, quota := range moduleSettings.Quotas.Tenants {
		known[quota.Tenant] = true
	}
	return known
}

// maxEstimateMB returns the largest memory estimate that a request may declare, in MB: a multiple of the largest machine's memory, or
// no limit if the settings state no machine's memory.
func maxEstimateMB(moduleSettings *settings.ModuleSettings) float64 {
	largest := 0.0
	for _, machine := range moduleSettings.Engines.Machines {
		largest = max(largest, machine.MemoryMB)
	}
	return cmp.Or(maxEstimateFactor*largest, math.MaxFloat64)
}

// Run serves requests until stop ends, then until the admitted requests are answered or the time of a graceful shutdown is up. At each
// reload signal it applies the configuration that load reads.
func (r *Router) Run(stop context.Context, reload <-chan os.Signal, load ConfigLoader) error {
	r.limits.applyToRuntime()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.upstream = r.newUpstream(ctx)
	listener, err := net.Listen("tcp", r.config.ListenAddress)
	if err != nil {
		return err
	}
	r.discovery = discovery.New(r.config.DiscoveryAddress, r.clockOrigin, r.receiveWatchEvent, r.log)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.loop.run(ctx) })
	knownEndpoints, err := r.applyKnownEvents() // the module receives these first
	if err != nil {
		cancel()
		listener.Close()
		return errors.Join(err, group.Wait())
	}
	r.discovery.LastEventID = r.config.LastEventID
	r.startServices(ctx, group, listener)
	group.Go(func() error { return r.awaitReload(ctx, reload, load) })
	group.Go(func() error {
		defer cancel()
		defer listener.Close()
		return r.awaitShutdown(ctx, stop, listener)
	})
	r.log.Info(logevent.SettingsLoaded, zap.Any("module", r.config.Module), zap.Any("limits", r.config.Limits))
	r.log.Info(logevent.Serving, zap.String("name", r.config.Name), zap.Stringer(logevent.KeyListen, listener.Addr()),
		zap.Int("engines", knownEndpoints))
	r.serving <- listener.Addr()
	err = group.Wait()
	r.log.Info(logevent.Stopped, zap.Error(err))
	return err
}

// startServices starts the goroutines for clients, engines, the control feed, metrics and the control group. They run until ctx ends.
func (r *Router) startServices(ctx context.Context, group *errgroup.Group, listener net.Listener) {
	group.Go(func() error { return r.upstream.Run(ctx) })
	group.Go(func() error { return r.downstream.Serve(ctx, listener) })
	group.Go(func() error { return r.discovery.Watch(ctx) })
	group.Go(func() error { return r.awaitReachableEngine(ctx) })
	group.Go(func() error { return r.reportMetrics(ctx) })
	if lease := r.loop.lease; lease != nil {
		group.Go(func() error { return lease.run(ctx) })
	}
}

func (r *Router) newUpstream(ctx context.Context) *upstream.Client {
	connections := r.config.Module.Connections
	client := upstream.New(ctx, r, r.limits.engineSockets, connections.IdleTimeout, connections.ConnectTimeout, r.log)
	client.AwaitDiscovery = r.awaitDiscovery
	client.Violations = r.violations
	return client
}

// Serving returns a channel that receives the router's address once clients can connect.
func (r *Router) Serving() <-chan net.Addr { return r.serving }

// now returns the time on the module's clock.
func (r *Router) now() time.Duration { return time.Since(r.clockOrigin) }

// ValidateConfig checks what package settings does not: that each known event can be parsed. It returns the first error.
func ValidateConfig(cfg *settings.Config) error {
	for i, raw := range cfg.KnownEvents {
		if _, _, err := discovery.ParseEvent(raw); err != nil {
			return fmt.Errorf("known.events[%d]: %w", i, err)
		}
	}
	return nil
}
