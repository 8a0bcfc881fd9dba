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
	// A router closes a stream that was silent at this many checks in a row.
	maxSilentStreamChecks = 4
	connectTimeout        = 300 * time.Millisecond
)

// routerHost runs one router's side: its lease client, and the rules that it acts on.
type routerHost struct {
	host
	client   *lease.Client
	acting   *rules.Rules
	basis    actingBasis            // of acting
	received *configversion.Version // newest one, with plain push
	followed *processHost           // whose stream of versions it reads
}

// localRules are the rules of a router's own settings: the most restrictive ones.
func localRules(routers int) *rules.Rules {
	r := &rules.Rules{
		Routers:                  routers,
		SlowStartMultiple:        1,
		SlowStartShare:           0.1,
		HealthChecksPerStatement: 0.5,
		RetryBudgetShare:         0.1,
		WarmAfterMillis:          30000,
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
		Name:         fmt.Sprint("r", (r.id-firstRouterID)/2), // two routers share each name, as by mistake
		Incarnation:  r.leaseIncarnation(),
		LocalRules:   localRules(r.sim.Routers),
		Guards:       configversion.Guards{MaxRemovedShare: 1},
		AddressCount: r.sim.Processes,
		Seed:         r.sim.Seed*4096 + uint64(r.id*8+r.incarnation),
	})
	r.acting = localRules(r.sim.Routers)
	r.basis = actingBasis{starting: true}
	r.received = nil
	r.followed = nil
	r.step(lease.ClientTick{})
}

// leaseIncarnation is the id of this incarnation in renewals.
func (r *routerHost) leaseIncarnation() string { return fmt.Sprintf("%d.%d", r.id, r.incarnation) }

func (r *routerHost) receiveVersion(raw []byte, activated uint64) {
	version, err := configversion.Decode(raw)
	if err != nil {
		r.step(lease.InvalidVersionReceived{Err: err})
		return
	}
	if r.sim.PlainPush {
		r.applyAtOnce(version)
		return
	}
	r.step(lease.VersionReceived{Version: version, Activated: activated})
}

// applyAtOnce is the baseline without leases.
func (r *routerHost) applyAtOnce(version *configversion.Version) {
	if r.received != nil && version.Number <= r.received.Number {
		return
	}
	r.received = version
	r.acting = version.Rules
	r.basis = actingBasis{activated: version.Number, leased: true}
}

func (r *routerHost) step(event lease.ClientEvent) {
	if r.sim.PlainPush {
		_, lost := event.(lease.StreamLost)
		if lost || r.followed == nil {
			r.openStream(r.sim.random.IntN(r.sim.Processes), 0)
		}
		return
	}
	for _, action := range r.client.Step(r.now(), event) {
		r.carryOut(action)
	}
	r.setTimer(r.client.NextDeadline(), func() { r.step(lease.ClientTick{}) })
}

func (r *routerHost) carryOut(action lease.ClientAction) {
	switch action := action.(type) {
	case lease.SendRenewal:
		r.sendRenewal(r.sim.processes[action.AddressIndex], action.Renewal)
	case lease.ApplyRules:
		configuration := action.Configuration
		r.acting = action.Rules
		r.basis = actingBasis{activated: configuration.Activated, pending: configuration.Pending, leased: configuration.Leased}
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

// checkLeaseExpiry is the check of the lease before a batch of decisions.
func (r *routerHost) checkLeaseExpiry() {
	if !r.isRunning() || r.sim.PlainPush {
		return
	}
	expiry := r.client.LeaseExpiry()
	if expiry > 0 && r.now() >= expiry {
		r.step(lease.ClientTick{})
	}
}

// openStream has the router follow the versions at a process, in place of the stream that it read before. The process pushes until
// either side ends.
func (r *routerHost) openStream(addressIndex int, afterVersion uint64) {
	process := r.sim.processes[addressIndex]
	incarnation := r.incarnation
	if r.followed != nil {
		delete(r.followed.streams, r.id)
	}
	r.followed = process
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

// watchStream ends a stream whose process has crashed, or that was silent for too many checks.
func (r *routerHost) watchStream(process *processHost, serving, incarnation int) {
	silentChecks := 0
	var check func()
	check = func() {
		if r.followed != process || r.incarnation != incarnation || !r.up {
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
