package faultlab

import (
	"context"
	"os"
	"syscall"
	"time"
)

// Times of a planned restart, relative to its SIGTERM.
const (
	requestWindow     = 600 * time.Millisecond // statements written before this time are answered, even if the process is killed
	killGrace         = 700 * time.Millisecond // SIGKILL is sent at the earliest after the longest timeout plus this grace
	maxAwaitedTimeout = 3 * time.Second        // upper bound of the timeout that delays SIGKILL
	signalSpacing     = 2 * time.Millisecond   // between the signals of a series
)

// earliestKill returns the shortest time from SIGTERM to SIGKILL that the shutdown protocol allows.
func (s *Scenario) earliestKill() time.Duration {
	longest := time.Duration(0)
	for _, w := range workloads {
		longest = max(longest, s.scaledTimeout(w.timeout))
	}
	return min(longest, maxAwaitedTimeout) + killGrace
}

// retire shuts the process down with a series of signals that begins with SIGTERM, kills it as soon as the protocol allows, and starts a
// new process immediately.
func (r *router) retire(ctx context.Context, signals int) error {
	r.fleet.record(Event{Kind: RouterDown, Router: r.index, Text: downTerminated})
	r.mu.Lock()
	p := r.process
	r.mu.Unlock()
	kill := time.After(r.fleet.scenario.earliestKill())
	if err := p.signalSeries(syscall.SIGTERM, signals); err != nil {
		return err
	}
	select {
	case <-kill:
	case <-ctx.Done():
	}
	if err := p.kill(); err != nil {
		return err
	}
	if err := r.start(ctx); err != nil && ctx.Err() == nil {
		r.fleet.record(Event{Kind: InvariantViolated, Router: r.index, Text: "restart after a shutdown failed: " + err.Error()})
	}
	return nil
}

// signalSeries sends a signal and then, signalSpacing apart, SIGHUP and SIGTERM alternately, until it has sent the given number of signals.
func (p *process) signalSeries(first os.Signal, signals int) error {
	next := first
	for i := range signals {
		if i > 0 {
			time.Sleep(signalSpacing)
		}
		if err := p.signal(next); err != nil {
			return err
		}
		next = syscall.SIGHUP
		if i%2 == 1 {
			next = syscall.SIGTERM
		}
	}
	return nil
}

// reloadBeforeReady makes a process that serves but is not ready yet reload its configuration twice.
func (p *process) reloadBeforeReady() error {
	if err := p.signal(syscall.SIGHUP); err != nil {
		return err
	}
	time.Sleep(signalSpacing)
	return p.signal(syscall.SIGHUP)
}
