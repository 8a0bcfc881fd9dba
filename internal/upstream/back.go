// Package back speaks with engines: HTTP/1.1 over pooled connections, executions with their polls and
// pages, and probes. It decides nothing: what it finds out goes to its listener.
package upstream

import (
	"context"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/invariant"
)

const (
	maxPageBytes       = 6_000  // bytes of a page
	maxResultBytes     = 48_000 // bytes of a whole result
	maxPages           = 1 << 12
	maxUnusableAnswers = 16 // answers of an execution that cannot be used, before it counts as an error

	pollHoldTime    = 250 * time.Millisecond // an engine holds a poll so long when there is no news
	responseMargin  = 300 * time.Millisecond // beyond it a poll counts as hanging, and so does a page, which is not held
	engineRetention = 2 * time.Second        // an engine drops what has not been asked for so long
	retentionMargin = 300 * time.Millisecond // for what was on its way
	resetMargin     = 100 * time.Millisecond // the same behind a reset: only what the network itself holds comes later
	retryDelay      = 50 * time.Millisecond  // between tries on a connection that does not come up

	idleTimeoutShare = 0.6 // of the engines' idle time, after which a connection is retired here
)

// Listener hears what engines say. Its calls may wait, but not for a socket.
type Listener interface {
	AttemptProgressed(decision.AttemptProgress)
	AttemptEnded(ended decision.AttemptEnded, result []byte)
	HealthCheckEnded(decision.HealthCheckEnded)
}

// Back owns the connections to engines and the executions that are out.
type Client struct {
	listener    Listener
	log         *zap.Logger
	pool        *connectionPool
	lifetime    context.Context // ends the executions
	clockOrigin time.Time       // of its clock, with a monotonic reading
	tasks       sync.WaitGroup

	Violations *invariant.Recorder // counts ends without a proof

	AwaitDiscovery func() // called before an execution begins: waits for what was told of engines and is not known here yet; nil: nobody has to
}

// New returns a back that uses at most so many descriptors. All that it starts ends with ctx.
func New(ctx context.Context, listener Listener, descriptors int, idleClose, connectIn time.Duration,
	log *zap.Logger) *Client {
	return &Client{listener: listener, log: log, lifetime: ctx, clockOrigin: time.Now(), Violations: invariant.NewRecorder(log),
		pool: newConnectionPool(descriptors, time.Duration(idleTimeoutShare*float64(idleClose)), connectIn)}
}

// Tend keeps the pool until ctx ends, and waits for what is out.
func (b *Client) Run(ctx context.Context) error {
	b.pool.run(ctx)
	b.tasks.Wait()
	return nil
}

// Know tells where an engine listens, and whether it is ready for new executions.
func (b *Client) UpdateEngine(engine decision.EngineID, address string, ready bool) {
	b.pool.updateEngine(engine, address, ready)
}

// Drain keeps what waits for a connection to an engine from being sent there; what is out goes on.
func (b *Client) DrainEngine(engine decision.EngineID) { b.pool.drainEngine(engine) }

// Engines are those that are listed, in order.
func (b *Client) Engines() []decision.EngineID { return b.pool.engines() }

// Forget drops what is kept of an engine that is gone.
func (b *Client) RemoveEngine(engine decision.EngineID) { b.pool.removeEngine(engine) }

// Keep forgets all engines but these.
func (b *Client) RetainEngines(listed map[decision.EngineID]bool) { b.pool.retainEngines(listed) }

// CloseIdle closes the idle connections to an engine.
func (b *Client) CloseIdleConnections(engine decision.EngineID) { b.pool.closeIdle(engine) }

// Descriptors is how many are in use.
func (b *Client) ConnectionsInUse() int { return b.pool.inUse() }

// Dials tells of the connections made since the last call.
func (b *Client) TakeConnectionStats() ConnectionStats { return b.pool.takeStats() }

// Reach makes a connection to an engine and keeps it for later use.
func (b *Client) Preconnect(ctx context.Context, engine decision.EngineID) error {
	c, err := b.pool.acquire(ctx, engine, b.pool.addressOf(engine), true)
	if err == nil {
		b.pool.release(c)
	}
	return err
}

// Probe asks an engine for a sign of life and its load report; the listener hears of the end.
func (b *Client) CheckHealth(engine decision.EngineID) {
	b.tasks.Go(func() {
		sent := time.Now()
		ended := decision.HealthCheckEnded{Engine: engine}
		ended.Outcome, ended.Report = b.exchangeHealthCheck(engine, sent.Add(b.pool.connectTimeout))
		ended.Elapsed = time.Since(sent)
		b.listener.HealthCheckEnded(ended)
	})
}

func (b *Client) exchangeHealthCheck(engine decision.EngineID, until time.Time) (decision.Outcome, *decision.LoadReport) {
	c, err := b.pool.acquire(b.lifetime, engine, b.pool.addressOf(engine), false)
	if err != nil {
		return decision.ConnectFailed, nil
	}
	head, _, _, err := c.roundTrip(until, formatRequest("GET", "/busy", c.address, nil))
	switch {
	case isTimeout(err):
		b.pool.abort(c)
		return decision.TimedOut, nil
	case err != nil:
		b.pool.abort(c)
		return decision.ConnectionReset, nil
	case head.Close || c.inspect() != stateQuiet:
		b.pool.close(c)
	default:
		b.pool.release(c)
	}
	if head.Status != 200 {
		return decision.Errored, parseLoadReport(head.Field(headerLoadReport))
	}
	return decision.Completed, parseLoadReport(head.Field(headerLoadReport))
}

// Order is what an execution needs to be told.
type AttemptRequest struct {
	Statement   decision.StatementID
	Attempt     decision.AttemptID
	Engine      decision.EngineID
	Workload    string
	Text        []byte
	Deadline    time.Time // the router waits no longer
	StartBefore time.Time // when it has to begin by; zero: at any time until then
}

// Execute starts an execution; the listener hears its notes and its one end.
func (b *Client) StartAttempt(order AttemptRequest) *Attempt {
	ctx, cancel := context.WithDeadline(b.lifetime, order.Deadline)
	x := &Attempt{client: b, AttemptRequest: order, resourcePath: "/x/" + string(order.Statement), address: b.pool.addressOf(order.Engine), createdAt: time.Now(),
		ctx: ctx, cancel: cancel, startResolved: make(chan struct{}), endConfirmed: make(chan struct{})}
	b.pool.attemptStarted(order.Engine)
	b.tasks.Go(func() {
		defer cancel()
		stop := context.AfterFunc(ctx, x.onContextDone)
		if end, known := x.run(); known { // else lapsed tells the end, and may yet have to begin
			stop()
			x.reportEnd(end)
		}
	})
	return x
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
