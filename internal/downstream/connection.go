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

// Conn is a client connection. One goroutine reads from it and one writes to it.
type Conn struct {
	server      *Server
	raw         net.Conn
	peer        *flowcontrol.Peer // guarded by Server.flowMu
	writeReady  chan struct{}     // wakes the writer when a frame was queued or the connection has ended
	readResumed chan struct{}     // wakes the reader while it waits for the client to read its answers
	shutdown    <-chan struct{}   // closed when the server stops

	acceptedAt  time.Time
	framingLost atomic.Bool // no further frame can be parsed
	// evictionRequested asks the reader to close the connection, if it is still idle, to free its slot for another one.
	evictionRequested atomic.Bool
	closeReason       atomic.Pointer[closeReason] // nil until a reason is set

	mu             sync.Mutex
	ended          bool // nothing more is handled or queued
	endedAt        time.Time
	queue          []queuedFrame
	framesInWrite  int                    // frames that were removed from queue but not yet passed to the kernel
	openStreams    map[uint32]streamState // streams whose answer has not been written yet
	answersQueued  int                    // the number of openStreams whose answer is queued or being written
	usedStreams    streamSet
	hasSentFrame   bool      // a complete frame has been received
	invalidFrames  int       // invalid frames received and connection errors sent
	idleSince      time.Time // when the connection was accepted, or a stream was last closed or a frame last written
	stalled        bool      // the client's queue is so long that the server stops reading from the client
	disconnectedAt time.Time // when the client was found too slow; only short frames are queued from then on; zero if it was not
}

// newConn returns a Conn for a connection that was accepted at acceptedAt.
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

// serve reads and writes frames until the connection has ended. It closes the connection when ctx is cancelled.
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

// readFrames handles frames until nothing more can be read. It recovers from panics, so that a panic ends only this connection.
func (c *Conn) readFrames() {
	defer func() {
		if p := recover(); p != nil {
			c.server.log.Error(logevent.ClientConnectionPanicked, logevent.Panic(p), logevent.Stack())
		}
	}()
	newFrameReader(c).run()
}

// finish starts to end the connection: it cancels the open streams and lets the writer end once the queue is written.
func (c *Conn) finish() {
	unanswered := c.closeStreams()
	c.reportClose(unanswered)
	if len(unanswered) > 0 {
		c.server.handler.HandleCancel(c, unanswered)
	}
	c.wakeWriter()
}

// closeStreams closes all streams and returns those whose answer the client still waited for.
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

// flushExpired returns whether flushTimeout has passed since the connection ended. If so, the rest of the queue is dropped.
func (c *Conn) flushExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended && time.Since(c.endedAt) > flushTimeout
}
