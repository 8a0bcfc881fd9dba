package proxy

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/controlclient"
	"bankledge/internal/lease"
	"bankledge/internal/logevent"
	"bankledge/internal/rules"
	"bankledge/internal/settings"
)

// incarnationBytes is the length of the random incarnation id that distinguishes this process from earlier routers of the same name.
const incarnationBytes = 8

// configurationLease applies the configuration versions of a control group, under leases that the group grants. The event loop owns it
// and advances it by the clock before each batch, so a new version takes effect between two batches. It exists only if the operator's
// file configures a control group.
type configurationLease struct {
	client    *lease.Client
	transport *controlclient.Transport

	moduleSettings *settings.ModuleSettings
	routerName     string
	activeRules    *rules.Rules // rules that the router applies
	endpoints      map[decision.EngineID]*endpointView
}

// FollowControlGroup makes the router apply the configuration versions of a control group. It must be called before Run.
func (r *Router) FollowControlGroup(file *controlclient.Config) {
	localRules := RulesFromSettings(r.config.Module)
	client := lease.NewClient(lease.ClientSettings{
		Durations:    file.LeaseDurations(),
		Name:         r.config.Name,
		Incarnation:  newIncarnation(),
		Lineage:      file.Lineage,
		LocalRules:   localRules,
		Guards:       file.Guards(),
		AddressCount: len(file.Addresses),
		Seed:         r.config.Seed,
	})
	post := func(event lease.ClientEvent) { r.loop.post(input{message: leaseEvent{event}}) }
	r.loop.lease = &configurationLease{
		client:         client,
		transport:      controlclient.NewTransport(file.Addresses, file.LeaseDurations(), post, r.log),
		moduleSettings: r.config.Module,
		routerName:     r.config.Name,
		activeRules:    localRules,
		endpoints:      map[decision.EngineID]*endpointView{},
	}
}

func newIncarnation() string {
	var random [incarnationBytes]byte
	rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// run serves the connections to the control group until ctx ends.
func (c *configurationLease) run(ctx context.Context) error {
	defer c.transport.Close()
	return c.transport.Run(ctx)
}

// hasExpired reports whether the lease under which a batch was decided has expired, so that no more of its attempts may start.
func (c *configurationLease) hasExpired(now time.Duration) bool {
	expiry := c.client.LeaseExpiry()
	return expiry > 0 && now >= expiry
}

// leaseEvent is an event of the connections to the control group. The event loop passes it to stepLease, since it may yield several
// events for the module.
type leaseEvent struct{ event lease.ClientEvent }

func (leaseEvent) apply(*eventLoop, time.Duration) decision.Event { return nil }

// stepLease passes an event to the lease client, executes the resulting actions and returns the resulting events for the module.
func (l *eventLoop) stepLease(now time.Duration, event lease.ClientEvent) (events []decision.Event) {
	for _, action := range l.lease.client.Step(now, event) {
		apply, isApply := action.(lease.ApplyRules)
		if !isApply {
			l.lease.transport.Execute(action)
			continue
		}
		l.lease.activeRules = apply.Rules
		l.router.log.Info(logevent.ActiveRulesChanged, zap.Stringer("configuration", apply.Configuration), zap.Bool("leased", apply.Configuration.Leased),
			zap.Uint64("activated", apply.Configuration.Activated), zap.Uint64("pending", apply.Configuration.Pending))
		events = append(events, l.lease.rulesChanged())
		if list := l.lease.changedEndpoints(now); len(list.Endpoints) > 0 {
			events = append(events, list)
		}
	}
	return events
}
