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
	// engineRetention is how long an engine keeps an attempt without a poll or page request for it.
	engineRetention = 2 * time.Second
	// retentionMargin covers a request that was still on its way to the engine when the wait for its response ended.
	retentionMargin = 300 * time.Millisecond
	// resetMargin is the same after the connection was reset: only packets in the network can still arrive then.
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

// Cancel cancels the attempt of a statement that has ended, and does not block. Its end is reported once the engine is known not to run it
// any more, with the outcome Cancelled unless another end comes first. A start that is still on its way is not delivered any more.
func (a *Attempt) Cancel() {
	a.CallOff()
	a.WithholdStart()
}

// CallOff cancels the attempt like Cancel, but of a statement that may go on elsewhere: the end is to be proven soon, so a start that is
// still on its way is not withheld.
func (a *Attempt) CallOff() {
	if !a.CancelUnsent() {
		a.cancel()
	}
}

// WithholdStart keeps a start that is still on its way from its engine, and does not block. It proves no end: the engine may have the start.
// Where there is none to keep, it does not hold on to the attempt.
func (a *Attempt) WithholdStart() {
	if a.startIsOver() {
		return
	}
	time.AfterFunc(startAbortDelay, a.abortStart)
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
	a.client.tasks.start(func() { // not after the last wait: the client has ended then
		a.reportEnd(attemptEnd{outcome: outcome, proof: a.cancelAtEngine()})
	})
}

// expiresAtEngine returns when the engine will have dropped the attempt at the latest, if no further request keeps it alive.
// A request with a response reached the engine, which may have delayed it, before that response: 2.55 s after the last
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
// still on its way would begin the attempt anew); the attempt's end was received; or the engine's retention of an
// attempt without requests has passed. A refused connection proves nothing: a draining engine accepts no new
// connections but keeps running attempts, and can be reached on a connection accepted before, such as the poll's.
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

// cancelAtEngineUntil sends cancellations until one is a proof of the end or the time has passed.
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
