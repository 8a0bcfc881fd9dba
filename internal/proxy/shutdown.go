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
	acceptGrace          = time.Second            // after the signal new connections are accepted so long
	requestGrace         = 600 * time.Millisecond // after the signal requests may come so long, on whatever connection
	maxAwaitedTimeout    = 3 * time.Second        // the longest statement timeout that a shutdown waits for
	finalReplyTime       = 200 * time.Millisecond // for the answers to what is cancelled at the end of a shutdown
	finalReplyDivisor    = 8                      // but no more than one part in so many of the longest statement timeout
	idleCheckInterval    = 10 * time.Millisecond
	consecutiveIdleCount = 3 // checks in a row that find nothing left to do, or the time up, before a shutdown ends
)

// shutdownSchedule is when, after the signal, what is open then is cancelled, and when the router ends whatever is open.
type shutdownSchedule struct {
	cancelAfter time.Duration
	endAfter    time.Duration
}

// newShutdownSchedule works a shutdown out from the workloads' statement timeouts. A request that comes at the end of the request
// grace has its full time: the router ends a statement timeout later, which is before it would be killed, however short that is.
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

// isOver reports whether a shutdown may end: nothing is open and nothing can come any more, or its time is up.
func (s shutdownSchedule) isOver(elapsed time.Duration, idle bool) bool {
	return elapsed > s.endAfter || elapsed > acceptGrace && idle
}

// awaitShutdown waits for the signal to stop. Then clients are notified to send no new requests, those that come all the same are
// answered, and the router ends when all are, or when its time is up.
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
	r.loop.post(input{event: decision.ShutdownStarted{GracePeriod: schedule.cancelAfter}})
	r.awaitIdle(ctx, listener, schedule, started)
	return nil
}

// awaitIdle closes the listener once nothing waits to be accepted and returns when the shutdown may end. It takes several checks in
// a row: after a pause a router has to read first what came meanwhile.
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

// isIdle reports whether nothing is open and nothing waits to be accepted, read, written or received by a client. What was read and
// is not open yet shows at the next check: after a pause a router checks before it has read what came meanwhile.
func (r *Router) isIdle() bool {
	return r.downstream.PendingReads() == 0 && r.metrics.open.Load() == 0 && r.downstream.PendingWrites() == 0
}
