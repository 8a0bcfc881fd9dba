package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/logevent"
)

const (
	// engineRetention is how long an engine keeps an attempt for which it receives no poll or page request.
	engineRetention = 2 * time.Second
	// retentionMargin covers a request that was still in flight to the engine when the wait for its response ended.
	retentionMargin = 300 * time.Millisecond
	// resetMargin replaces retentionMargin after the connection was reset: only packets that are already in the network
	// can still arrive then.
	resetMargin = 100 * time.Millisecond
)

// CancelUnsent cancels the attempt if nothing of it has been sent yet, and reports whether it did. Nothing is sent after
// it has returned true.
func (a *Attempt) CancelUnsent() bool {
	if !a.phase.CompareAndSwap(phasePending, phaseCancelledUnsent) {
		return false
	}
	a.cancel() // also ends the wait for a connection
	return true
}

// Cancel cancels the attempt of a statement that has ended. It does not block. The end is reported once it is confirmed that the engine no
// longer runs the attempt, with the outcome Cancelled unless the attempt ends otherwise first. A start that is still in flight is aborted.
func (a *Attempt) Cancel() {
	a.CancelKeepingStart()
	a.AbortUnansweredStart()
}

// CancelKeepingStart cancels the attempt of a statement that may continue on another engine. Unlike Cancel it does not abort a start that is
// still in flight, since the end of an aborted start takes longer to confirm.
func (a *Attempt) CancelKeepingStart() {
	if !a.CancelUnsent() {
		a.cancel()
	}
}

// AbortUnansweredStart aborts a start that is still in flight, after startAbortDelay. It does not block. It confirms no end, since the
// engine may have received the start already. If no start is in flight, AbortUnansweredStart keeps no reference to the attempt.
func (a *Attempt) AbortUnansweredStart() {
	if a.startDone() {
		return
	}
	time.AfterFunc(startAbortDelay, a.abortStart)
}

// onContextDone is called when the attempt is cancelled or its deadline has passed. It cancels a started attempt at
// the engine and reports its end, concurrently with a poll in flight, whose connection stays usable.
func (a *Attempt) onContextDone() {
	if a.phase.Load() != phaseStarted || a.client.lifetime.Err() != nil {
		return
	}
	outcome := decision.Cancelled
	if errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
		outcome = decision.TimedOut
	}
	a.client.tasks.start(func() { // not started once the task group is closed: the client has shut down then
		a.reportEnd(attemptEnd{outcome: outcome, confirmation: a.cancelAtEngine()})
	})
}

// expiresAtEngine returns the latest time at which the engine drops the attempt if no further request keeps it alive.
// A request with a response reached the engine, which may have held it, before that response: the attempt expires at the
// latest 2.55 s after the last request. A request without a response may have reached the engine until its connection was
// reset: the attempt expires at the latest 2.35 s after the reset, if that is later.
func (a *Attempt) expiresAtEngine() time.Time {
	afterRequest := a.lastRequest.load(a.client.clockOrigin).Add(pollHoldTime + engineRetention + retentionMargin)
	if !a.lastAbort.isSet() {
		return afterRequest
	}
	afterReset := a.lastAbort.load(a.client.clockOrigin).Add(pollHoldTime + engineRetention + resetMargin)
	if afterReset.After(afterRequest) {
		return afterReset
	}
	return afterRequest
}

// cancelAtEngine makes sure that the engine no longer runs the attempt, and returns how that was confirmed. There are
// three ways: the engine confirmed a cancellation that was sent after the engine had answered the start (a start that is
// still in flight would start the attempt again); the response with the attempt's end was received; or the engine's
// retention of an attempt without requests has passed. A refused connection confirms nothing: a draining engine accepts no
// new connections but keeps running attempts, and is still reachable on connections accepted earlier, such as the poll's.
func (a *Attempt) cancelAtEngine() EndConfirmation {
	for {
		confirmation, hasEnded := a.cancelAtEngineUntil(a.expiresAtEngine())
		if hasEnded {
			return confirmation
		}
		if a.client.lifetime.Err() != nil {
			return UnconfirmedAtShutdown
		}
		if !time.Now().Before(a.expiresAtEngine()) { // a poll sent in the meantime postpones the expiry
			return ConfirmedByExpiry
		}
	}
}

// cancelAtEngineUntil sends cancellations until the end is confirmed or the deadline has passed.
func (a *Attempt) cancelAtEngineUntil(deadline time.Time) (confirmation EndConfirmation, hasEnded bool) {
	ctx, cancel := context.WithDeadline(a.client.lifetime, deadline)
	defer cancel()
	for ctx.Err() == nil {
		startWasResolved := isClosed(a.startResolved)
		confirmed := a.sendCancel(ctx)
		if confirmed && startWasResolved {
			return ConfirmedByCancel, true
		}
		var retry <-chan time.Time
		var startResolved <-chan struct{}
		if confirmed { // the start may arrive later, so the cancellation is sent again once the start is resolved
			startResolved = a.startResolved
		} else {
			retry = time.After(retryDelay)
		}
		select {
		case <-retry:
		case <-startResolved:
		case <-a.endConfirmed:
			return ConfirmedByEngine, true
		case <-ctx.Done():
		}
	}
	return 0, false
}

// sendCancel sends one cancellation and reports whether the engine confirmed it. An engine that no longer knows the
// attempt responds with 500, which also counts as confirmed.
func (a *Attempt) sendCancel(ctx context.Context) (confirmed bool) {
	conn, err := a.client.pool.acquire(ctx, a.Engine, a.address, false)
	if err != nil {
		return false
	}
	cancellation := formatRequest(http.MethodDelete, a.resourcePath, conn.address, nil)
	received, err := conn.roundTrip(time.Now().Add(pollTimeout), cancellation)
	a.client.log.Debug(logevent.UpstreamCancelAnswered, logevent.RequestID(a.Statement), logevent.Endpoint(a.Engine),
		logevent.Duration(time.Since(a.createdAt)), zap.Int("status", received.Status), zap.Error(err))
	if err != nil {
		a.client.pool.abort(conn)
		return false
	}
	a.client.pool.releaseOrClose(conn, received.Header)
	return received.Status == http.StatusNoContent || received.Status == http.StatusInternalServerError
}
