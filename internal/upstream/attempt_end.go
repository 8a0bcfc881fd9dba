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

// EndProof is how it is known that an engine does not run an attempt any more, so that its statement may be started
// elsewhere. Neither a broken connection nor a refused one is a proof: the engine may run on. These are:
//
//   - ProofNotSent: no connection was established, or the start was not written completely.
//   - ProofReportedByEngine: a response with an end that the protocol has: 200 with its pages, 503 or 504 with the
//     header that nothing ran, or 500, which counts once no start can arrive behind it.
//   - ProofCancelConfirmed: a DELETE was answered with 204, or with 500 by an engine that does not know the attempt any
//     more, and was sent after the start was answered.
//   - ProofExpiredAtEngine: engines drop attempts without requests for them, see expiresAtEngine.
//
// Any other end, such as an unknown status, is followed by a cancellation and counts with its proof.
type EndProof int

// The proofs of an end.
const (
	ProofNotSent          EndProof = iota // the start never reached the engine complete
	ProofReportedByEngine                 // the engine reported the end
	ProofCancelConfirmed                  // the engine confirmed the cancellation
	ProofExpiredAtEngine                  // the engine has dropped it, since no request kept it alive
	ProofShutdown                         // none: the client shuts down and starts nothing any more
)

var proofTexts = [...]string{
	ProofNotSent:          "not sent",
	ProofReportedByEngine: "reported by the engine",
	ProofCancelConfirmed:  "cancellation confirmed",
	ProofExpiredAtEngine:  "expired at the engine",
	ProofShutdown:         "none: shutdown",
}

// String returns the proof's text in logs.
func (p EndProof) String() string { return proofTexts[p] }

// attemptEnd is how an attempt ended, and how that is known. A result is complete or nil.
type attemptEnd struct {
	outcome    decision.Outcome
	proof      EndProof
	loadReport *decision.LoadReport
	result     []byte
}

// endFromResponse returns the end that the engine has reported. An error counts as proven where it is the protocol's
// (500) and no start can arrive behind it.
func (a *Attempt) endFromResponse(status attemptStatus, received response) (end attemptEnd, known bool) {
	end = attemptEnd{outcome: status.outcome, proof: ProofReportedByEngine, loadReport: status.loadReport, result: received.body}
	if status.outcome != decision.Errored {
		return end, true
	}
	proven := received.Status == http.StatusInternalServerError && isClosed(a.startResolved)
	if a.ctx.Err() != nil { // a cancelled attempt ends with an error as well, which does not speak against the engine
		if proven {
			close(a.endConfirmed)
		}
		return attemptEnd{}, false
	}
	if !proven {
		end.proof = a.cancelAtEngine()
	}
	return end, true
}

// endFromError returns the end of an attempt of which nothing more can be received. isFinal must be true of err.
func (a *Attempt) endFromError(err error) (end attemptEnd, known bool) {
	switch {
	case errors.Is(err, errAttemptStopped):
		return attemptEnd{}, false
	case errors.Is(err, errExpiredAtEngine):
		return attemptEnd{outcome: decision.ConnectionReset, proof: ProofExpiredAtEngine}, true
	case errors.Is(err, errUnknownEngine): // another engine has the address
		return attemptEnd{outcome: decision.ConnectionReset, proof: a.cancelAtEngine()}, true
	}
	return attemptEnd{outcome: decision.Errored, proof: a.cancelAtEngine()}, true
}

// reportEnd notifies the listener of the attempt's end; only the first call does. An end whose proof does not hold is
// counted as a violation and reported once there is a proof that does.
func (a *Attempt) reportEnd(end attemptEnd) {
	a.endOnce.Do(func() {
		if violation := a.proofViolation(end.proof); violation != nil {
			a.client.Violations.Record(violation)
			end.proof = a.cancelAtEngine()
		}
		a.endProgress()
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

// reportProgress notifies the listener of progress, unless the end was reported: a poll may be answered after that.
func (a *Attempt) reportProgress(progress decision.AttemptProgress) {
	a.reporting.Lock()
	defer a.reporting.Unlock()
	if a.endReported {
		return
	}
	a.client.listener.AttemptProgressed(progress)
}

// endProgress has no progress reported from now on.
func (a *Attempt) endProgress() {
	a.reporting.Lock()
	defer a.reporting.Unlock()
	a.endReported = true
}

// proofViolation returns why a proof does not hold, or nil. It does not rely on the decisions that led to the proof.
func (a *Attempt) proofViolation(proof EndProof) *invariant.Violation {
	reason := ""
	switch {
	case proof == ProofNotSent && a.startWritten.Load():
		reason = "its start was written"
	case proof == ProofExpiredAtEngine && a.sinceLastRequest() < engineRetention:
		reason = "the engine was asked for it " + a.sinceLastRequest().String() + " ago"
	case proof == ProofShutdown && a.client.lifetime.Err() == nil:
		reason = "the client does not shut down"
	default:
		return nil
	}
	number := strconv.Itoa(int(a.AttemptRequest.Attempt))
	return &invariant.Violation{Rule: invariant.ProvenAttemptEnd, Statement: a.Statement, Detail: "attempt " + number + ": " + reason}
}

// logEnd logs how the attempt ended and by what proof. An end that no response of the engine proves is rare and means
// that the engine or its network fails, so it is logged at a higher level.
func (a *Attempt) logEnd(end attemptEnd) {
	level := zap.DebugLevel
	if end.proof == ProofExpiredAtEngine {
		level = zap.InfoLevel
	}
	a.client.log.Log(level, logevent.UpstreamAttemptEnded, logevent.RequestID(a.Statement),
		logevent.Attempt(a.AttemptRequest.Attempt), logevent.Endpoint(a.Engine), logevent.Outcome(end.outcome),
		zap.Stringer("proof", end.proof), logevent.Duration(time.Since(a.createdAt)),
		logevent.Milliseconds("since_last_request_ms", a.sinceLastRequest()))
}
