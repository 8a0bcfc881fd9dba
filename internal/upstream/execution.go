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
	back *Client
	AttemptRequest
	path    string
	address string // of the engine, when it was sent
	sent    time.Time
	ctx     context.Context // ends when it is revoked or given up
	cancel  context.CancelFunc
	stage   atomic.Int32 // waiting, then started or revoked
	written atomic.Bool  // its start has been handed to the kernel whole
	aborted instant      // when a connection with a call for it that had no answer was reset
	asked   instant      // when the engine was last asked for it, at the latest
	ended   sync.Once
	heard   chan struct{} // closed once the start has come to the engine or never will: nothing of it is on its way
	over    chan struct{} // closed once an answer has proven that it runs no longer
	conn    *conn         // the one it holds, if any; the running goroutine's
	spoilt  int           // answers that could not be used
	noted   string        // the last note, as it came
}

const (
	waiting int32 = iota
	started
	revoked
)

// Revoke keeps an execution from being started, if it has not been; nothing of it goes out after this call.
// It tells whether it did.
func (x *Attempt) CancelUnsent() bool {
	if !x.stage.CompareAndSwap(waiting, revoked) {
		return false
	}
	x.cancel() // ends the wait for a connection
	return true
}

// begin marks an execution as started, unless it was revoked or given up, it is too late to begin, or its engine has been told to take
// nothing new. From
// here on the engine may run it: when it was last asked for it is known before anyone can find it started, since
// whoever calls it off counts from there.
func (x *Attempt) begin() bool {
	if x.back.AwaitDiscovery != nil {
		x.back.AwaitDiscovery()
	}
	x.asked.set(x.back.origin, time.Now())
	return x.back.pool.mayBegin(x.Engine, x.address) && !x.tooLate() && x.stage.CompareAndSwap(waiting, started) &&
		x.ctx.Err() == nil // lapsed may have looked before it was started
}

// unaskedFor is how long ago the engine was last asked for it.
func (x *Attempt) unaskedFor() time.Duration { return time.Since(x.asked.time(x.back.origin)) }

// tooLate tells whether it must not begin any more.
func (x *Attempt) tooLate() bool { return !x.StartBefore.IsZero() && !time.Now().Before(x.StartBefore) }

// GiveUp waits for an execution no longer. Its end is told when it is out no longer, which takes a call to
// the engine, unless another end comes first.
func (x *Attempt) Cancel() {
	if !x.CancelUnsent() {
		x.cancel()
	}
}

// lapsed makes sure that an execution that was given up, or whose time is up, is out no longer, and tells so.
// It goes beside the poll that is under way, whose connection is kept for later use.
func (x *Attempt) lapsed() {
	if x.stage.Load() != started || x.back.ctx.Err() != nil {
		return
	}
	outcome := decision.Cancelled
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		outcome = decision.TimedOut
	}
	x.back.running.Go(func() {
		x.end(ending{outcome: outcome, proof: x.callOff()})
	})
}

// end tells the listener how the execution ended, once.
func (x *Attempt) end(end ending) {
	x.ended.Do(func() {
		if v := x.unproven(end.proof); v != nil {
			x.back.Violations.Record(v)
			end.proof = x.callOff()
		}
		x.logEnd(end)
		x.back.pool.letGo(x.Engine)
		x.back.listener.AttemptEnded(decision.AttemptEnded{Statement: x.Statement, Attempt: x.AttemptRequest.Attempt,
			Engine: x.Engine, Outcome: end.outcome, Elapsed: time.Since(x.sent), Report: end.report}, end.result)
	})
}

// unproven tells why a proof does not hold, whoever came to it; nil: it does.
func (x *Attempt) unproven(proof EndProof) *invariant.Violation {
	why := ""
	switch {
	case proof == ProofNotSent && x.written.Load():
		why = "its start was written"
	case proof == ProofExpiredAtEngine && x.unaskedFor() < forgets:
		why = "its engine was asked for it " + x.unaskedFor().String() + " ago"
	case proof == ProofShutdown && x.back.ctx.Err() == nil:
		why = "the router does not end"
	default:
		return nil
	}
	return &invariant.Violation{Rule: invariant.ProvenAttemptEnd, Statement: x.Statement, Detail: "execution " + strconv.Itoa(int(x.AttemptRequest.Attempt)) + ": " + why}
}

// logEnd says how the execution ended and by what proof. One that no word of the engine proves is rare, and logged also where the
// usual ones are not.
func (x *Attempt) logEnd(end ending) {
	level := zap.DebugLevel
	if end.proof == ProofExpiredAtEngine {
		level = zap.InfoLevel
	}
	x.back.log.Log(level, "execution is out no longer", zap.String("statement", string(x.Statement)), zap.Int("execution", int(x.AttemptRequest.Attempt)),
		zap.String("engine", string(x.Engine)), zap.Stringer("outcome", end.outcome), zap.Stringer("proof", end.proof),
		zap.Duration("after", time.Since(x.sent)), zap.Duration("unasked_for", x.unaskedFor()))
}

var (
	errForgotten = errors.New("nobody listens, and the engine has dropped what it was not asked for")
	errLapsed    = errors.New("the execution was given up, or its time is up")
	errSpoilt    = errors.New("an answer that cannot be used")
	errNoPage    = errors.New("a page of the result cannot be had")
)

// ending is how an execution ended, and how it is known that it is out no longer. A result is whole or there is none.
type ending struct {
	outcome decision.Outcome
	proof   EndProof
	report  *decision.LoadReport
	result  []byte
}

// run brings an execution to its ending. That of one that lapses while it is out is not known here: lapsed tells it.
func (x *Attempt) run() (end ending, known bool) {
	defer func() {
		if p := recover(); p != nil { // ends this execution alone
			x.back.log.Error("an execution broke down", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			if x.conn != nil { // in the midst of a call, perhaps
				x.abort()
			}
			end, known = ending{outcome: decision.Errored, proof: x.callOff()}, true
		}
	}()
	if outcome, connected := x.connect(); !connected {
		return ending{outcome: outcome, proof: ProofNotSent}, true
	}
	said, err, sent := x.start()
	if sent {
		end, known = x.follow(said, err)
	} else {
		end, known = ending{outcome: decision.NotSent, proof: ProofNotSent}, true
	}
	x.release(true)
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
	c, err := x.back.pool.get(wait, x.Engine, x.address, false)
	if err == nil {
		x.conn = c
		return 0, true
	}
	x.back.log.Debug("no connection for an execution", zap.String("statement", string(x.Statement)), zap.Int("execution", int(x.AttemptRequest.Attempt)),
		zap.String("engine", string(x.Engine)), zap.Error(err))
	if wait.Err() != nil || x.tooLate() || !time.Now().Before(x.Deadline) || errors.Is(err, errNoSlot) || errors.Is(err, errNoEngine) ||
		errors.Is(err, syscall.ECONNRESET) {
		return decision.NotSent, false
	}
	return decision.ConnectFailed, false // refused, or not up in time
}

// start sends the statement, once, and reads the answer. sent is false where it cannot have come whole to the engine, so that it cannot
// run; a connection that breaks then says nothing of the engine.
func (x *Attempt) start() (said answer, err error, sent bool) {
	left := time.Until(x.Deadline)
	if left < time.Millisecond || !x.begin() {
		return said, nil, false
	}
	x.conn.starting.Store(true)
	said, whole, err := x.ask(pollHeld+pollSlack, message("POST", "/x", x.conn.address, x.Text, fieldID, string(x.Statement),
		fieldWorkload, x.Workload, fieldLimit, millis(left), "Content-Length", strconv.Itoa(len(x.Text))))
	if !whole {
		return said, err, false
	}
	x.written.Store(true)
	if !isTimeout(err) { // answered; or what was not read before the connection broke never will be
		close(x.heard)
	}
	if err == nil {
		err = fits(said, isNews, nil)
	}
	return said, err, true
}

// follow asks for news until the end. What was started is never started again here: the engine keeps a good end and its pages, so
// what broke or was spoilt on its way is asked for again.
func (x *Attempt) follow(said answer, err error) (end ending, known bool) {
	for {
		if err != nil && isOver(err) {
			return x.endedBy(err)
		}
		if err != nil {
			x.back.log.Debug("an answer was of no use", zap.String("statement", string(x.Statement)), zap.Error(err))
		} else if heard := read(said.Header); heard.over {
			if heard.outcome == decision.Completed {
				said.body, err = x.collect(said.body, heard.pages)
			}
			if err != nil {
				return x.endedBy(err)
			}
			return x.endedAs(heard, said)
		} else if x.doubtful(said) {
			x.release(false)
			x.pause()
		} else if heard.note != nil {
			heard.note.Statement, heard.note.Attempt, heard.note.Engine = x.Statement, x.AttemptRequest.Attempt, x.Engine
			x.back.listener.AttemptProgressed(*heard.note)
		}
		if said, err = x.fetch("/0", pollHeld+pollSlack, isNews); err == nil && said.Status != 500 && !isClosed(x.heard) {
			close(x.heard)
		}
	}
}

// endedAs is the ending that the engine has told.
func (x *Attempt) endedAs(heard reading, said answer) (end ending, known bool) {
	end = ending{outcome: heard.outcome, proof: ProofReportedByEngine, report: heard.report, result: said.body}
	if heard.outcome != decision.Errored {
		return end, true
	}
	proven := said.Status == 500 && isClosed(x.heard)
	if x.ctx.Err() != nil { // what is given up ends so as well, which speaks against nobody
		if proven {
			close(x.over)
		}
		return ending{}, false
	}
	if !proven { // an end that the protocol does not have, or the start is yet to come
		end.proof = x.callOff()
	}
	return end, true
}

// endedBy is the ending of an execution of which nothing more is to be had.
func (x *Attempt) endedBy(err error) (end ending, known bool) {
	switch {
	case errors.Is(err, errLapsed):
		return ending{}, false
	case errors.Is(err, errForgotten):
		return ending{outcome: decision.ConnectionReset, proof: ProofExpiredAtEngine}, true
	case errors.Is(err, errNoEngine): // another engine has the address
		return ending{outcome: decision.ConnectionReset, proof: x.callOff()}, true
	}
	return ending{outcome: decision.Errored, proof: x.callOff()}, true // it may have run, and runs no longer
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
