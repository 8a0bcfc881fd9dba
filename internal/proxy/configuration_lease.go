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

// incarnationBytes is the length of the random incarnation that distinguishes this process from earlier ones of the same name.
const incarnationBytes = 8

// configurationLease is the router's side of a control group: it acts on the group's configuration versions, under leases that the
// group grants. The event loop owns it and steps it by the clock before each batch, so the switch from one version to the next lies
// between two batches. Without the operator's file that names a control group there is none.
type configurationLease struct {
	client *lease.Client
	link   *controlclient.Transport

	moduleSettings *settings.ModuleSettings
	routerName     string
	activeRules    *rules.Rules // that the router acts on
	endpoints      map[decision.EngineID]*endpointView
}

// JoinControlGroup has the router act on a control group's configuration versions. It is called before Run.
func (r *Router) JoinControlGroup(file *controlclient.Config) {
	ownRules := RulesFromSettings(r.config.Module)
	client := lease.NewClient(lease.ClientSettings{
		Durations:    file.LeaseDurations(),
		Name:         r.config.Name,
		Incarnation:  newIncarnation(),
		Lineage:      file.Lineage,
		LocalRules:   ownRules,
		Guards:       file.Guards(),
		AddressCount: len(file.Addresses),
		Seed:         r.config.Seed,
	})
	post := func(event lease.ClientEvent) { r.loop.post(input{message: leaseEvent{event}}) }
	r.loop.lease = &configurationLease{
		client:         client,
		link:           controlclient.NewTransport(file.Addresses, file.LeaseDurations(), post, r.log),
		moduleSettings: r.config.Module,
		routerName:     r.config.Name,
		activeRules:    ownRules,
		endpoints:      map[decision.EngineID]*endpointView{},
	}
}

func newIncarnation() string {
	var drawn [incarnationBytes]byte
	rand.Read(drawn[:])
	return hex.EncodeToString(drawn[:])
}

// run serves the connections to the control group until ctx ends.
func (c *configurationLease) run(ctx context.Context) error {
	defer c.link.Close()
	return c.link.Run(ctx)
}

// hasExpired reports whether the lease under which a batch was decided has expired since, so that no attempt is started by it any more.
func (c *configurationLease) hasExpired(now time.Duration) bool {
	expiry := c.client.LeaseExpiry()
	return expiry > 0 && now >= expiry
}

// leaseEvent is an event of the link to the control group. The event loop hands it to stepLease, since it may lead to several events
// for the module.
type leaseEvent struct{ event lease.ClientEvent }

func (leaseEvent) apply(*eventLoop, time.Duration) decision.Event { return nil }

// stepLease hands the lease client an event, and returns the events that follow for the module.
func (l *eventLoop) stepLease(now time.Duration, event lease.ClientEvent) (events []decision.Event) {
	for _, action := range l.lease.client.Step(now, event) {
		use, isUse := action.(lease.ApplyRules)
		if !isUse {
			l.lease.link.Execute(action)
			continue
		}
		l.lease.activeRules = use.Rules
		l.router.log.Info(logevent.ActiveRulesChanged, zap.Stringer("configuration", use.Configuration), zap.Bool("leased", use.Configuration.Leased),
			zap.Uint64("activated", use.Configuration.Activated), zap.Uint64("pending", use.Configuration.Pending))
		events = append(events, l.lease.rulesChanged())
		if list := l.lease.changedEndpoints(now); len(list.Endpoints) > 0 {
			events = append(events, list)
		}
	}
	return events
}
