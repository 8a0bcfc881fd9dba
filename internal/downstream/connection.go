package downstream

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"bankledge/internal/flowcontrol"
	"bankledge/internal/logevent"
)

// Conn is a client's connection: one goroutine reads, one writes.
type Conn struct {
	server      *Server
	raw         net.Conn
	peer        *flowcontrol.Peer // guarded by Server.flowMu
	writeReady  chan struct{}     // wakes the writer: there is something to write, or the connection has ended
	readResumed chan struct{}     // wakes the reader where it waits for the client to read its answers
	shutdown    <-chan struct{}   // closed when the server ends

	acceptedAt  time.Time
	framingLost atomic.Bool // nothing on it can be read any more
	// evictionRequested: the reader is to close the connection for another one, if it is still idle.
	evictionRequested atomic.Bool
	closeReason       atomic.Pointer[closeReason] // nil while the connection is not known to end

	mu             sync.Mutex
	ended          bool // finish was called: nothing more is handled
	endedAt        time.Time
	queue          []queuedFrame
	framesInWrite  int                    // frames that were taken from queue and are not with the kernel yet
	openStreams    map[uint32]streamState // streams whose answer is not written yet
	answersQueued  int                    // of openStreams, those whose answer is queued or being written
	usedStreams    streamSet
	hasSentFrame   bool      // a complete frame has arrived
	invalidFrames  int       // frames that could not be used
	idleSince      time.Time // since when no stream is open
	stalled        bool      // the client's queue is so long that nothing is read from it
	disconnectedAt time.Time // since when only short frames are queued because the client is too slow; zero: not disconnected
}

// newConn returns a connection that was accepted at a time.
func newConn(server *Server, raw net.Conn, peer *flowcontrol.Peer, acceptedAt time.Time) *Conn {
	return &Conn{
		server:      server,
		raw:         raw,
		peer:        peer,
		writeReady:  make(chan struct{}, 1),
		readResumed: make(chan struct{}, 1),
		acceptedAt:  acceptedAt,
		openStreams: map[uint32]streamState{},
		usedStreams: streamSet{outOfOrder: map[uint32]bool{}},
		idleSince:   acceptedAt,
	}
}

// serve reads and writes until the connection has ended; ctx closes it.
func (c *Conn) serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { c.raw.Close() })
	defer stop()
	c.shutdown = ctx.Done()
	var writer sync.WaitGroup
	writer.Go(c.writeFrames)
	c.readFrames()
	c.finish()
	writer.Wait()
	c.server.unregister(c)
	c.raw.Close()
	c.withPeer(func(_ time.Duration, peer *flowcontrol.Peer) { peer.Close() })
}

// readFrames handles frames until nothing more can be read. A panic ends this connection alone.
func (c *Conn) readFrames() {
	defer func() {
		if p := recover(); p != nil {
			c.server.log.Error(logevent.ClientConnectionPanicked, logevent.Panic(p), logevent.Stack())
		}
	}()
	newFrameReader(c).run()
}

// finish begins the connection's end: its open streams are cancelled, and the writer ends once the queue is written.
func (c *Conn) finish() {
	unanswered := c.closeStreams()
	c.reportClose(unanswered)
	if len(unanswered) > 0 {
		c.server.handler.HandleCancel(c, unanswered)
	}
	c.wakeWriter()
}

// closeStreams closes all streams and lists those whose client still waited.
func (c *Conn) closeStreams() []uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	unanswered := make([]uint32, 0, len(c.openStreams))
	for stream, state := range c.openStreams {
		if state == streamAwaited {
			unanswered = append(unanswered, stream)
		}
	}
	clear(c.openStreams)
	c.ended = true
	c.endedAt = time.Now()
	return unanswered
}

// flushExpired returns whether flushTimeout has passed since the connection ended, so that the rest of the queue is dropped.
func (c *Conn) flushExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended && time.Since(c.endedAt) > flushTimeout
}
