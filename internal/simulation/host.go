package simulation

import "time"

// minTimerDelay is the shortest delay of a timer. It makes the simulated time advance even if a host's deadline has already passed.
const minTimerDelay = 100 * time.Microsecond

// clock is a host's monotonic clock: its rate differs slightly from that of the simulated time, and it starts at a random offset.
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

// reading returns what the clock shows at a simulated time.
func (c clock) reading(simulatedTime time.Duration) time.Duration {
	return c.offset + time.Duration(float64(simulatedTime)*c.rate)
}

// simulatedTime returns the simulated time of a reading of the clock.
func (c clock) simulatedTime(reading time.Duration) time.Duration {
	return time.Duration(float64(reading-c.offset)/c.rate) + 1
}

// host is the common part of the group's processes and the routers: a clock, and whether the host runs, is paused or has been killed.
type host struct {
	sim             *simulation
	id              int
	clock           clock
	up              bool
	paused          bool
	incarnation     int      // number of starts
	deferred        []func() // events that arrived while the host was paused
	timerGeneration int      // incremented by each setTimer; timers of earlier generations are ignored
}

func (s *simulation) newHost(id int) host {
	return host{sim: s, id: id, clock: s.newClock()}
}

// now returns the reading of the host's own clock.
func (h *host) now() time.Duration { return h.clock.reading(h.sim.now) }

func (h *host) isRunning() bool { return h.up && !h.paused }

// deliver runs an event for an incarnation of the host: immediately, or after a paused host is resumed. It drops the event if that
// incarnation no longer runs.
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

// setTimer runs an event when the host's clock reaches a reading. It replaces the previous timer.
func (h *host) setTimer(reading time.Duration, event func()) {
	h.timerGeneration++
	generation := h.timerGeneration
	incarnation := h.incarnation
	when := max(h.clock.simulatedTime(reading), h.sim.now+minTimerDelay)
	h.sim.at(when, func() {
		if h.timerGeneration == generation {
			h.deliver(incarnation, event)
		}
	})
}
