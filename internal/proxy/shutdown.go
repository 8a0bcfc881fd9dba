package proxy

import (
	"context"
	"net"
	"time"

	"bankledge/decision"
	"bankledge/internal/downstream"
	"bankledge/internal/logevent"
)

// The times of a graceful shutdown.
const (
	acceptGrace          = time.Second            // after the signal, how long new connections are accepted
	requestGrace         = 600 * time.Millisecond // after the signal, how long requests are accepted, on any connection
	maxAwaitedTimeout    = 3 * time.Second        // the longest statement timeout that a shutdown waits for
	finalReplyTime       = 200 * time.Millisecond // for the answers to what is cancelled at the end of a shutdown
	finalReplyDivisor    = 8                      // bounds finalReplyTime by 1/8 of the longest statement timeout
	idleCheckInterval    = 10 * time.Millisecond
	consecutiveIdleCount = 3 // checks in a row that have to find the router idle, or its time up, before it ends
)

// shutdownSchedule holds the times after the signal at which open requests are cancelled, and at which the router ends in any case.
type shutdownSchedule struct {
	cancelAfter time.Duration
	endAfter    time.Duration
}

// newShutdownSchedule derives the schedule from the workloads' statement timeouts. A request that arrives at the end of the request
// grace has its full time: the router ends the longest statement timeout later (at most maxAwaitedTimeout), before it would be killed.
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

// isOver reports whether a shutdown may end: the router is idle and accepts no more requests, or its time is up.
func (s shutdownSchedule) isOver(elapsed time.Duration, idle bool) bool {
	return elapsed > s.endAfter || elapsed > acceptGrace && idle
}

// awaitShutdown waits for the signal to stop. Then clients are notified to send no new requests, those that arrive all the same are
// answered, and the router ends when all requests are answered, or when its time is up.
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

// shutdownStarted is the begin of a graceful shutdown. The module ends what is open after the grace period; what arrives from then on never
// runs, since the process ends before it could be answered.
type shutdownStarted struct{ gracePeriod time.Duration }

func (m shutdownStarted) apply(l *eventLoop, now time.Duration) decision.Event {
	l.rejectFrom = now + m.gracePeriod
	return decision.ShutdownStarted{GracePeriod: m.gracePeriod}
}

// awaitIdle closes the listener once no connection waits to be accepted, and returns when the shutdown may end. Several checks in a
// row have to agree: after a pause, input that arrived during it has to be read first.
func (r *Router) awaitIdle(ctx context.Context, listener net.Listener, schedule shutdownSchedule, started time.Time) {
	listenerClosed := false
	for idleChecks := 0; idleChecks < consecutiveIdleCount; {
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

// isIdle reports whether no request is open and no connection or frame waits to be accepted, read, written or acknowledged. A request
// that was read and is not open yet is only seen by the next check.
func (r *Router) isIdle() bool {
	return r.downstream.PendingReads() == 0 && r.metrics.open.Load() == 0 && r.downstream.PendingWrites() == 0
}
