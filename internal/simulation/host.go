package simulation

import "time"

// minTimerDelay makes the simulated time advance although a host's deadline has already passed.
const minTimerDelay = 100 * time.Microsecond

// clock is a host's monotonic clock: it runs a little fast or slow, and started some time ago.
type clock struct {
	rate   float64
	offset time.Duration
}

// newClock returns a random clock that runs slow, exactly or fast, within the drift that the lease durations allow.
func (s *simulation) newClock() clock {
	drift := s.LeaseDurations.MaxClockDrift
	return clock{
		rate:   1 + drift*float64(s.random.IntN(3)-1),
		offset: s.uniform(0, time.Hour),
	}
}

// at is the reading of the clock at a true time.
func (c clock) at(trueTime time.Duration) time.Duration {
	return c.offset + time.Duration(float64(trueTime)*c.rate)
}

// trueTime is the true time of a reading of the clock.
func (c clock) trueTime(shown time.Duration) time.Duration {
	return time.Duration(float64(shown-c.offset)/c.rate) + 1
}

// host is the common part of the group's processes and the routers: a clock, and the state of being paused, killed or restarted.
type host struct {
	sim             *simulation
	id              int
	clock           clock
	up              bool
	paused          bool
	incarnation     int      // counts the starts
	deferred        []func() // events received while it was paused
	timerGeneration int      // a timer of an earlier generation was replaced
}

func (s *simulation) newHost(id int) host {
	return host{sim: s, id: id, clock: s.newClock()}
}

// now is the time by the host's own clock.
func (h *host) now() time.Duration { return h.clock.at(h.sim.now) }

func (h *host) isRunning() bool { return h.up && !h.paused }

// deliver runs an event of an incarnation: at once, when a paused host is resumed, or never if the incarnation has ended.
func (h *host) deliver(incarnation int, event func()) {
	switch {
	case !h.up || incarnation != h.incarnation:
	case h.paused:
		h.deferred = append(h.deferred, event)
	default:
		event()
	}
}

func (h *host) pause() { h.paused = true }

func (h *host) resume() {
	h.paused = false
	deferred := h.deferred
	h.deferred = nil
	for _, event := range deferred {
		if h.up {
			event()
		}
	}
}

func (h *host) kill() {
	h.up = false
	h.paused = false
	h.deferred = nil
}

// setTimer runs an event when the host's clock shows a time. It replaces the timer that was set before.
func (h *host) setTimer(shown time.Duration, event func()) {
	h.timerGeneration++
	generation := h.timerGeneration
	incarnation := h.incarnation
	when := max(h.clock.trueTime(shown), h.sim.now+minTimerDelay)
	h.sim.at(when, func() {
		if h.timerGeneration == generation {
			h.deliver(incarnation, event)
		}
	})
}
