package faultlab

import (
	"context"
	"os"
	"syscall"
	"time"
)

// The times of a planned restart, from its SIGTERM.
const (
	requestWindow     = 600 * time.Millisecond // what is written by then has its answer, also if the process is killed
	killGrace         = 700 * time.Millisecond // SIGKILL comes so long after SIGTERM, and the longest timeout later
	maxAwaitedTimeout = 3 * time.Second        // the longest timeout that counts for that
	signalSpacing     = 2 * time.Millisecond   // between the signals of a series
)

// earliestKill is how long after SIGTERM a router may be killed at the earliest.
func (s *Scenario) earliestKill() time.Duration {
	longest := time.Duration(0)
	for _, w := range workloads {
		longest = max(longest, s.scaledTimeout(w.timeout))
	}
	return min(longest, maxAwaitedTimeout) + killGrace
}

// retire tells the process to end, by a series of signals that begins with SIGTERM, kills it as soon as the protocol allows, and starts
// another one at once.
func (r *router) retire(ctx context.Context, signals int) error {
	r.fleet.record(Event{Kind: RouterDown, Router: r.index, Text: downTerminated})
	r.mu.Lock()
	p := r.process
	r.mu.Unlock()
	kill := time.After(r.fleet.schedule.earliestKill())
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
		r.fleet.record(Event{Kind: InvariantViolated, Router: r.index, Text: "it does not start again: " + err.Error()})
	}
	return nil
}

// signalSeries sends a signal, and further ones within milliseconds: SIGHUP and SIGTERM in turn.
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

// reloadBeforeReady has a process that serves and is not ready yet read its configuration twice.
func (p *process) reloadBeforeReady() error {
	if err := p.signal(syscall.SIGHUP); err != nil {
		return err
	}
	time.Sleep(signalSpacing)
	return p.signal(syscall.SIGHUP)
}
