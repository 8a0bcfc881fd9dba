// Package downstream implements the router's side of the client protocol: binary frames over TCP.
//
// Server accepts connections, limits how many are open and disconnects clients that do not read their answers. Each Conn has one
// goroutine that reads frames and one that writes them. It passes statements to a Handler, which answers through the Conn.
//
// Locks are acquired in the order Server.mu, Conn.mu, Server.flowMu. No Handler method is called with a lock held.
package downstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bankledge/internal/flowcontrol"
	"bankledge/internal/invariant"
	"bankledge/internal/logevent"
)

// acceptRetryInterval is the delay before the server tries again to accept a connection or to acquire a slot for one.
const acceptRetryInterval = 20 * time.Millisecond

// Handler handles the requests of clients. Its methods must not block on a socket and must not keep the slices that they are given.
type Handler interface {
	// HandleStatement handles a statement. The handler must call Answer once for its stream, unless HandleCancel is called for it.
	// HandleStatement returns whether the statement was valid; it has answered an invalid statement before it returns.
	HandleStatement(c *Conn, stream uint32, fields Fields, text []byte) (valid bool)
	// HandleCancel is called when the client no longer waits for the answers of these streams.
	HandleCancel(c *Conn, streams []uint32)
	// HandleBackpressure is called when the server stops reading from a client that does not read its answers, and when it resumes.
	HandleBackpressure(c *Conn, stalled bool)
	// AbortOpenStatements must answer all open statements of a connection, since its client is being disconnected for the given reason.
	AbortOpenStatements(c *Conn, reason string)
	// Ready returns whether the router accepts statements.
	Ready() bool
}

// Server accepts client connections and manages them until they are closed.
type Server struct {
	// Violations records duplicate answers to a stream and statements that are lost because the server closes their connection.
	Violations *invariant.Recorder

	handler     Handler
	log         *zap.Logger
	connSlots   chan struct{} // a semaphore with one element for each open connection
	peekBuffers sync.Pool     // of *[peekBytes]byte

	awaitingSlot atomic.Int64 // accepted connections that wait for a slot

	clockStart time.Time  // time zero of the clock that flow uses
	flowMu     sync.Mutex // guards flow; always acquired last
	flow       *flowcontrol.Controller

	mu                 sync.Mutex
	connections        map[*Conn]struct{}
	draining           bool
	evicted            int64
	slowClients        SlowClientStats
	slowClientLoggedAt time.Time
}

// New returns a server that keeps at most maxConnections connections open.
func New(handler Handler, maxConnections int, limits flowcontrol.Limits, log *zap.Logger) *Server {
	return &Server{
		Violations:  invariant.NewRecorder(log),
		handler:     handler,
		log:         log,
		connSlots:   make(chan struct{}, maxConnections),
		peekBuffers: sync.Pool{New: newPeekBuffer},
		clockStart:  time.Now(),
		flow:        flowcontrol.NewController(limits),
		connections: map[*Conn]struct{}{},
	}
}

// Serve accepts connections until the listener is closed, then waits until all connections have ended. When ctx is cancelled, it
// closes them. The returned error is always nil: Serve logs a failed accept and retries it.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	accepting := make(chan struct{})
	defer close(accepting)
	group.Go(func() {
		defer cancel()
		s.watchSlowClients(ctx, accepting)
	})
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.Warn(logevent.ClientAcceptFailed, zap.Error(err))
			if !sleep(ctx, acceptRetryInterval) { // the error may be temporary, e.g. no free file descriptor
				return nil
			}
			continue
		}
		conn := s.admit(ctx, raw)
		if conn == nil {
			return nil
		}
		group.Go(func() {
			defer func() { <-s.connSlots }()
			conn.serve(ctx)
		})
	}
}

// sleep waits for d. It returns false if ctx is cancelled first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// admit waits for a slot, then creates and registers the connection. It returns nil if ctx is cancelled first.
func (s *Server) admit(ctx context.Context, raw net.Conn) *Conn {
	s.awaitingSlot.Add(1)
	defer s.awaitingSlot.Add(-1)
	if !s.acquireSlot(ctx) {
		raw.Close()
		return nil
	}
	now := time.Now()
	host, _, _ := net.SplitHostPort(raw.RemoteAddr().String())
	s.flowMu.Lock()
	peer := s.flow.OpenPeer(host)
	s.flowMu.Unlock()
	if tcp, ok := raw.(*net.TCPConn); ok {
		tcp.SetWriteBuffer(int(s.flow.Limits().SendBufferBytes))
	}
	conn := newConn(s, raw, peer, now)
	s.register(conn)
	return conn
}

// acquireSlot acquires a slot for a connection. If none is free, it evicts another connection; while none can be evicted, the new
// connection waits. It returns false if ctx is cancelled first.
func (s *Server) acquireSlot(ctx context.Context) bool {
	for {
		select {
		case s.connSlots <- struct{}{}:
			return true
		default:
		}
		s.evictOne()
		select {
		case s.connSlots <- struct{}{}:
			return true
		case <-time.After(acceptRetryInterval):
		case <-ctx.Done():
			return false
		}
	}
}

// register adds a connection. If the server is draining, it notifies the client.
func (s *Server) register(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[c] = struct{}{}
	if s.draining {
		c.sendDraining()
	}
}

func (s *Server) unregister(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}
