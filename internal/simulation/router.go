package simulation

import (
	"fmt"
	"time"

	"bankledge/internal/configversion"
	"bankledge/internal/lease"
	"bankledge/internal/rules"
)

const (
	streamCheckInterval = 250 * time.Millisecond
	// maxSilentStreamChecks is the number of consecutive checks with a silent stream after which the router closes the stream.
	maxSilentStreamChecks = 4
	connectTimeout        = 300 * time.Millisecond
)

// routerHost runs one router: its lease client, and the rules that it applies.
type routerHost struct {
	host
	client       *lease.Client
	rules        *rules.Rules           // that the router applies
	applied      appliedConfiguration   // from which the rules were computed
	received     *configversion.Version // newest version, with plain push only
	streamSource *processHost           // whose stream of versions the router reads
}

// localRules returns the rules of a router's own settings, which are the most restrictive ones.
func localRules(routers int) *rules.Rules {
	r := &rules.Rules{
		Routers:                  routers,
		SlowStartMultiple:        1,
		SlowStartShare:           0.1,
		HealthChecksPerStatement: 0.5,
		RetryBudgetShare:         0.1,
		SlowStartDurationMillis:  30000,
		KeyQuietPeriodMillis:     10000,
		RetryBudgetWindowMillis:  10000,
	}
	if err := r.Validate(); err != nil {
		panic(err)
	}
	return r
}

func (r *routerHost) start() {
	r.incarnation++
	r.up = true
	r.client = lease.NewClient(lease.ClientSettings{
		Durations:    r.sim.LeaseDurations,
		Name:         fmt.Sprint("r", (r.id-firstRouterID)/2), // two routers share each name, as after a configuration mistake
		Incarnation:  r.leaseIncarnation(),
		LocalRules:   localRules(r.sim.Routers),
		Guards:       configversion.Guards{MaxRemovedShare: 1},
		AddressCount: r.sim.Processes,
		Seed:         r.sim.Seed*4096 + uint64(r.id*8+r.incarnation),
	})
	r.rules = localRules(r.sim.Routers)
	r.applied = appliedConfiguration{starting: true}
	r.received = nil
	r.streamSource = nil
	r.step(lease.ClientTick{})
}

// leaseIncarnation returns the id of this incarnation in renewals.
func (r *routerHost) leaseIncarnation() string { return fmt.Sprintf("%d.%d", r.id, r.incarnation) }

func (r *routerHost) receiveVersion(raw []byte, activated uint64) {
	version, err := configversion.Decode(raw)
	if err != nil {
		r.step(lease.InvalidVersionReceived{Err: err})
		return
	}
	if r.sim.PlainPush {
		r.applyImmediately(version)
		return
	}
	r.step(lease.VersionReceived{Version: version, Activated: activated})
}

// applyImmediately applies a version on arrival: the baseline without leases.
func (r *routerHost) applyImmediately(version *configversion.Version) {
	if r.received != nil && version.Number <= r.received.Number {
		return
	}
	r.received = version
	r.rules = version.Rules
	r.applied = appliedConfiguration{activated: version.Number, leased: true}
}

func (r *routerHost) step(event lease.ClientEvent) {
	if r.sim.PlainPush {
		_, lost := event.(lease.StreamLost)
		if lost || r.streamSource == nil {
			r.openStream(r.sim.random.IntN(r.sim.Processes), 0)
		}
		return
	}
	for _, action := range r.client.Step(r.now(), event) {
		r.execute(action)
	}
	r.setTimer(r.client.NextDeadline(), func() { r.step(lease.ClientTick{}) })
}

func (r *routerHost) execute(action lease.ClientAction) {
	switch action := action.(type) {
	case lease.SendRenewal:
		r.sendRenewal(r.sim.processes[action.AddressIndex], action.Renewal)
	case lease.ApplyRules:
		configuration := action.Configuration
		r.rules = action.Rules
		r.applied = appliedConfiguration{activated: configuration.Activated, pending: configuration.Pending, leased: configuration.Leased}
		r.sim.record("router %d acts on settled %d, pending %d, term %t", r.id, configuration.Activated, configuration.Pending, configuration.Leased)
	case lease.ReopenStream:
		r.openStream(action.AddressIndex, action.AfterVersion)
	case lease.LogMessage:
		r.sim.record("router %d: %s", r.id, action.Text)
	}
}

func (r *routerHost) sendRenewal(to *processHost, renewal lease.Renewal) {
	incarnation := r.incarnation
	r.sim.auditor.observeRenewal(r.sim, renewal)
	r.sim.send(r.id, to.id, func() {
		to.deliver(to.incarnation, func() {
			to.call(call{router: r, incarnation: incarnation}, func(callID uint64) lease.CoordinatorEvent {
				return lease.RenewalReceived{CallID: callID, Renewal: renewal}
			})
		})
	})
}

// checkLeaseExpiry checks the lease, as a router does before each batch of decisions.
func (r *routerHost) checkLeaseExpiry() {
	if !r.isRunning() || r.sim.PlainPush {
		return
	}
	expiry := r.client.LeaseExpiry()
	if expiry > 0 && r.now() >= expiry {
		r.step(lease.ClientTick{})
	}
}

// openStream makes the router read the versions from a process instead of from its previous stream. The process pushes versions until the
// router or the process stops.
func (r *routerHost) openStream(addressIndex int, afterVersion uint64) {
	process := r.sim.processes[addressIndex]
	incarnation := r.incarnation
	if r.streamSource != nil {
		delete(r.streamSource.streams, r.id)
	}
	r.streamSource = process
	if !process.up || r.sim.network.cut[link{r.id, process.id}] {
		r.sim.after(connectTimeout, func() { r.loseStream(incarnation) })
		return
	}
	r.sim.send(r.id, process.id, func() {
		serving := process.incarnation
		process.deliver(process.incarnation, func() {
			opened := &stream{router: r, incarnation: incarnation, sentVersion: afterVersion}
			process.streams[r.id] = opened
			process.push(opened)
			r.watchStream(process, serving, incarnation)
		})
	})
}

func (r *routerHost) loseStream(incarnation int) {
	r.deliver(incarnation, func() { r.step(lease.StreamLost{}) })
}

// watchStream closes a stream if its process has crashed or has been silent at maxSilentStreamChecks consecutive checks.
func (r *routerHost) watchStream(process *processHost, serving, incarnation int) {
	silentChecks := 0
	var check func()
	check = func() {
		if r.streamSource != process || r.incarnation != incarnation || !r.up {
			return
		}
		sameProcess := process.up && process.incarnation == serving
		if sameProcess && !process.paused && !r.sim.network.cut[link{process.id, r.id}] {
			silentChecks = 0
		} else {
			silentChecks++
		}
		if !sameProcess || silentChecks >= maxSilentStreamChecks {
			delete(process.streams, r.id)
			r.loseStream(incarnation)
			return
		}
		r.sim.after(streamCheckInterval, check)
	}
	r.sim.after(streamCheckInterval, check)
}
