// Package upstream speaks with engines: HTTP/1.1 over pooled connections, attempts with their polls and
// result pages, and health checks. It makes no routing decision: what it learns goes to its [Listener].
//
// An attempt is one run of a statement at one engine. Its start (POST /x) is sent once and never repeated; polls
// (GET /x/ID/0) and pages (GET /x/ID/N) are repeated on another connection when one breaks, hangs or brings an
// unusable response. The end of an attempt is reported exactly once, and only with a proof that the engine does not
// run it any more ([EndProof]): the same statement may be started elsewhere right after that.
package upstream

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/invariant"
)

// idleTimeoutShare is the share of the engines' own idle timeout after which an idle connection is closed here, so
// that a request does not cross with the engine's close.
const idleTimeoutShare = 0.6

// Listener is notified of what engines report. Its methods are called from many goroutines; they may block, but not
// on a socket.
type Listener interface {
	// AttemptProgressed is called for each progress report of an attempt, and not after AttemptEnded.
	AttemptProgressed(decision.AttemptProgress)
	// AttemptEnded is called once for each attempt; result is the complete result of a completed one. It is not called for one that is
	// requested after Client.Run has ended the others.
	AttemptEnded(ended decision.AttemptEnded, result []byte)
	// HealthCheckEnded is called once for each health check.
	HealthCheckEnded(decision.HealthCheckEnded)
}

// Client owns the connections to engines and the attempts in flight.
type Client struct {
	listener    Listener
	log         *zap.Logger
	pool        *connectionPool
	lifetime    context.Context // ends the attempts
	clockOrigin time.Time       // of every sharedTime; has a monotonic reading
	tasks       taskGroup       // attempts, cancellations and health checks

	// Violations counts attempt ends whose proof did not hold.
	Violations *invariant.Recorder

	// AwaitDiscovery is called before an attempt is started: it waits until what was announced about engines has
	// been processed. It may be nil.
	AwaitDiscovery func()
}

// New returns a client that uses at most maxConnections descriptors. engineIdleTimeout is the time after which engines
// close idle connections; connectTimeout bounds the wait for a connection and for the response to a health check.
// All that the client starts ends with ctx.
func New(ctx context.Context, listener Listener, maxConnections int, engineIdleTimeout, connectTimeout time.Duration,
	log *zap.Logger) *Client {
	maxIdleTime := time.Duration(idleTimeoutShare * float64(engineIdleTimeout))
	return &Client{
		listener:    listener,
		log:         log,
		pool:        newConnectionPool(maxConnections, maxIdleTime, connectTimeout),
		lifetime:    ctx,
		clockOrigin: time.Now(),
		Violations:  invariant.NewRecorder(log),
	}
}

// Run maintains the connection pool until ctx ends, then closes it and waits for attempts and health checks. None begins after that.
func (c *Client) Run(ctx context.Context) error {
	c.pool.run(ctx)
	c.tasks.close()
	return nil
}

// UpdateEngine sets where an engine listens. An engine that is ready accepts new attempts again after DrainEngine.
func (c *Client) UpdateEngine(engine decision.EngineID, address string, ready bool) {
	c.pool.updateEngine(engine, address, ready)
}

// DrainEngine prevents attempts that still wait for a connection from being started at an engine; those in flight go on.
func (c *Client) DrainEngine(engine decision.EngineID) { c.pool.drainEngine(engine) }

// Engines returns the listed engines in ascending order.
func (c *Client) Engines() []decision.EngineID { return c.pool.engines() }

// RemoveEngine forgets an engine that was removed from the endpoint list. Attempts in flight there go on.
func (c *Client) RemoveEngine(engine decision.EngineID) { c.pool.removeEngine(engine) }

// RetainEngines removes all engines but the listed ones.
func (c *Client) RetainEngines(listed map[decision.EngineID]bool) { c.pool.retainEngines(listed) }

// CloseIdleConnections closes the idle connections to an engine.
func (c *Client) CloseIdleConnections(engine decision.EngineID) { c.pool.closeIdle(engine) }

// ConnectionsInUse returns the number of descriptors in use, those of idle connections included.
func (c *Client) ConnectionsInUse() int { return c.pool.inUse() }

// TakeConnectionStats returns the counts since the previous call.
func (c *Client) TakeConnectionStats() ConnectionStats { return c.pool.takeStats() }

// Preconnect opens a connection to an engine and keeps it for later use.
func (c *Client) Preconnect(ctx context.Context, engine decision.EngineID) error {
	conn, err := c.pool.acquire(ctx, engine, c.pool.addressOf(engine), true)
	if err != nil {
		return err
	}
	c.pool.release(conn)
	return nil
}
