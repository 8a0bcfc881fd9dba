package lease

import (
	"fmt"
	"time"
)

// Durations configure the lease protocol. Routers and control group have to use the same LeaseDuration and MaxClockDrift.
type Durations struct {
	// LeaseDuration is how long a lease lasts in real time.
	LeaseDuration time.Duration
	// RenewInterval is the time between two renewals of a client.
	RenewInterval time.Duration
	// ReplyTimeout is how long a client waits for the reply to a renewal before it counts the renewal as failed, and a coordinator for the
	// confirmation of its leadership before it requests another.
	ReplyTimeout time.Duration
	// MaxClockDrift bounds the rate error of clocks: in one second of real time a clock advances by 1-MaxClockDrift to 1+MaxClockDrift
	// seconds.
	MaxClockDrift float64
	// MaxBatch is the longest time from when a router checks its lease until the last decision that depends on the check is carried out.
	MaxBatch time.Duration
	// MaxPause is the longest pause of a router's process, between the check of the lease and an action, that the router can't detect.
	MaxPause time.Duration
}

// Bounds on configured durations.
const (
	minLeaseDuration = 100 * time.Millisecond
	maxLeaseDuration = time.Hour
	minInterval      = 10 * time.Millisecond
	maxClockDrift    = 0.2
)

// DefaultDurations returns durations that suit routers and a control group in one building.
func DefaultDurations() Durations {
	return Durations{
		LeaseDuration: 2 * time.Second,
		RenewInterval: 400 * time.Millisecond,
		ReplyTimeout:  400 * time.Millisecond,
		MaxClockDrift: 0.01,
		MaxBatch:      50 * time.Millisecond,
		MaxPause:      50 * time.Millisecond,
	}
}

// ClientLease returns how long a client holds a lease by its own clock. It is shorter than LeaseDuration by the drift, so that even on a slow
// clock the lease ends within LeaseDuration of real time.
func (d Durations) ClientLease() time.Duration {
	return time.Duration(float64(d.LeaseDuration) * (1 - d.MaxClockDrift))
}

// CoordinatorLease returns how long a coordinator treats a lease as valid by its own clock. It is longer than LeaseDuration by the drift, so
// that even on a fast clock the coordinator waits for at least LeaseDuration of real time.
func (d Durations) CoordinatorLease() time.Duration {
	return time.Duration(float64(d.LeaseDuration) * (1 + d.MaxClockDrift))
}

// MaxContradiction bounds the time during which two routers may act on conflicting rules, counted from when the first of them receives the
// newer version. docs/control.md calls the bound T and proves it.
func (d Durations) MaxContradiction() time.Duration { return d.LeaseDuration + d.MaxBatch + d.MaxPause }

// MaxActivation bounds the time from the commit of a version until it is activated everywhere, provided that the leader does not change. A
// new leader starts this time anew.
func (d Durations) MaxActivation() time.Duration {
	return time.Duration(float64(d.CoordinatorLease())/(1-d.MaxClockDrift)) + d.RenewInterval
}

// CompatibilityKey identifies the durations that a router and its control group have to share. It is sent with each renewal.
func (d Durations) CompatibilityKey() string {
	return fmt.Sprintf("term %v, drift %v", d.LeaseDuration, d.MaxClockDrift)
}

// Validate returns an error that names the first setting for which the proof of MaxContradiction does not hold, or for which leases could not
// be renewed in time.
func (d Durations) Validate() error {
	for _, setting := range []struct {
		name            string
		value           time.Duration
		lowest, highest time.Duration
	}{
		{"term", d.LeaseDuration, minLeaseDuration, maxLeaseDuration},
		{"renew", d.RenewInterval, minInterval, d.LeaseDuration},
		{"answer", d.ReplyTimeout, minInterval, d.LeaseDuration},
		{"batch", d.MaxBatch, 0, d.LeaseDuration / 2},
		{"pause", d.MaxPause, 0, d.LeaseDuration / 2},
	} {
		if setting.value < setting.lowest || setting.value > setting.highest {
			return fmt.Errorf("%s: %v is not from %v to %v", setting.name, setting.value, setting.lowest, setting.highest)
		}
	}
	if !(d.MaxClockDrift >= 0 && d.MaxClockDrift <= maxClockDrift) { // also rejects NaN
		return fmt.Errorf("drift: %v is not from 0 to %v", d.MaxClockDrift, maxClockDrift)
	}
	// The lease has to last for two renewals, so that one lost reply does not end it.
	if lowest := 2 * (d.RenewInterval + d.ReplyTimeout); d.ClientLease() < lowest {
		return fmt.Errorf("term: %v, less drift, is under %v: one answer that is lost would end it", d.LeaseDuration, lowest)
	}
	return nil
}
