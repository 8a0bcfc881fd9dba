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
	// engineRetention is how long an engine keeps an attempt that it is not asked for.
	engineRetention = 2 * time.Second
	// retentionMargin is for a request that was still on its way to the engine when its response was given up.
	retentionMargin = 300 * time.Millisecond
	// resetMargin is the same after the connection was reset: only what the network itself holds arrives later.
	resetMargin = 100 * time.Millisecond
)

// CancelUnsent cancels the attempt if nothing of it was sent; nothing will be then. It reports whether it did.
func (a *Attempt) CancelUnsent() bool {
	if !a.phase.CompareAndSwap(phasePending, phaseCancelledUnsent) {
		return false
	}
	a.cancel() // ends the wait for a connection
	return true
}

// Cancel cancels the attempt and does not block. Its end is reported once the engine is known not to run it any more,
// with the outcome Cancelled unless another end comes first.
func (a *Attempt) Cancel() {
	if !a.CancelUnsent() {
		a.cancel()
	}
}

// onContextDone is called when the attempt is cancelled or its deadline has passed. It cancels a started attempt at
// the engine and reports its end, beside the poll that is under way, whose connection stays usable.
func (a *Attempt) onContextDone() {
	if a.phase.Load() != phaseStarted || a.client.lifetime.Err() != nil {
		return
	}
	outcome := decision.Cancelled
	if errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
		outcome = decision.TimedOut
	}
	a.client.tasks.Go(func() {
		a.reportEnd(attemptEnd{outcome: outcome, proof: a.cancelAtEngine()})
	})
}

// expiresAtEngine returns when the engine will have dropped the attempt at the latest, if it is not asked for it again.
// A request with a response reached the engine, which may have held it, before that response: 2.55 s after the last
// request. One without may have reached it until its connection was reset: 2.35 s after that, if it is later.
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

// cancelAtEngine makes sure that the engine does not run the attempt any more, and returns how that is known. There are
// three ways: the engine has confirmed a cancellation that was sent after it had answered the start (a start that is
// still on its way would begin the attempt anew); the attempt's end was received; or the engine must have dropped what
// it was not asked for. A refused connection proves nothing: a draining engine accepts no new connections and runs on.
// It can be reached on a connection that it has accepted before, such as the poll's.
func (a *Attempt) cancelAtEngine() EndProof {
	for {
		proof, proven := a.cancelAtEngineUntil(a.expiresAtEngine())
		if proven {
			return proof
		}
		if a.client.lifetime.Err() != nil {
			return ProofShutdown
		}
		if !time.Now().Before(a.expiresAtEngine()) { // a poll may have been sent meanwhile, which prolongs the attempt
			return ProofExpiredAtEngine
		}
	}
}

// cancelAtEngineUntil sends cancellations until one counts or a time has passed.
func (a *Attempt) cancelAtEngineUntil(deadline time.Time) (proof EndProof, proven bool) {
	ctx, cancel := context.WithDeadline(a.client.lifetime, deadline)
	defer cancel()
	for ctx.Err() == nil {
		startWasResolved := isClosed(a.startResolved)
		confirmed := a.sendCancel(ctx)
		if confirmed && startWasResolved {
			return ProofCancelConfirmed, true
		}
		var retry <-chan time.Time
		var startResolved <-chan struct{}
		if confirmed { // it is sent again once the start has arrived
			startResolved = a.startResolved
		} else {
			retry = time.After(retryDelay)
		}
		select {
		case <-retry:
		case <-startResolved:
		case <-a.endConfirmed:
			return ProofReportedByEngine, true
		case <-ctx.Done():
		}
	}
	return 0, false
}

// sendCancel sends one cancellation and reports whether the engine has confirmed it. An engine that does not know the
// attempt any more answers with 500.
func (a *Attempt) sendCancel(ctx context.Context) (confirmed bool) {
	conn, err := a.client.pool.acquire(ctx, a.Engine, a.address, false)
	if err != nil {
		return false
	}
	request := formatRequest(http.MethodDelete, a.resourcePath, conn.address, nil)
	received, err := conn.roundTrip(time.Now().Add(pollTimeout), request)
	a.client.log.Debug(logevent.UpstreamCancelAnswered, logevent.RequestID(a.Statement), logevent.Endpoint(a.Engine),
		logevent.Duration(time.Since(a.createdAt)), zap.Int("status", received.Status), zap.Error(err))
	if err != nil {
		a.client.pool.abort(conn)
		return false
	}
	a.client.pool.releaseOrClose(conn, received.Header)
	return received.Status == http.StatusNoContent || received.Status == http.StatusInternalServerError
}
