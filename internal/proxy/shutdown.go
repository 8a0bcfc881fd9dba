package proxy

import (
	"context"
	"net"
	"time"

	"bankledge/decision"
	"bankledge/internal/downstream"
	"bankledge/internal/logevent"
)

// Timing of a graceful shutdown.
const (
	acceptGrace        = time.Second            // time after the signal during which new connections are accepted
	requestGrace       = 600 * time.Millisecond // time after the signal during which requests are accepted, on any connection
	maxAwaitedTimeout  = 3 * time.Second        // the longest statement timeout that a shutdown waits for
	finalReplyTime     = 200 * time.Millisecond // time for the answers to requests that are cancelled at the end of a shutdown
	finalReplyDivisor  = 8                      // limits finalReplyTime to 1/8 of the longest statement timeout
	idleCheckInterval  = 10 * time.Millisecond
	requiredIdleChecks = 3 // consecutive checks that must find the router idle, or its time up, before it ends
)

// shutdownSchedule holds the times, after the signal, at which open requests are cancelled and at which the router ends in any case.
type shutdownSchedule struct {
	cancelAfter time.Duration
	endAfter    time.Duration
}

// newShutdownSchedule derives the schedule from the workloads' statement timeouts. A request that arrives at the end of requestGrace has
// its full time: the router ends the longest statement timeout later (at most maxAwaitedTimeout), before the process would be killed.
func newShutdownSchedule(workloads []decision.Workload) shutdownSchedule {
	longest := time.Duration(0)
	for _, workload := range workloads {
		longest = max(longest, workload.StatementTimeout)
	}
	end := min(longest, maxAwaitedTimeout) + requestGrace
	return shutdownSchedule{
		cancelAfter: end - min(finalReplyTime, longest/finalReplyDivisor),
		endAfter:    end,
	}
}

// isOver reports whether a shutdown may end: the router is idle and acceptGrace has passed, or the time is up.
func (s shutdownSchedule) isOver(elapsed time.Duration, idle bool) bool {
	return elapsed > s.endAfter || elapsed > acceptGrace && idle
}

// awaitShutdown waits for the stop signal and then shuts the router down gracefully: it notifies clients to send no new requests, answers
// requests that still arrive, and returns when all requests are answered or the time is up.
func (r *Router) awaitShutdown(ctx, stop context.Context, listener net.Listener) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stop.Done():
	}
	schedule := newShutdownSchedule(r.config.Module.Workloads)
	started := time.Now()
	r.log.Info(logevent.ShutdownStarted, logevent.Milliseconds("within_ms", schedule.endAfter))
	r.draining.Store(true)
	r.downstream.StartDraining()
	r.loop.post(input{message: shutdownStarted{gracePeriod: schedule.cancelAfter}})
	r.awaitIdle(ctx, listener, schedule, started)
	return nil
}

// shutdownStarted is the start of a graceful shutdown. After the grace period the module ends the requests that are open, and the event
// loop rejects new ones, since the process ends before they could be answered.
type shutdownStarted struct{ gracePeriod time.Duration }

func (m shutdownStarted) apply(l *eventLoop, now time.Duration) decision.Event {
	l.rejectFrom = now + m.gracePeriod
	return decision.ShutdownStarted{GracePeriod: m.gracePeriod}
}

// awaitIdle closes the listener once no connection is waiting to be accepted, and returns when the shutdown may end. Several consecutive
// checks have to agree, because after a pause of the router the input that arrived during it has to be read first.
func (r *Router) awaitIdle(ctx context.Context, listener net.Listener, schedule shutdownSchedule, started time.Time) {
	listenerClosed := false
	for idleChecks := 0; idleChecks < requiredIdleChecks; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(idleCheckInterval):
		}
		elapsed := time.Since(started)
		if !listenerClosed && elapsed > acceptGrace && !downstream.AcceptPending(listener) {
			listenerClosed = true
			listener.Close()
		}
		if schedule.isOver(elapsed, listenerClosed && r.isIdle()) {
			idleChecks++
		} else {
			idleChecks = 0
		}
	}
}

// isIdle reports whether no request is open and no connection or frame is waiting to be accepted, read, written or acknowledged. It may
// miss a request that was read and is not open yet; the next check sees that request.
func (r *Router) isIdle() bool {
	return r.downstream.PendingReads() == 0 && r.metrics.open.Load() == 0 && r.downstream.PendingWrites() == 0
}
