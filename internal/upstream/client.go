// Package upstream communicates with engines over HTTP/1.1: it pools connections, runs attempts with their polls and result
// pages, and checks the engines' health. It makes no routing decisions and reports all results to its [Listener].
//
// An attempt is one run of a statement at one engine. Its start (POST /x) is sent once and never repeated; polls
// (GET /x/ID/0) and page requests (GET /x/ID/N) are repeated on another connection when one breaks, hangs or delivers an
// unusable response. The end of an attempt is reported exactly once, and only once it is confirmed that the engine no
// longer runs the attempt ([EndConfirmation]), since the statement may be started on another engine right after that.
package upstream

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/invariant"
)

// idleTimeoutFraction is the fraction of the engines' idle timeout after which the client closes an idle connection, so
// that no request is sent just when the engine closes the connection.
const idleTimeoutFraction = 0.6

// Listener is notified of the progress and the ends of attempts and health checks. Its methods are called concurrently;
// they may block, but not on socket I/O.
type Listener interface {
	// AttemptProgressed is called for each progress report of an attempt, but never after AttemptEnded.
	AttemptProgressed(decision.AttemptProgress)
	// AttemptEnded is called once for each attempt; result is the complete result if the attempt has completed. It is not called for an
	// attempt that is requested after Client.Run has closed the client.
	AttemptEnded(ended decision.AttemptEnded, result []byte)
	// HealthCheckEnded is called once for each health check.
	HealthCheckEnded(decision.HealthCheckEnded)
}

// Client owns the connections to engines and the attempts in flight.
type Client struct {
	listener    Listener
	log         *zap.Logger
	pool        *connectionPool
	lifetime    context.Context // all attempts end when it is done
	clockOrigin time.Time       // the origin of every sharedTime; has a monotonic reading
	tasks       taskGroup       // attempts, cancellations and health checks

	// Violations counts attempt ends whose confirmation was invalid.
	Violations *invariant.Recorder

	// AwaitDiscovery is called before an attempt is started. It waits until the router has processed what the control feed
	// has announced about engines. It may be nil.
	AwaitDiscovery func()
}

// New returns a client that opens at most maxConnections connections at once. engineIdleTimeout is the time after which
// engines close idle connections; connectTimeout limits the wait for a connection and for the response to a health check.
// Everything that the client starts ends when ctx is done.
func New(ctx context.Context, listener Listener, maxConnections int, engineIdleTimeout, connectTimeout time.Duration,
	log *zap.Logger) *Client {
	maxIdleTime := time.Duration(idleTimeoutFraction * float64(engineIdleTimeout))
	return &Client{
		listener:    listener,
		log:         log,
		pool:        newConnectionPool(maxConnections, maxIdleTime, connectTimeout),
		lifetime:    ctx,
		clockOrigin: time.Now(),
		Violations:  invariant.NewRecorder(log),
	}
}

// Run maintains the connection pool until ctx is done, then closes the pool and waits for attempts and health checks. None
// begins after that.
func (c *Client) Run(ctx context.Context) error {
	c.pool.run(ctx)
	c.tasks.close()
	return nil
}

// UpdateEngine sets the address at which an engine listens. ready makes the engine accept new attempts again after DrainEngine.
func (c *Client) UpdateEngine(engine decision.EngineID, address string, ready bool) {
	c.pool.updateEngine(engine, address, ready)
}

// DrainEngine prevents attempts that still wait for a connection from being started at an engine; those in flight continue.
func (c *Client) DrainEngine(engine decision.EngineID) { c.pool.drainEngine(engine) }

// Engines returns the listed engines in ascending order.
func (c *Client) Engines() []decision.EngineID { return c.pool.engines() }

// RemoveEngine deletes an engine that was removed from the endpoint list. Attempts in flight there continue.
func (c *Client) RemoveEngine(engine decision.EngineID) { c.pool.removeEngine(engine) }

// RetainEngines removes all engines but the listed ones.
func (c *Client) RetainEngines(listed map[decision.EngineID]bool) { c.pool.retainEngines(listed) }

// CloseIdleConnections closes the idle connections to an engine.
func (c *Client) CloseIdleConnections(engine decision.EngineID) { c.pool.closeIdle(engine) }

// ConnectionsInUse returns the number of connections that are open or being dialled, including idle ones.
func (c *Client) ConnectionsInUse() int { return c.pool.inUse() }

// TakeConnectionStats returns the counts since the previous call and resets them.
func (c *Client) TakeConnectionStats() ConnectionStats { return c.pool.takeStats() }

// Preconnect opens a connection to an engine and adds it to the pool.
func (c *Client) Preconnect(ctx context.Context, engine decision.EngineID) error {
	conn, err := c.pool.acquire(ctx, engine, c.pool.addressOf(engine), true)
	if err != nil {
		return err
	}
	c.pool.release(conn)
	return nil
}
