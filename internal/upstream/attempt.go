package upstream

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/logevent"
)

const (
	startPath = "/x"

	// minTimeLeft is the shortest time that an attempt is started with: the protocol's header counts milliseconds.
	minTimeLeft = time.Millisecond
)

// AttemptRequest describes one attempt: the statement, the engine and the time limits.
type AttemptRequest struct {
	Statement   decision.StatementID
	Attempt     decision.AttemptID
	Engine      decision.EngineID
	Workload    string
	Text        []byte
	Deadline    time.Time // the attempt is cancelled then
	StartBefore time.Time // it is not started later; zero: at any time until Deadline
}

// Attempt is one run of a statement at one engine: started once, then polled until its end, then its pages are
// fetched. It holds at most one connection, beside the one on which it is cancelled.
type Attempt struct {
	client *Client
	AttemptRequest
	resourcePath string
	address      string // of the engine, when the attempt was requested
	createdAt    time.Time
	ctx          context.Context // done when the attempt is cancelled or its deadline has passed
	cancel       context.CancelFunc
	phase        atomic.Int32 // an attemptPhase

	startConn     atomic.Pointer[connection] // carries the start while that has no response; nil otherwise
	startWritten  atomic.Bool                // the kernel has taken the complete start
	startResolved chan struct{}              // closed once the start has reached the engine or never will: nothing of it is under way
	endConfirmed  chan struct{}              // closed once a response has proven that the engine does not run the attempt any more
	endOnce       sync.Once
	reporting     sync.Mutex // held while progress is reported, and to set endReported
	endReported   bool       // no progress is reported any more
	lastRequest   sharedTime // when the engine was last sent a request that keeps the attempt alive
	lastAbort     sharedTime // when a connection was reset because a request had no response

	// Only the goroutine in run uses these.
	conn            *connection // nil: none is in use
	unusableAnswers int
	lastProgress    string // the last progress report's headers
}

// attemptPhase records whether an attempt can still be cancelled without a request to the engine.
type attemptPhase = int32

const (
	phasePending         attemptPhase = iota // nothing was sent
	phaseStarted                             // the engine may run it
	phaseCancelledUnsent                     // nothing was sent, and nothing will be
)

// StartAttempt runs an attempt in the background. The listener is notified of its progress and of its one end. Once Run has closed the
// client nothing is started, sent or notified.
func (c *Client) StartAttempt(request AttemptRequest) *Attempt {
	ctx, cancel := context.WithDeadline(c.lifetime, request.Deadline)
	a := &Attempt{
		client:         c,
		AttemptRequest: request,
		resourcePath:   startPath + "/" + string(request.Statement),
		address:        c.pool.addressOf(request.Engine),
		createdAt:      time.Now(),
		ctx:            ctx,
		cancel:         cancel,
		startResolved:  make(chan struct{}),
		endConfirmed:   make(chan struct{}),
	}
	c.pool.attemptStarted(request.Engine)
	if !c.tasks.start(a.runAndReport) {
		a.phase.Store(phaseCancelledUnsent)
		cancel()
		c.pool.attemptFinished(request.Engine)
	}
	return a
}

// runAndReport runs the attempt and reports its end.
func (a *Attempt) runAndReport() {
	defer a.cancel()
	stop := context.AfterFunc(a.ctx, a.onContextDone)
	end, known := a.run()
	if known { // otherwise onContextDone reports the end, and may be yet to begin
		stop()
		a.reportEnd(end)
	}
}

// run takes an attempt to its end. known is false where the attempt was cancelled or expired while the engine had it:
// onContextDone reports its end then.
func (a *Attempt) run() (end attemptEnd, known bool) {
	defer func() {
		if cause := recover(); cause != nil { // a panic ends this attempt only
			end, known = a.endFromPanic(cause), true
		}
	}()
	outcome, connected := a.connect()
	if !connected {
		return attemptEnd{outcome: outcome, proof: ProofNotSent}, true
	}
	received, sent, err := a.sendStart()
	if sent {
		end, known = a.pollUntilEnd(received, err)
	} else {
		end, known = attemptEnd{outcome: decision.NotSent, proof: ProofNotSent}, true
	}
	a.releaseConnection(true)
	return end, known
}

func (a *Attempt) endFromPanic(cause any) attemptEnd {
	a.client.log.Error(logevent.UpstreamAttemptPanicked, logevent.Panic(cause), logevent.Stack())
	if a.conn != nil { // it may have a request without a response
		a.abortConnection()
	}
	return attemptEnd{outcome: decision.Errored, proof: a.cancelAtEngine()}
}

// connect acquires a connection for the start, within the time in which the attempt may still be started. The outcome of
// a failure is ConnectFailed only where the failure speaks against the engine.
func (a *Attempt) connect() (outcome decision.Outcome, connected bool) {
	ctx := a.ctx
	if !a.StartBefore.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(a.ctx, a.StartBefore)
		defer cancel()
	}
	conn, err := a.client.pool.acquire(ctx, a.Engine, a.address, false)
	if err == nil {
		a.conn = conn
		return 0, true
	}
	a.client.log.Debug(logevent.UpstreamAttemptNotConnected, logevent.RequestID(a.Statement),
		logevent.Attempt(a.AttemptRequest.Attempt), logevent.Endpoint(a.Engine), zap.Error(err))
	outOfTime := ctx.Err() != nil || a.startDeadlinePassed() || !time.Now().Before(a.Deadline)
	notTried := errors.Is(err, errNoConnectionSlot) || errors.Is(err, errUnknownEngine)
	if outOfTime || notTried || errors.Is(err, syscall.ECONNRESET) {
		return decision.NotSent, false
	}
	return decision.ConnectFailed, false
}

// sinceLastRequest returns how long ago the engine was last sent a request that keeps the attempt alive.
func (a *Attempt) sinceLastRequest() time.Duration {
	return time.Since(a.lastRequest.load(a.client.clockOrigin))
}

// releaseConnection returns the attempt's connection, if any, to the pool. It is the only place where an attempt does
// so after a response.
func (a *Attempt) releaseConnection(usable bool) {
	if a.conn == nil {
		return
	}
	if usable {
		a.client.pool.release(a.conn)
	} else {
		a.client.pool.close(a.conn)
	}
	a.conn = nil
}

// abortConnection resets the connection, whose request has no response: what of the request is still under way must
// not reach the engine later.
func (a *Attempt) abortConnection() {
	a.client.pool.abort(a.conn)
	a.lastAbort.store(a.client.clockOrigin, time.Now())
	a.conn = nil
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
