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
	mostBody   = 6_000  // bytes of a page
	mostResult = 48_000 // bytes of a whole result
	mostPages  = 1 << 12
	mostSpoilt = 16 // answers of an execution that cannot be used, before it counts as an error

	pollHeld  = 250 * time.Millisecond // an engine holds a poll so long when there is no news
	pollSlack = 300 * time.Millisecond // beyond it a poll counts as hanging, and so does a page, which is not held
	forgets   = 2 * time.Second        // an engine drops what has not been asked for so long
	forgetOff = 300 * time.Millisecond // for what was on its way
	resetOff  = 100 * time.Millisecond // the same behind a reset: only what the network itself holds comes later
	askAgain  = 50 * time.Millisecond  // between tries on a connection that does not come up

	idleShare = 0.6 // of the engines' idle time, after which a connection is retired here
)

// Listener hears what engines say. Its calls may wait, but not for a socket.
type Listener interface {
	AttemptProgressed(decision.AttemptProgress)
	AttemptEnded(ended decision.AttemptEnded, result []byte)
	HealthCheckEnded(decision.HealthCheckEnded)
}

// Back owns the connections to engines and the executions that are out.
type Client struct {
	listener Listener
	log      *zap.Logger
	pool     *pool
	ctx      context.Context // ends the executions
	origin   time.Time       // of its clock, with a monotonic reading
	running  sync.WaitGroup

	Violations *invariant.Recorder // counts ends without a proof

	AwaitDiscovery func() // called before an execution begins: waits for what was told of engines and is not known here yet; nil: nobody has to
}

// New returns a back that uses at most so many descriptors. All that it starts ends with ctx.
func New(ctx context.Context, listener Listener, descriptors int, idleClose, connectIn time.Duration,
	log *zap.Logger) *Client {
	return &Client{listener: listener, log: log, ctx: ctx, origin: time.Now(), Violations: invariant.NewRecorder(log),
		pool: newPool(descriptors, time.Duration(idleShare*float64(idleClose)), connectIn)}
}

// Tend keeps the pool until ctx ends, and waits for what is out.
func (b *Client) Run(ctx context.Context) error {
	b.pool.tend(ctx)
	b.running.Wait()
	return nil
}

// Know tells where an engine listens, and whether it is ready for new executions.
func (b *Client) UpdateEngine(engine decision.EngineID, address string, ready bool) {
	b.pool.know(engine, address, ready)
}

// Drain keeps what waits for a connection to an engine from being sent there; what is out goes on.
func (b *Client) DrainEngine(engine decision.EngineID) { b.pool.drain(engine) }

// Engines are those that are listed, in order.
func (b *Client) Engines() []decision.EngineID { return b.pool.engines() }

// Forget drops what is kept of an engine that is gone.
func (b *Client) RemoveEngine(engine decision.EngineID) { b.pool.forget(engine) }

// Keep forgets all engines but these.
func (b *Client) RetainEngines(listed map[decision.EngineID]bool) { b.pool.keep(listed) }

// CloseIdle closes the idle connections to an engine.
func (b *Client) CloseIdleConnections(engine decision.EngineID) { b.pool.closeIdle(engine) }

// Descriptors is how many are in use.
func (b *Client) ConnectionsInUse() int { return b.pool.held() }

// Dials tells of the connections made since the last call.
func (b *Client) TakeConnectionStats() ConnectionStats { return b.pool.counted() }

// Reach makes a connection to an engine and keeps it for later use.
func (b *Client) Preconnect(ctx context.Context, engine decision.EngineID) error {
	c, err := b.pool.get(ctx, engine, b.pool.of(engine), true)
	if err == nil {
		b.pool.put(c)
	}
	return err
}

// Probe asks an engine for a sign of life and its load report; the listener hears of the end.
func (b *Client) CheckHealth(engine decision.EngineID) {
	b.running.Go(func() {
		sent := time.Now()
		ended := decision.HealthCheckEnded{Engine: engine}
		ended.Outcome, ended.Report = b.probe(engine, sent.Add(b.pool.connectIn))
		ended.Elapsed = time.Since(sent)
		b.listener.HealthCheckEnded(ended)
	})
}

func (b *Client) probe(engine decision.EngineID, until time.Time) (decision.Outcome, *decision.LoadReport) {
	c, err := b.pool.get(b.ctx, engine, b.pool.of(engine), false)
	if err != nil {
		return decision.ConnectFailed, nil
	}
	head, _, _, err := c.do(until, message("GET", "/busy", c.address, nil))
	switch {
	case isTimeout(err):
		b.pool.abort(c)
		return decision.TimedOut, nil
	case err != nil:
		b.pool.abort(c)
		return decision.ConnectionReset, nil
	case head.Close || c.look() != quiet:
		b.pool.drop(c)
	default:
		b.pool.put(c)
	}
	if head.Status != 200 {
		return decision.Errored, parseReport(head.Field(fieldReport))
	}
	return decision.Completed, parseReport(head.Field(fieldReport))
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
	ctx, cancel := context.WithDeadline(b.ctx, order.Deadline)
	x := &Attempt{back: b, AttemptRequest: order, path: "/x/" + string(order.Statement), address: b.pool.of(order.Engine), sent: time.Now(),
		ctx: ctx, cancel: cancel, heard: make(chan struct{}), over: make(chan struct{})}
	b.pool.hold(order.Engine)
	b.running.Go(func() {
		defer cancel()
		stop := context.AfterFunc(ctx, x.lapsed)
		if end, known := x.run(); known { // else lapsed tells the end, and may yet have to begin
			stop()
			x.end(end)
		}
	})
	return x
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
