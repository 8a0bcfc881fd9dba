package faultlab

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"bankledge/internal/configversion"
	"bankledge/internal/controlclient"
	"bankledge/internal/lease"
	"bankledge/internal/rules"
)

// benchmarkRouter is a router's client of the control service, without the rest of the router.
type benchmarkRouter struct {
	transport *controlclient.Transport
	origin    time.Time // origin of the client's clock
	wake      chan struct{}

	mu            sync.Mutex
	client        *lease.Client
	configuration lease.ActiveConfiguration
	applied       map[uint64]time.Time // activation times by version number
}

func newBenchmarkRouter(index int, local *rules.Rules, addresses []string) *benchmarkRouter {
	r := &benchmarkRouter{
		origin:  time.Now().Add(-time.Hour),
		wake:    make(chan struct{}, 1),
		applied: map[uint64]time.Time{},
	}
	r.client = lease.NewClient(lease.ClientSettings{
		Durations:    GroupDurations,
		Name:         fmt.Sprint("r", index),
		Incarnation:  fmt.Sprint("x", index),
		LocalRules:   local,
		Guards:       configversion.Guards{MaxRemovedShare: 1},
		AddressCount: len(addresses),
		Seed:         uint64(index),
	})
	r.transport = controlclient.NewTransport(addresses, GroupDurations, r.post, zap.NewNop())
	return r
}

// post passes an event to the client, executes the resulting actions and wakes run.
func (r *benchmarkRouter) post(event lease.ClientEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, action := range r.client.Step(time.Since(r.origin), event) {
		if apply, ok := action.(lease.ApplyRules); ok {
			r.apply(apply.Configuration)
			continue
		}
		r.transport.Execute(action)
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// apply stores a configuration and its activation time. The caller holds the lock.
func (r *benchmarkRouter) apply(c lease.ActiveConfiguration) {
	r.configuration = c
	if c.Leased && c.Pending == 0 {
		r.applied[c.Activated] = time.Now()
	}
}

// run steps the client at its deadlines until the context is done.
func (r *benchmarkRouter) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.post(lease.ClientTick{})
		select {
		case <-r.wake: // sent by the call of post above
		default:
		}
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-time.After(max(r.untilDeadline(), time.Millisecond)):
		}
	}
}

func (r *benchmarkRouter) untilDeadline() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.client.NextDeadline() - time.Since(r.origin)
}

func (r *benchmarkRouter) isLeased() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.configuration.Leased
}

// appliedAt returns when the router activated a version, or the zero time if it has not.
func (r *benchmarkRouter) appliedAt(version uint64) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applied[version]
}
