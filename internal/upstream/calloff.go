package upstream

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// Proof is how it is known that an execution is out no longer, so that its statement may go elsewhere.
type EndProof int

// The proofs.
const (
	ProofNotSent          EndProof = iota // its start never came whole to the engine
	ProofReportedByEngine                 // the engine told its end
	ProofCancelConfirmed                  // the engine confirmed that it gave it up
	ProofExpiredAtEngine                  // nobody has asked for it for so long that the engine has dropped it
	ProofShutdown                         // the router ends: nothing is sent any more
)

var proofTexts = [...]string{"not sent", "the engine told its end", "the engine gave it up", "not asked for, so dropped", "none: the router ends"}

// String is the proof's name in logs.
func (p EndProof) String() string { return proofTexts[p] }

// dropped is when the engine has dropped the execution at the latest, if it is not asked for it again. A call without an answer may have
// come to it until its connection was reset.
func (x *Attempt) expiresAtEngine() time.Time {
	answered := x.lastRequest.load(x.client.clockOrigin).Add(pollHoldTime + engineRetention + retentionMargin)
	unanswered := x.lastAbort.load(x.client.clockOrigin).Add(pollHoldTime + engineRetention + resetMargin)
	if x.lastAbort.isSet() && unanswered.After(answered) {
		return unanswered
	}
	return answered
}

// callOff makes sure that the execution is out no longer, and tells by what proof. There are three: the engine has answered that it
// gave it up, after it had answered its start (a start that is still on its way would begin it anew); its end was
// read; or the engine must have dropped what it was not asked for. That nobody listens there proves nothing: an
// engine on its way out takes no new connections and runs on. It hears of it on one that it has taken, such as the poll's.
func (x *Attempt) cancelAtEngine() EndProof {
	for {
		if proof, proven := x.cancelAtEngineUntil(x.expiresAtEngine()); proven {
			return proof
		}
		if x.client.lifetime.Err() != nil {
			return ProofShutdown
		}
		if !time.Now().Before(x.expiresAtEngine()) { // a poll beside this may have gone out since, which prolongs it
			return ProofExpiredAtEngine
		}
	}
}

// callOffUntil tries to have the engine give it up until a time.
func (x *Attempt) cancelAtEngineUntil(until time.Time) (proof EndProof, proven bool) {
	ctx, cancel := context.WithDeadline(x.client.lifetime, until)
	defer cancel()
	for ctx.Err() == nil {
		answered := isClosed(x.startResolved)
		confirmed := x.sendCancel(ctx)
		if confirmed && answered {
			return ProofCancelConfirmed, true
		}
		retry, heard := time.After(retryDelay), (chan struct{})(nil)
		if confirmed { // again, behind the answer to the start
			retry, heard = nil, x.startResolved
		}
		select {
		case <-retry:
		case <-heard:
		case <-x.endConfirmed:
			return ProofReportedByEngine, true
		case <-ctx.Done():
		}
	}
	return 0, false
}

// delete tells the engine that the execution is given up, and whether it has answered so.
func (x *Attempt) sendCancel(ctx context.Context) bool {
	c, err := x.client.pool.acquire(ctx, x.Engine, x.address, false)
	if err != nil {
		return false
	}
	head, _, _, err := c.roundTrip(time.Now().Add(pollHoldTime+responseMargin), formatRequest("DELETE", x.resourcePath, c.address, nil))
	x.client.log.Debug("called off", zap.String("statement", string(x.Statement)), zap.String("engine", string(x.Engine)),
		zap.Duration("after", time.Since(x.createdAt)), zap.Int("status", head.Status), zap.Error(err))
	if err != nil {
		x.client.pool.abort(c)
	} else if head.Close || c.inspect() != stateQuiet {
		x.client.pool.close(c)
	} else {
		x.client.pool.release(c)
	}
	return err == nil && (head.Status == 204 || head.Status == 500) // 500: it is known there no longer
}
