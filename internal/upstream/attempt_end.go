package upstream

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/invariant"
	"bankledge/internal/logevent"
)

// EndConfirmation is how it is known that an engine no longer runs an attempt, so that its statement may be started on
// another engine. A broken or refused connection confirms nothing, since the engine may continue to run the attempt. An
// end is confirmed by one of these:
//
//   - ConfirmedNotSent: no connection was established, or the start was not written completely.
//   - ConfirmedByEngine: a response with an end that the protocol defines: 200 with its pages, 503 or 504 with the
//     header that nothing ran, or 500, which counts only once no start can arrive after it.
//   - ConfirmedByCancel: a DELETE that was sent after the start was answered got the response 204, or 500 from an engine
//     that no longer knows the attempt.
//   - ConfirmedByExpiry: engines drop attempts for which they receive no requests, see expiresAtEngine.
//
// After any other end, such as an unknown status, the client sends a cancellation and uses its confirmation.
type EndConfirmation int

// The ways in which an end is confirmed.
const (
	ConfirmedNotSent      EndConfirmation = iota // the engine never received the complete start
	ConfirmedByEngine                            // the engine reported the end
	ConfirmedByCancel                            // the engine confirmed the cancellation
	ConfirmedByExpiry                            // the engine has dropped the attempt, since no request kept it alive
	UnconfirmedAtShutdown                        // not confirmed: the client is shutting down and starts nothing more
)

var confirmationTexts = [...]string{
	ConfirmedNotSent:      "not sent",
	ConfirmedByEngine:     "reported by the engine",
	ConfirmedByCancel:     "cancellation confirmed",
	ConfirmedByExpiry:     "expired at the engine",
	UnconfirmedAtShutdown: "none: shutdown",
}

// String returns the text of the confirmation in logs.
func (c EndConfirmation) String() string { return confirmationTexts[c] }

// attemptEnd is how an attempt ended and how the end was confirmed. result is either complete or nil.
type attemptEnd struct {
	outcome      decision.Outcome
	confirmation EndConfirmation
	loadReport   *decision.LoadReport
	result       []byte
}

// endFromResponse returns the end that the engine reported. An error is confirmed only if it is the protocol's own (500)
// and no start can arrive after it.
func (a *Attempt) endFromResponse(status attemptStatus, received response) (end attemptEnd, known bool) {
	end = attemptEnd{outcome: status.outcome, confirmation: ConfirmedByEngine, loadReport: status.loadReport, result: received.body}
	if status.outcome != decision.Errored {
		return end, true
	}
	confirmed := received.Status == http.StatusInternalServerError && isClosed(a.startResolved)
	if a.ctx.Err() != nil { // a cancelled attempt also ends with an error, which must not count as a failure of the engine
		if confirmed {
			close(a.endConfirmed)
		}
		return attemptEnd{}, false
	}
	if !confirmed {
		end.confirmation = a.cancelAtEngine()
	}
	return end, true
}

// endFromError returns the end of an attempt for which no further response can be received. isFinal(err) must be true.
func (a *Attempt) endFromError(err error) (end attemptEnd, known bool) {
	switch {
	case errors.Is(err, errAttemptStopped):
		return attemptEnd{}, false
	case errors.Is(err, errExpiredAtEngine):
		return attemptEnd{outcome: decision.ConnectionReset, confirmation: ConfirmedByExpiry}, true
	case errors.Is(err, errUnknownEngine): // the address now belongs to another engine
		return attemptEnd{outcome: decision.ConnectionReset, confirmation: a.cancelAtEngine()}, true
	}
	return attemptEnd{outcome: decision.Errored, confirmation: a.cancelAtEngine()}, true
}

// reportEnd notifies the listener of the attempt's end; only the first call has an effect. If the confirmation is invalid,
// reportEnd counts a violation, cancels the attempt at the engine and reports the end with the new confirmation.
func (a *Attempt) reportEnd(end attemptEnd) {
	a.endOnce.Do(func() {
		if violation := a.confirmationViolation(end.confirmation); violation != nil {
			a.client.Violations.Record(violation)
			end.confirmation = a.cancelAtEngine()
		}
		a.stopProgressReports()
		a.logEnd(end)
		a.client.pool.attemptFinished(a.Engine)
		ended := decision.AttemptEnded{
			Statement: a.Statement,
			Attempt:   a.AttemptRequest.Attempt,
			Engine:    a.Engine,
			Outcome:   end.outcome,
			Elapsed:   time.Since(a.createdAt),
			Report:    end.loadReport,
		}
		a.client.listener.AttemptEnded(ended, end.result)
	})
}

// reportProgress notifies the listener of progress, unless the end was reported already: the response to a poll may be
// received after the end.
func (a *Attempt) reportProgress(progress decision.AttemptProgress) {
	a.reportMu.Lock()
	defer a.reportMu.Unlock()
	if a.endReported {
		return
	}
	a.client.listener.AttemptProgressed(progress)
}

// stopProgressReports makes later calls of reportProgress have no effect.
func (a *Attempt) stopProgressReports() {
	a.reportMu.Lock()
	defer a.reportMu.Unlock()
	a.endReported = true
}

// confirmationViolation returns why a confirmation is invalid, or nil. It checks recorded facts only, independently of the
// decisions that led to the confirmation.
func (a *Attempt) confirmationViolation(confirmation EndConfirmation) *invariant.Violation {
	reason := ""
	switch {
	case confirmation == ConfirmedNotSent && a.startWritten.Load():
		reason = "its start was written"
	case confirmation == ConfirmedByExpiry && a.sinceLastRequest() < engineRetention:
		reason = "the engine was asked for it " + a.sinceLastRequest().String() + " ago"
	case confirmation == UnconfirmedAtShutdown && a.client.lifetime.Err() == nil:
		reason = "the client does not shut down"
	default:
		return nil
	}
	number := strconv.Itoa(int(a.AttemptRequest.Attempt))
	return &invariant.Violation{Rule: invariant.ConfirmedAttemptEnd, Statement: a.Statement, Detail: "attempt " + number + ": " + reason}
}

// logEnd logs how the attempt ended and how the end was confirmed. An end that is known only because the attempt expired
// is rare and means that the engine or its network is failing, so it is logged at a higher level.
func (a *Attempt) logEnd(end attemptEnd) {
	level := zap.DebugLevel
	if end.confirmation == ConfirmedByExpiry {
		level = zap.InfoLevel
	}
	a.client.log.Log(level, logevent.UpstreamAttemptEnded, logevent.RequestID(a.Statement),
		logevent.Attempt(a.AttemptRequest.Attempt), logevent.Endpoint(a.Engine), logevent.Outcome(end.outcome),
		zap.Stringer("proof", end.confirmation), logevent.Duration(time.Since(a.createdAt)),
		logevent.Milliseconds("since_last_request_ms", a.sinceLastRequest()))
}
