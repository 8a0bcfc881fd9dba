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

	// minTimeLeft is the shortest remaining time with which an attempt is started: the protocol's header has a
	// resolution of one millisecond.
	minTimeLeft = time.Millisecond
)

// AttemptRequest describes one attempt: the statement, the engine and the time limits.
type AttemptRequest struct {
	Statement   decision.StatementID
	Attempt     decision.AttemptID
	Engine      decision.EngineID
	Workload    string
	Text        []byte
	Deadline    time.Time // when the attempt is cancelled
	StartBefore time.Time // the latest time at which the attempt may start; zero: any time until Deadline
	// ClientWaits reports whether the client still waits for the answer. It is called right before the first byte is sent, and may wait
	// for input of the client. nil: the client always waits.
	ClientWaits func() bool
}

// Attempt is one run of a statement at one engine. The client starts it once, polls it until it ends and then fetches
// its result pages. An attempt uses at most one connection, in addition to the one that carries its cancellation.
type Attempt struct {
	client *Client
	AttemptRequest
	resourcePath string
	address      string // the engine's address when the attempt was requested
	createdAt    time.Time
	ctx          context.Context // done when the attempt is cancelled or its deadline has passed
	cancel       context.CancelFunc
	phase        atomic.Int32 // an attemptPhase

	startConn     atomic.Pointer[connection] // the connection with a start that has no response yet; nil otherwise
	startWritten  atomic.Bool                // the kernel has accepted the complete start
	startResolved chan struct{}              // closed once the start has reached the engine or can no longer reach it
	endConfirmed  chan struct{}              // closed once a response has confirmed that the engine no longer runs the attempt
	endOnce       sync.Once
	reportMu      sync.Mutex // held while progress is reported and while endReported is set
	endReported   bool       // the end has been reported; no progress is reported after it
	lastRequest   sharedTime // when the engine was last sent a request that keeps the attempt alive
	lastAbort     sharedTime // when a connection was last reset because a request had no response

	// These fields are used only by the goroutine that executes run.
	conn              *connection // nil: no connection is in use
	unusableResponses int
	lastProgress      string // the headers of the last progress report
}

// attemptPhase records whether an attempt can still be cancelled without a request to the engine.
type attemptPhase = int32

const (
	phasePending         attemptPhase = iota // nothing was sent yet
	phaseStarted                             // the engine may run the attempt
	phaseCancelledUnsent                     // cancelled before anything was sent; nothing will be sent
)

// StartAttempt runs an attempt in the background. The listener is notified of its progress and, once, of its end. After Run has closed
// the client, StartAttempt starts and sends nothing and the listener is not notified.
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
	if known { // otherwise onContextDone reports the end; it may not have begun yet
		stop()
		a.reportEnd(end)
	}
}

// run executes the attempt until it ends. known is false if the attempt was cancelled or its deadline passed after it
// was started; onContextDone then reports the end.
func (a *Attempt) run() (end attemptEnd, known bool) {
	defer func() {
		if cause := recover(); cause != nil { // a panic must end only this attempt, not the process
			end, known = a.endFromPanic(cause), true
		}
	}()
	outcome, connected := a.connect()
	if !connected {
		return attemptEnd{outcome: outcome, confirmation: ConfirmedNotSent}, true
	}
	received, sent, err := a.sendStart()
	if sent {
		end, known = a.pollUntilEnd(received, err)
	} else {
		end, known = attemptEnd{outcome: decision.NotSent, confirmation: ConfirmedNotSent}, true
	}
	a.releaseConnection(true)
	return end, known
}

func (a *Attempt) endFromPanic(cause any) attemptEnd {
	a.client.log.Error(logevent.UpstreamAttemptPanicked, logevent.Panic(cause), logevent.Stack())
	if a.conn != nil { // a request on it may still be without a response
		a.abortConnection()
	}
	return attemptEnd{outcome: decision.Errored, confirmation: a.cancelAtEngine()}
}

// connect acquires a connection for the start, waiting no longer than StartBefore allows. The outcome is ConnectFailed
// only if the failure counts against the engine, and NotSent otherwise.
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

// sinceLastRequest returns the time since the engine was last sent a request that keeps the attempt alive.
func (a *Attempt) sinceLastRequest() time.Duration {
	return time.Since(a.lastRequest.load(a.client.clockOrigin))
}

// releaseConnection returns the attempt's connection, if any, to the pool, or closes it if it is not usable. It is the
// only place where an attempt releases its connection after a response.
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

// abortConnection resets the connection, whose request has no response, so that parts of the request that are still in
// flight do not reach the engine later.
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
