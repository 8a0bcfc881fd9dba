// Package downstream serves clients: binary frames over TCP, and the connections that carry them.
//
// Server accepts connections, bounds how many are open and disconnects clients that do not read their answers. Each Conn has a
// goroutine that reads frames and one that writes them; statements go to a Handler, which answers through the Conn.
//
// Lock order: Server.mu, Conn.mu, Server.flowMu. No Handler is called with a lock held.
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

// acceptRetryInterval is the delay before the next attempt to accept a connection, or to acquire a slot for one.
const acceptRetryInterval = 20 * time.Millisecond

// Handler handles what clients send. No call may block on a socket; slices are valid for the call only.
type Handler interface {
	// HandleStatement takes a statement. The handler then has to call Answer once for its stream, unless HandleCancel is called. It returns
	// whether the statement was valid; an invalid one has been answered already.
	HandleStatement(c *Conn, stream uint32, fields Fields, text []byte) (valid bool)
	// HandleCancel is called when the client does not wait for these streams any more.
	HandleCancel(c *Conn, streams []uint32)
	// HandleBackpressure is called when reading from a client stops, since it does not read its answers, and when reading resumes.
	HandleBackpressure(c *Conn, stalled bool)
	// AbortOpenStatements has to answer all open statements of a connection: its client is disconnected for the reason given.
	AbortOpenStatements(c *Conn, reason string)
	// Ready returns whether statements may be sent to the router.
	Ready() bool
}

// Server owns the clients' connections.
type Server struct {
	// Violations records second answers of a stream and statements that are lost by a close.
	Violations *invariant.Recorder

	handler     Handler
	log         *zap.Logger
	connSlots   chan struct{} // holds an element for each open connection
	frameMemory atomic.Int64  // free bytes for large frames that are not complete
	peekBuffers sync.Pool     // of *[peekBytes]byte

	awaitingSlot atomic.Int64 // connections that were accepted and wait for a slot

	clockStart time.Time  // zero of the clock that flow uses
	flowMu     sync.Mutex // guards flow; innermost
	flow       *flowcontrol.Controller

	mu                 sync.Mutex
	connections        map[*Conn]struct{}
	draining           bool
	evicted            int64
	slowClients        SlowClientStats
	slowClientLoggedAt time.Time
}

// New returns a server that holds at most maxConnections, and at most frameMemory bytes of large frames that are not complete.
func New(handler Handler, maxConnections int, frameMemory int64, limits flowcontrol.Limits, log *zap.Logger) *Server {
	s := &Server{
		Violations:  invariant.NewRecorder(log),
		handler:     handler,
		log:         log,
		connSlots:   make(chan struct{}, maxConnections),
		peekBuffers: sync.Pool{New: newPeekBuffer},
		clockStart:  time.Now(),
		flow:        flowcontrol.NewController(limits),
		connections: map[*Conn]struct{}{},
	}
	s.frameMemory.Store(frameMemory)
	return s
}

// Serve accepts connections until the listener is closed, and waits until all have ended. When ctx ends, so do the
// connections. Its error is always nil: a failed accept is logged and repeated.
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
			if !sleep(ctx, acceptRetryInterval) { // e.g. no file descriptor is free: the server goes on
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

// sleep waits; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// admit waits for a slot and makes the connection; it returns nil once ctx has ended.
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

// acquireSlot takes a slot for a connection. Where there is none, others are evicted; as long as all of them have open
// statements, the new one waits. It returns false once ctx has ended.
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

// register adds a connection. While the server drains, the client is notified.
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
