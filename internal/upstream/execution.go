package upstream

import (
	"context"
	"errors"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/invariant"
)

// Execution is one statement on one engine: started once, then polled until its end, then its pages. It
// holds one connection while it is out.
type Attempt struct {
	client *Client
	AttemptRequest
	resourcePath    string
	address         string // of the engine, when it was sent
	createdAt       time.Time
	ctx             context.Context // ends when it is revoked or given up
	cancel          context.CancelFunc
	phase           atomic.Int32 // waiting, then started or revoked
	startWritten    atomic.Bool  // its start has been handed to the kernel whole
	lastAbort       sharedTime   // when a connection with a call for it that had no answer was reset
	lastRequest     sharedTime   // when the engine was last asked for it, at the latest
	endOnce         sync.Once
	startResolved   chan struct{} // closed once the start has come to the engine or never will: nothing of it is on its way
	endConfirmed    chan struct{} // closed once an answer has proven that it runs no longer
	conn            *connection   // the one it holds, if any; the running goroutine's
	unusableAnswers int           // answers that could not be used
	lastProgress    string        // the last note, as it came
}

const (
	phasePending int32 = iota
	phaseStarted
	phaseCancelledUnsent
)

// Revoke keeps an execution from being started, if it has not been; nothing of it goes out after this call.
// It tells whether it did.
func (x *Attempt) CancelUnsent() bool {
	if !x.phase.CompareAndSwap(phasePending, phaseCancelledUnsent) {
		return false
	}
	x.cancel() // ends the wait for a connection
	return true
}

// begin marks an execution as started, unless it was revoked or given up, it is too late to begin, or its engine has been told to take
// nothing new. From
// here on the engine may run it: when it was last asked for it is known before anyone can find it started, since
// whoever calls it off counts from there.
func (x *Attempt) markStarted() bool {
	if x.client.AwaitDiscovery != nil {
		x.client.AwaitDiscovery()
	}
	x.lastRequest.store(x.client.clockOrigin, time.Now())
	return x.client.pool.mayStartAttempt(x.Engine, x.address) && !x.startDeadlinePassed() && x.phase.CompareAndSwap(phasePending, phaseStarted) &&
		x.ctx.Err() == nil // lapsed may have looked before it was started
}

// unaskedFor is how long ago the engine was last asked for it.
func (x *Attempt) sinceLastRequest() time.Duration {
	return time.Since(x.lastRequest.load(x.client.clockOrigin))
}

// tooLate tells whether it must not begin any more.
func (x *Attempt) startDeadlinePassed() bool {
	return !x.StartBefore.IsZero() && !time.Now().Before(x.StartBefore)
}

// GiveUp waits for an execution no longer. Its end is told when it is out no longer, which takes a call to
// the engine, unless another end comes first.
func (x *Attempt) Cancel() {
	if !x.CancelUnsent() {
		x.cancel()
	}
}

// lapsed makes sure that an execution that was given up, or whose time is up, is out no longer, and tells so.
// It goes beside the poll that is under way, whose connection is kept for later use.
func (x *Attempt) onContextDone() {
	if x.phase.Load() != phaseStarted || x.client.lifetime.Err() != nil {
		return
	}
	outcome := decision.Cancelled
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		outcome = decision.TimedOut
	}
	x.client.tasks.Go(func() {
		x.reportEnd(attemptEnd{outcome: outcome, proof: x.cancelAtEngine()})
	})
}

// end tells the listener how the execution ended, once.
func (x *Attempt) reportEnd(end attemptEnd) {
	x.endOnce.Do(func() {
		if v := x.proofViolation(end.proof); v != nil {
			x.client.Violations.Record(v)
			end.proof = x.cancelAtEngine()
		}
		x.logEnd(end)
		x.client.pool.attemptFinished(x.Engine)
		x.client.listener.AttemptEnded(decision.AttemptEnded{Statement: x.Statement, Attempt: x.AttemptRequest.Attempt,
			Engine: x.Engine, Outcome: end.outcome, Elapsed: time.Since(x.createdAt), Report: end.loadReport}, end.result)
	})
}

// unproven tells why a proof does not hold, whoever came to it; nil: it does.
func (x *Attempt) proofViolation(proof EndProof) *invariant.Violation {
	why := ""
	switch {
	case proof == ProofNotSent && x.startWritten.Load():
		why = "its start was written"
	case proof == ProofExpiredAtEngine && x.sinceLastRequest() < engineRetention:
		why = "its engine was asked for it " + x.sinceLastRequest().String() + " ago"
	case proof == ProofShutdown && x.client.lifetime.Err() == nil:
		why = "the router does not end"
	default:
		return nil
	}
	return &invariant.Violation{Rule: invariant.ProvenAttemptEnd, Statement: x.Statement, Detail: "execution " + strconv.Itoa(int(x.AttemptRequest.Attempt)) + ": " + why}
}

// logEnd says how the execution ended and by what proof. One that no word of the engine proves is rare, and logged also where the
// usual ones are not.
func (x *Attempt) logEnd(end attemptEnd) {
	level := zap.DebugLevel
	if end.proof == ProofExpiredAtEngine {
		level = zap.InfoLevel
	}
	x.client.log.Log(level, "execution is out no longer", zap.String("statement", string(x.Statement)), zap.Int("execution", int(x.AttemptRequest.Attempt)),
		zap.String("engine", string(x.Engine)), zap.Stringer("outcome", end.outcome), zap.Stringer("proof", end.proof),
		zap.Duration("after", time.Since(x.createdAt)), zap.Duration("unasked_for", x.sinceLastRequest()))
}

var (
	errExpiredAtEngine   = errors.New("nobody listens, and the engine has dropped what it was not asked for")
	errAttemptStopped    = errors.New("the execution was given up, or its time is up")
	errUnusableAnswer    = errors.New("an answer that cannot be used")
	errResultUnavailable = errors.New("a page of the result cannot be had")
)

// ending is how an execution ended, and how it is known that it is out no longer. A result is whole or there is none.
type attemptEnd struct {
	outcome    decision.Outcome
	proof      EndProof
	loadReport *decision.LoadReport
	result     []byte
}

// run brings an execution to its ending. That of one that lapses while it is out is not known here: lapsed tells it.
func (x *Attempt) run() (end attemptEnd, known bool) {
	defer func() {
		if p := recover(); p != nil { // ends this execution alone
			x.client.log.Error("an execution broke down", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			if x.conn != nil { // in the midst of a call, perhaps
				x.abortConnection()
			}
			end, known = attemptEnd{outcome: decision.Errored, proof: x.cancelAtEngine()}, true
		}
	}()
	if outcome, connected := x.connect(); !connected {
		return attemptEnd{outcome: outcome, proof: ProofNotSent}, true
	}
	said, err, sent := x.sendStart()
	if sent {
		end, known = x.pollUntilEnd(said, err)
	} else {
		end, known = attemptEnd{outcome: decision.NotSent, proof: ProofNotSent}, true
	}
	x.releaseConnection(true)
	return end, known
}

// connect gets a connection for the start, no longer than it may still begin. Without one it never ran: the outcome tells whether that
// says something of the engine.
func (x *Attempt) connect() (outcome decision.Outcome, connected bool) {
	wait := x.ctx
	if !x.StartBefore.IsZero() {
		by, done := context.WithDeadline(x.ctx, x.StartBefore)
		defer done()
		wait = by
	}
	c, err := x.client.pool.acquire(wait, x.Engine, x.address, false)
	if err == nil {
		x.conn = c
		return 0, true
	}
	x.client.log.Debug("no connection for an execution", zap.String("statement", string(x.Statement)), zap.Int("execution", int(x.AttemptRequest.Attempt)),
		zap.String("engine", string(x.Engine)), zap.Error(err))
	if wait.Err() != nil || x.startDeadlinePassed() || !time.Now().Before(x.Deadline) || errors.Is(err, errNoConnectionSlot) || errors.Is(err, errUnknownEngine) ||
		errors.Is(err, syscall.ECONNRESET) {
		return decision.NotSent, false
	}
	return decision.ConnectFailed, false // refused, or not up in time
}

// start sends the statement, once, and reads the answer. sent is false where it cannot have come whole to the engine, so that it cannot
// run; a connection that breaks then says nothing of the engine.
func (x *Attempt) sendStart() (said answer, err error, sent bool) {
	left := time.Until(x.Deadline)
	if left < time.Millisecond || !x.markStarted() {
		return said, nil, false
	}
	x.conn.startUnanswered.Store(true)
	said, whole, err := x.roundTrip(pollHoldTime+responseMargin, formatRequest("POST", "/x", x.conn.address, x.Text, headerStatementID, string(x.Statement),
		headerWorkload, x.Workload, headerTimeLeft, formatMillis(left), "Content-Length", strconv.Itoa(len(x.Text))))
	if !whole {
		return said, err, false
	}
	x.startWritten.Store(true)
	if !isTimeout(err) { // answered; or what was not read before the connection broke never will be
		close(x.startResolved)
	}
	if err == nil {
		err = checkAnswer(said, isStatusAnswer, nil)
	}
	return said, err, true
}

// follow asks for news until the end. What was started is never started again here: the engine keeps a good end and its pages, so
// what broke or was spoilt on its way is asked for again.
func (x *Attempt) pollUntilEnd(said answer, err error) (end attemptEnd, known bool) {
	for {
		if err != nil && isFinal(err) {
			return x.endFromError(err)
		}
		if err != nil {
			x.client.log.Debug("an answer was of no use", zap.String("statement", string(x.Statement)), zap.Error(err))
		} else if heard := readStatus(said.Header); heard.ended {
			if heard.outcome == decision.Completed {
				said.body, err = x.fetchRemainingPages(said.body, heard.pageCount)
			}
			if err != nil {
				return x.endFromError(err)
			}
			return x.endFromAnswer(heard, said)
		} else if x.mayBeStale(said) {
			x.releaseConnection(false)
			x.waitRetryDelay()
		} else if heard.progress != nil {
			heard.progress.Statement, heard.progress.Attempt, heard.progress.Engine = x.Statement, x.AttemptRequest.Attempt, x.Engine
			x.client.listener.AttemptProgressed(*heard.progress)
		}
		if said, err = x.fetchAnswer("/0", pollHoldTime+responseMargin, isStatusAnswer); err == nil && said.Status != 500 && !isClosed(x.startResolved) {
			close(x.startResolved)
		}
	}
}

// endedAs is the ending that the engine has told.
func (x *Attempt) endFromAnswer(heard attemptStatus, said answer) (end attemptEnd, known bool) {
	end = attemptEnd{outcome: heard.outcome, proof: ProofReportedByEngine, loadReport: heard.loadReport, result: said.body}
	if heard.outcome != decision.Errored {
		return end, true
	}
	proven := said.Status == 500 && isClosed(x.startResolved)
	if x.ctx.Err() != nil { // what is given up ends so as well, which speaks against nobody
		if proven {
			close(x.endConfirmed)
		}
		return attemptEnd{}, false
	}
	if !proven { // an end that the protocol does not have, or the start is yet to come
		end.proof = x.cancelAtEngine()
	}
	return end, true
}

// endedBy is the ending of an execution of which nothing more is to be had.
func (x *Attempt) endFromError(err error) (end attemptEnd, known bool) {
	switch {
	case errors.Is(err, errAttemptStopped):
		return attemptEnd{}, false
	case errors.Is(err, errExpiredAtEngine):
		return attemptEnd{outcome: decision.ConnectionReset, proof: ProofExpiredAtEngine}, true
	case errors.Is(err, errUnknownEngine): // another engine has the address
		return attemptEnd{outcome: decision.ConnectionReset, proof: x.cancelAtEngine()}, true
	}
	return attemptEnd{outcome: decision.Errored, proof: x.cancelAtEngine()}, true // it may have run, and runs no longer
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
