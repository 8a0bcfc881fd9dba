package downstream

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"bankledge/internal/flowcontrol"
	"bankledge/internal/invariant"
	"bankledge/internal/readbuffer"
)

const (
	maxOpenStatements    = 32               // open statements of a connection
	maxQueuedFrames      = 256              // frames that a client has not read yet
	maxOutOfOrderStreams = 1024             // streams used out of their order, remembered of a connection
	maxInvalidFrames     = 128              // frames that cannot be used, then the connection ends
	idleTimeout          = 60 * time.Second // a connection with nothing open and no frame so long is closed
	writeTimeout         = time.Minute      // for one write; who takes in too little is released long before
	flushTimeout         = time.Second      // for what is left to be written once the client is gone, or is released
	flowCheckInterval    = 250 * time.Millisecond

	minFlushBackoff, maxFlushBackoff = 2 * time.Millisecond, 50 * time.Millisecond // between looks at what the client has taken in
	acceptRetryInterval              = 20 * time.Millisecond
	discardLinger                    = time.Second // a connection with its framing lost may stay so long once its last answer is written
	lateReadTimeout                  = 20 * time.Millisecond
	newConnGrace                     = 500 * time.Millisecond // a connection so new may have its first statement on its way
	evictionIdleTime                 = time.Second            // and one that was idle for less its next
	peekBytes                        = 64 << 10               // bytes looked through for a word that nobody waits, of what is not read
	peekInterval                     = 50 * time.Millisecond

	invalidFrameDelay    = 2 * time.Millisecond // before reading on, for each frame so far that could not be used
	maxInvalidFrameDelay = 50 * time.Millisecond
	smallFrameBytes      = 4 << 10 // bytes of a frame that need no room from what all connections share
)

// Taker takes in what clients send. No call may block on a socket; the slices are good for the call only.
type Handler interface {
	// TakeIn takes a statement, which is then owed one Answer on its stream, or none after Left. It tells
	// whether the statement was fit; one that was not is answered already.
	HandleStatement(c *Conn, stream uint32, fields Fields, text []byte) (fit bool)
	// Left tells that nobody waits for these streams any more.
	HandleCancel(c *Conn, streams []uint32)
	// Stalled tells that so much waits for a client that nothing is read from it any more, or that this is over.
	HandleBackpressure(c *Conn, stalled bool)
	// Release asks for the last answers of all that is open on a connection: its client takes in too little.
	AbortOpenStatements(c *Conn, why string)
	// Ready tells whether the router may be sent statements.
	Ready() bool
}

// Front owns the clients' connections.
type Server struct {
	Violations *invariant.Recorder // counts second answers and requests that are lost by a close

	handler     Handler
	log         *zap.Logger
	connSlots   chan struct{} // one for each connection that may be held
	frameMemory atomic.Int64  // bytes left for large frames that have not come whole
	clockStart  time.Time     // of the accounts' clock
	peekBuffers sync.Pool     // of buffers to look through what is not read

	awaitingSlot atomic.Int64 // connections that were accepted and wait for a place

	flowMu sync.Mutex // guards the accounts; innermost
	flow   *flowcontrol.Controller

	mu                 sync.Mutex
	connections        map[*Conn]struct{}
	draining           bool
	evicted            int64
	slowClients        SlowClientStats
	slowClientLoggedAt time.Time // when the last line about a released client was written
}

// Slow counts what slow clients led to.
type SlowClientStats struct{ Stalled, Released, Shortened int64 }

// New returns a front that holds at most so many connections, and so many bytes of large frames that have
// not come whole.
func New(taker Handler, most int, room int64, limits flowcontrol.Limits, log *zap.Logger) *Server {
	f := &Server{Violations: invariant.NewRecorder(log), handler: taker, log: log, clockStart: time.Now(), flow: flowcontrol.NewController(limits), connSlots: make(chan struct{}, most), connections: map[*Conn]struct{}{}}
	f.frameMemory.Store(room)
	f.peekBuffers.New = func() any { return new([peekBytes]byte) }
	return f
}

// Serve accepts connections until the listener is closed, and waits until all have ended. When ctx ends,
// so do the connections.
func (f *Server) Serve(ctx context.Context, listener net.Listener) error {
	var group errgroup.Group
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	serving := make(chan struct{})
	defer func() { close(serving) }()
	group.Go(func() error { defer cancel(); f.watchSlowClients(ctx, serving); return nil })
	for {
		raw, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			f.log.Warn("a connection could not be accepted", zap.Error(err))
			select { // out of descriptors, say: not a reason to end
			case <-time.After(acceptRetryInterval):
			case <-ctx.Done():
				return nil
			}
			continue
		}
		f.awaitingSlot.Add(1)
		if !f.acquireSlot(ctx) {
			f.awaitingSlot.Add(-1)
			raw.Close()
			return nil
		}
		now := time.Now()
		host, _, _ := net.SplitHostPort(raw.RemoteAddr().String())
		c := &Conn{server: f, raw: raw, writeReady: make(chan struct{}, 1), readResumed: make(chan struct{}, 1), openStreams: map[uint32]bool{}, usedOutOfOrder: map[uint32]bool{}, acceptedAt: now, idleSince: now}
		f.flowMu.Lock()
		c.peer = f.flow.OpenPeer(host)
		f.flowMu.Unlock()
		if tcp, ok := raw.(*net.TCPConn); ok {
			tcp.SetWriteBuffer(int(f.flow.Limits().SendBufferBytes))
		}
		f.register(c)
		f.awaitingSlot.Add(-1)
		group.Go(func() error {
			defer func() { <-f.connSlots }()
			c.serve(ctx)
			return nil
		})
	}
}

// Awaited tells whether a connection waits to be accepted.
func AcceptPending(listener net.Listener) (some bool) {
	sys, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	if raw, err := sys.SyscallConn(); err == nil { // closed: there is none
		raw.Control(func(fd uintptr) {
			asked := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
			n, err := unix.Poll(asked, 0)
			some = err == nil && n > 0 && asked[0].Revents&unix.POLLIN != 0
		})
	}
	return some
}

// place takes a place for a connection. Where there is none, others make room; as long as all of them have
// statements open, the new one waits.
func (f *Server) acquireSlot(ctx context.Context) bool {
	for {
		select {
		case f.connSlots <- struct{}{}:
			return true
		default:
		}
		f.evictOne()
		select {
		case f.connSlots <- struct{}{}:
			return true
		case <-time.After(acceptRetryInterval):
		case <-ctx.Done():
			return false
		}
	}
}

// evict closes the connection that is the least loss of those with nothing open: first what sent something
// unfit, then what never sent a frame, then what has been idle; among equals the one that has been so longest.
func (f *Server) evictOne() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var least *Conn
	var kind int
	for c := range f.connections {
		k := c.evictionRank()
		if k > kind || k == kind && k > 0 && c.idleSince.Before(least.idleSince) {
			least, kind = c, k
		}
	}
	if least != nil && least.closeIfIdle() {
		f.evicted++
	}
}

// Evicted counts the connections that were closed to make room.
func (f *Server) Evicted() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evicted
}

// Stop tells every client, now and later, to send no new statement on its connection.
func (f *Server) StartDraining() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	for c := range f.connections {
		c.enqueue(appendFrame(nil, frameDraining, 0, 0), 0)
	}
}

// Queued is the number of frames that still wait to be written or are being written, and of connections whose client
// has not taken in yet what was.
func (f *Server) PendingWrites() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.connections {
		c.mu.Lock()
		n += len(c.queue) + c.framesInWrite + c.answersQueued
		c.mu.Unlock()
		if left, ok := c.unsentBytes(); ok && left > 0 { // an end now might have the kernel drop it
			n++
		}
	}
	return n
}

// Unheard is the number of connections that wait for a place, or on which something lies that was not read yet: it may be a
// statement whose last byte came in time.
func (f *Server) PendingReads() int {
	n := int(f.awaitingSlot.Load())
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.connections {
		if !c.framingLost.Load() && c.unreadBytes() > 0 {
			n++
		}
	}
	return n
}

func (f *Server) register(c *Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connections[c] = struct{}{}
	if f.draining {
		c.enqueue(appendFrame(nil, frameDraining, 0, 0), 0)
	}
}

func (f *Server) unregister(c *Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.connections, c)
}

// tend looks after clients that take in too little, until the last connection has ended.
func (f *Server) watchSlowClients(ctx context.Context, serving <-chan struct{}) {
	tick := time.NewTicker(flowCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		f.mu.Lock()
		conns := slices.Collect(maps.Keys(f.connections))
		f.mu.Unlock()
		select {
		case <-serving:
			if len(conns) == 0 {
				return
			}
		default:
		}
		for _, c := range conns {
			c.checkFlow()
		}
	}
}

// Slow tells what slow clients led to so far, and what waits for clients now.
func (f *Server) FlowControlStats() (s SlowClientStats, out, texts int64) {
	f.mu.Lock()
	s = f.slowClients
	f.mu.Unlock()
	f.flowMu.Lock()
	defer f.flowMu.Unlock()
	out, texts, _ = f.flow.Usage()
	return s, out, texts
}

func (f *Server) updateSlowStats(n func(*SlowClientStats)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n(&f.slowClients)
}

// Conn is a client's connection: one goroutine reads, one writes.
type Conn struct {
	server      *Server
	raw         net.Conn
	peer        *flowcontrol.Peer
	writeReady  chan struct{} // something to write, or the end
	readResumed chan struct{} // reading may go on
	shutdown    <-chan struct{}

	acceptedAt  time.Time                   // it was accepted
	framingLost atomic.Bool                 // nothing on it can be read any more
	closeReason atomic.Pointer[closeReason] // it ends; nil: it does not, as far as is known

	mu             sync.Mutex
	queue          []queuedFrame
	ended          bool            // its end has begun: nothing more is taken in
	openStreams    map[uint32]bool // streams whose answer is not written yet; true: nobody waits for it
	answersQueued  int             // of these, those whose answer is queued or being written
	framesInWrite  int             // frames that were taken from out and are not with the kernel yet
	usedUpTo       uint32          // all streams up to this one are used
	usedOutOfOrder map[uint32]bool // and these above it
	hasSentFrame   bool            // a whole frame has come
	invalidFrames  int             // frames that could not be used
	idleSince      time.Time       // since when nothing is open
	stalled        bool            // so much waits for the client that nothing is read from it
	releasedAt     time.Time       // since when only short words are said to it; zero: it is not released
	endedAt        time.Time       // since when its end has begun
}

// booked calls the account under its lock.
func (c *Conn) withPeer(do func(now time.Duration, a *flowcontrol.Peer)) {
	c.server.flowMu.Lock()
	defer c.server.flowMu.Unlock()
	do(time.Since(c.server.clockStart), c.peer)
}

// measure finds out what the kernel holds for the client, which is what the client has not taken in.
func (c *Conn) updateUnsent() {
	if left, ok := c.unsentBytes(); ok {
		c.withPeer(func(now time.Duration, a *flowcontrol.Peer) { a.RecordUnsent(now, int64(left)) })
	}
}

// control calls do with the connection's descriptor, which stays good for the call.
func (c *Conn) withDescriptor(do func(fd int)) {
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { do(int(fd)) })
	}
}

// unsent is how many bytes the kernel holds for the client.
func (c *Conn) unsentBytes() (left int, ok bool) {
	c.withDescriptor(func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		left, ok = n, err == nil && n >= 0
	})
	return left, ok
}

// unread is how many bytes the kernel holds that were not read yet.
func (c *Conn) unreadBytes() (n int) {
	c.withDescriptor(func(fd int) {
		if held, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil {
			n = held
		}
	})
	return n
}

// glance looks, without taking anything, at what a client has sent that is not read from, or not as fast as it comes: whether its
// connection has ended, and which streams nobody waits for any more. Who sends and does not take in, or sends what cannot be used, may
// leave like anyone else.
func (c *Conn) peekForDeparture(pending []byte) (ended bool) {
	scratch := c.server.peekBuffers.Get().(*[peekBytes]byte)
	defer c.server.peekBuffers.Put(scratch)
	n := 0
	c.withDescriptor(func(fd int) {
		var err error
		n, _, err = unix.Recvfrom(fd, scratch[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if n = max(n, 0); err != nil {
			ended = !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
		} else if n == 0 {
			ended = true
		}
	})
	for _, stream := range cancelledStreams(pending, scratch[:n]) {
		c.cancelStream(stream)
	}
	return ended || c.clientClosed()
}

// hungUp tells whether the client has ended its connection, also where that lies behind bytes not read.
func (c *Conn) clientClosed() (ended bool) {
	c.withDescriptor(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ended = info.State == tcpStateClose || info.State == tcpStateCloseWait
		}
	})
	return ended
}

// The kernel's states of a connection whose other side has ended it.
const tcpStateClose, tcpStateCloseWait = 7, 8

// look judges how the client takes its answers in: whether reading from it stops or goes on, and whether it is released.
func (c *Conn) checkFlow() {
	var holds, stalled, slow bool
	c.withPeer(func(_ time.Duration, a *flowcontrol.Peer) { holds = a.SendBufferBytes() > 0 })
	if holds {
		c.updateUnsent()
	}
	c.withPeer(func(now time.Duration, a *flowcontrol.Peer) { stalled, slow = a.Stalled(), a.TooSlow(now) })
	c.mu.Lock()
	turned := c.stalled != stalled && !c.ended
	c.stalled = stalled
	release := slow && c.releasedAt.IsZero() && !c.ended
	if release {
		c.releasedAt = time.Now()
	}
	gone := !c.releasedAt.IsZero() && (len(c.openStreams) == 0 && len(c.queue) == 0 || time.Since(c.releasedAt) > flushTimeout)
	c.mu.Unlock()
	if turned {
		if stalled {
			c.server.updateSlowStats(func(s *SlowClientStats) { s.Stalled++ })
		}
		c.server.handler.HandleBackpressure(c, stalled)
	}
	if release {
		c.abandonSlowClient()
	}
	if !stalled || release || gone { // one that is released has to see its connection end
		select {
		case c.readResumed <- struct{}{}:
		default:
		}
	}
	if gone { // what the kernel holds is still sent
		c.setCloseReason(closeSlowClient)
		c.raw.Close()
	}
}

const tooSlowReason = "the client takes its answers in too slowly"

// release ends a connection whose client takes in less than the least rate. What is queued and not begun turns into short
// words; what is open is answered; then it closes.
func (c *Conn) abandonSlowClient() {
	c.server.mu.Lock()
	c.server.slowClients.Released++
	released, tell := c.server.slowClients.Released, time.Since(c.server.slowClientLoggedAt) > time.Second
	if tell {
		c.server.slowClientLoggedAt = time.Now()
	}
	c.server.mu.Unlock()
	if tell { // a line a second: many may be released at once
		c.server.log.Warn("a client is released: it takes its answers in too slowly", zap.Stringer("client", c.raw.RemoteAddr()), zap.Int64("released", released))
	}
	c.mu.Lock()
	shortened := int64(0)
	for i, o := range c.queue {
		if o.stream != 0 && len(o.bytes) > alwaysQueuedBytes {
			c.replaceWithAbort(&c.queue[i])
			shortened++
		}
	}
	c.mu.Unlock()
	c.server.updateSlowStats(func(s *SlowClientStats) { s.Shortened += shortened })
	c.server.handler.AbortOpenStatements(c, tooSlowReason)
	c.sendConnError(tooSlowReason)
}

// shorten puts the short final answer in the place of one that cannot be kept.
func (c *Conn) replaceWithAbort(o *queuedFrame) {
	before := len(o.bytes)
	o.bytes = appendAnswer(nil, frameAnswer, o.stream, CodeAborted, []byte(tooSlowReason))
	c.withPeer(func(now time.Duration, a *flowcontrol.Peer) { a.ForceQueue(now, int64(len(o.bytes)-before)) })
}

// shortest is the most that a frame may hold which is queued whatever waits.
const alwaysQueuedBytes = 256

// dispensable is 0 for a connection with something open, whose client has not taken in its last answer yet, or whose next statement may
// well be on its way: to close one that is new leaves a client without an answer. Else it is the higher, the smaller the loss.
func (c *Conn) evictionRank() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended || len(c.openStreams) > 0 || len(c.queue) > 0 || c.framesInWrite > 0:
		return 0
	case c.invalidFrames > 0:
		return 3
	case c.unreadBytes() > 0: // it came before, and the router was held up
		return 0
	case !c.hasSentFrame && time.Since(c.acceptedAt) < newConnGrace:
		return 0
	case !c.hasSentFrame:
		return 2
	case time.Since(c.idleSince) < evictionIdleTime:
		return 0
	}
	if left, ok := c.unsentBytes(); ok && left > 0 { // the kernel would drop it if something lies unread
		return 0
	}
	return 1
}

// close ends a connection with nothing open, and tells whether it did: what comes on it is not taken any more.
func (c *Conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || len(c.openStreams) > 0 {
		return false
	}
	c.ended = true
	c.setCloseReason(closeEvicted)
	c.raw.Close()
	return true
}

type queuedFrame struct {
	bytes  []byte
	stream uint32 // whose answer it is, else 0
}

func (c *Conn) serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { c.raw.Close() })
	defer stop()
	c.shutdown = ctx.Done()
	var group errgroup.Group
	group.Go(func() error { c.writeFrames(); return nil })
	func() {
		defer func() { // a panic ends this connection alone
			if p := recover(); p != nil {
				c.server.log.Error("a connection broke down", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			}
		}()
		c.readFrames()
	}()
	c.finish()
	group.Wait()
	c.server.unregister(c)
	c.raw.Close()
	c.withPeer(func(_ time.Duration, a *flowcontrol.Peer) { a.Close() })
}

// end gives back what the connection holds: its streams to the taker, its writer to the runtime.
func (c *Conn) finish() {
	c.mu.Lock()
	left := make([]uint32, 0, len(c.openStreams))
	for stream, gone := range c.openStreams {
		if !gone {
			left = append(left, stream)
		}
	}
	clear(c.openStreams)
	c.ended, c.endedAt = true, time.Now()
	c.mu.Unlock()
	c.reportClose(left)
	if len(left) > 0 {
		c.server.handler.HandleCancel(c, left)
	}
	c.wakeWriter()
}

func (c *Conn) readFrames() {
	buf := readbuffer.New(lengthBytes + maxFrameLength)
	began, spoke, unfit := c.acceptedAt, false, 0    // since when a frame is awaited; one has come; those that could not be used
	limits, late := c.server.flow.Limits(), int64(0) // bytes of the frame that came after its grace
	room := int64(0)                                 // taken of what large frames share
	defer func() { c.server.frameMemory.Add(room) }()
	for {
		for {
			f, size, err := parseFrame(buf.Bytes())
			if err != nil {
				c.discardInput(err.Error())
				return
			}
			if size == 0 {
				break
			}
			if c.handleFrame(f); c.countUnfit(&unfit) > maxInvalidFrames {
				c.discardInput("too many frames that cannot be used")
				return
			}
			buf.Discard(size)
			c.server.frameMemory.Add(room)
			began, spoke, room, late = time.Now(), true, 0, 0
		}
		if unfit > 0 { // the answers are on their way; what cannot be used is read no faster than this
			time.Sleep(min(maxInvalidFrameDelay, time.Duration(unfit)*invalidFrameDelay))
			if c.peekForDeparture(buf.Bytes()) {
				c.setCloseReason(closeByClient)
				return
			}
		}
		if size := claimedFrameSize(buf.Bytes()); size > smallFrameBytes && room == 0 {
			if room = int64(size); c.server.frameMemory.Add(-room) < 0 {
				c.discardInput("no memory left for the frame")
				return
			}
		}
		waited, gone := c.awaitReadResumed(buf.Bytes())
		if gone {
			c.setCloseReason(closeByClient)
			return
		}
		if waited { // the router was the one who was waited for
			began, late = time.Now(), 0
		}
		idle, until := spoke && len(buf.Bytes()) == 0, time.Now().Add(limits.FrameReadTimeout(time.Since(began), late))
		if idle {
			until = time.Now().Add(idleTimeout)
		}
		c.raw.SetReadDeadline(until)
		n, err := buf.Fill(c.raw)
		if n == 0 && isTimeout(err) && c.unreadBytes() > 0 { // it came in time: the router was held up
			c.raw.SetReadDeadline(time.Now().Add(lateReadTimeout))
			n, err = buf.Fill(c.raw)
		}
		if idle && n > 0 {
			began = time.Now()
		} else if time.Since(began) > limits.FrameGrace {
			late += int64(n)
		}
		if err != nil {
			if isTimeout(err) {
				if c.hasOpenStreams() { // not before what is open is answered
					began, late = time.Now(), 0
					continue
				}
				if len(buf.Bytes()) > 0 {
					c.discardInput("the frame did not come whole in time")
				}
			}
			c.recordReadError(err)
			return
		}
	}
}

// awaitFlow waits while so much waits for the client that nothing is read from it. It tells whether it had to, and whether
// the client has gone meanwhile.
func (c *Conn) awaitReadResumed(pending []byte) (waited, gone bool) {
	for {
		c.mu.Lock()
		stalled := c.stalled && !c.ended && c.releasedAt.IsZero()
		c.mu.Unlock()
		if !stalled {
			return waited, false
		}
		if waited = true; c.peekForDeparture(pending) {
			return waited, true
		}
		select {
		case <-c.readResumed:
		case <-time.After(peekInterval):
		case <-c.shutdown:
			return waited, false
		}
	}
}

// lose says a last word on a connection of which nothing more can be read. What was taken on it before is still answered: what
// comes meanwhile is thrown away, since the kernel would throw away what waits for the client if the connection were
// closed with bytes unread.
func (c *Conn) discardInput(why string) {
	c.setCloseReason(closeFramingLost)
	c.sendConnError(why)
	c.framingLost.Store(true)
	waste, told, until := make([]byte, smallFrameBytes), false, time.Time{}
	for !told || time.Now().Before(until) {
		if !told && c.flushed() {
			told, until = true, time.Now().Add(discardLinger)
			if tcp, ok := c.raw.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
		}
		c.raw.SetReadDeadline(time.Now().Add(lateReadTimeout))
		n, err := c.raw.Read(waste)
		if err != nil && !isTimeout(err) {
			c.recordReadError(err)
			return
		}
		if n > 0 { // no faster than what cannot be used
			time.Sleep(maxInvalidFrameDelay)
		}
		if c.clientClosed() { // whatever is left to be read
			return
		}
	}
}

func isTimeout(err error) bool {
	timeout := (net.Error)(nil)
	return errors.As(err, &timeout) && timeout.Timeout()
}

// settled tells whether nothing is open and nothing waits to be written.
func (c *Conn) flushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.openStreams) == 0 && len(c.queue) == 0 && c.framesInWrite == 0
}

func (c *Conn) hasOpenStreams() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.openStreams) > 0
}

// countUnfit reads the count of frames that could not be used.
func (c *Conn) countUnfit(into *int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	*into = c.invalidFrames
	return *into
}

func (c *Conn) countInvalidFrame() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.invalidFrames++
}

func (c *Conn) handleFrame(f frame) {
	c.mu.Lock()
	c.hasSentFrame = true
	c.mu.Unlock()
	switch f.kind {
	case frameReadinessQuery:
		code := CodeRejected
		if c.server.handler.Ready() {
			code = CodeCompleted
		}
		c.enqueue(appendAnswer(nil, frameReadinessReply, f.stream, code, nil), 0)
	case frameCancel:
		c.cancelStream(f.stream)
	case frameStatement:
		full, err := c.openStream(f.stream) // why it is not taken in, if so
		if errors.Is(err, errConnEnded) {
			return
		}
		if err != nil {
			c.sendConnError(err.Error())
			return
		}
		fields, text, err := parseFields(f.payload)
		switch {
		case full != "":
			c.countInvalidFrame()
			c.enqueue(appendAnswer(nil, frameAnswer, f.stream, CodeRejected, []byte(full)), 0)
		case err != nil:
			c.countInvalidFrame()
			c.Answer(f.stream, CodeRejected, []byte(err.Error()))
		default:
			if !c.server.handler.HandleStatement(c, f.stream, fields, text) {
				c.countInvalidFrame()
			}
		}
	default:
		c.sendConnError(fmt.Sprintf("frame type %d is not for a router", f.kind))
	}
}

// leaves notes that nobody waits for a stream any more; a second time it has no effect.
func (c *Conn) cancelStream(stream uint32) {
	c.mu.Lock()
	gone, open := c.openStreams[stream]
	if open {
		c.openStreams[stream] = true
	}
	c.mu.Unlock()
	if open && !gone {
		c.server.handler.HandleCancel(c, []uint32{stream})
	}
}

var errConnEnded = errors.New("the connection has ended")

// begin opens a stream, which must be new; full: it is, but nothing more is taken in, and why.
func (c *Conn) openStream(stream uint32) (full string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return "", errConnEnded
	}
	if stream == 0 || stream <= c.usedUpTo || c.usedOutOfOrder[stream] {
		return "", fmt.Errorf("stream %d is not new", stream)
	}
	if c.usedOutOfOrder[stream] = true; len(c.usedOutOfOrder) > maxOutOfOrderStreams { // bounded: what is left out counts as used
		clear(c.usedOutOfOrder)
		c.usedUpTo = max(c.usedUpTo, stream)
	}
	for c.usedOutOfOrder[c.usedUpTo+1] {
		c.usedUpTo++
		delete(c.usedOutOfOrder, c.usedUpTo)
	}
	if !c.releasedAt.IsZero() { // it ends soon, but what came before that is owed an answer
		return tooSlowReason, nil
	}
	if len(c.openStreams)-c.answersQueued >= maxOpenStatements { // a client may know of an answer before its write returns here
		return "too many open statements", nil
	}
	c.openStreams[stream] = false
	return "", nil
}

// Answer sends the one answer of a stream, unless nobody waits for it. It does not block. It tells whether the client has
// stalled by it, which Stalled is then not called for.
func (c *Conn) Answer(stream uint32, code Code, body []byte) (stalled bool) {
	return c.enqueue(appendAnswer(make([]byte, 0, lengthBytes+minFrameLength+2+len(body)), frameAnswer, stream, code, body), stream)
}

// Release ends a stream for which no answer is owed.
func (c *Conn) CloseStream(stream uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.openStreams, stream)
	c.idleSince = time.Now()
}

// fault tells of an error that belongs to no statement.
func (c *Conn) sendConnError(text string) {
	c.countInvalidFrame()
	c.enqueue(appendAnswer(nil, frameAnswer, 0, CodeAborted, []byte(text)), 0)
}

// queue hands bytes to the writer. An answer for which there is no room, since the client does not take in what it has
// been given, becomes a short one; a client that reads nothing loses its connection before its queue grows.
func (c *Conn) enqueue(bytes []byte, stream uint32) (stalled bool) {
	second := false
	c.mu.Lock()
	gone, open := c.openStreams[stream]
	switch {
	case c.ended:
	case stream != 0 && !open:
		second = true
	case stream != 0 && gone:
		delete(c.openStreams, stream)
		c.idleSince = time.Now()
	case stream == 0 && len(c.queue) >= maxQueuedFrames:
		c.setCloseReason(closeQueueFull)
		c.raw.Close()
	default:
		o := queuedFrame{bytes, stream}
		kept := len(bytes) <= alwaysQueuedBytes
		c.withPeer(func(now time.Duration, a *flowcontrol.Peer) {
			if kept {
				a.ForceQueue(now, int64(len(bytes)))
			} else if c.releasedAt.IsZero() {
				kept = a.TryQueue(now, int64(len(bytes)))
			}
		})
		if !kept && c.releasedAt.IsZero() { // as last seen; it may have been taken in since
			c.updateUnsent()
			c.withPeer(func(now time.Duration, a *flowcontrol.Peer) { kept = a.TryQueue(now, int64(len(bytes))) })
		}
		if !kept {
			o.bytes = appendAnswer(nil, frameAnswer, stream, CodeAborted, []byte(tooSlowReason))
			c.withPeer(func(now time.Duration, a *flowcontrol.Peer) { a.ForceQueue(now, int64(len(o.bytes))) })
			defer c.server.updateSlowStats(func(s *SlowClientStats) { s.Shortened++ })
		}
		if c.queue = append(c.queue, o); stream != 0 {
			c.answersQueued++
		}
		if len(bytes) > alwaysQueuedBytes && !c.stalled { // also where this one could not be kept
			c.withPeer(func(_ time.Duration, a *flowcontrol.Peer) { c.stalled = a.Stalled() })
			stalled = c.stalled
		}
	}
	c.mu.Unlock()
	c.wakeWriter()
	if second {
		c.server.Violations.Record(&invariant.Violation{Rule: invariant.OneAnswer, Detail: fmt.Sprintf("stream %d of %s is not open", stream, c.raw.RemoteAddr())})
	}
	if stalled {
		c.server.updateSlowStats(func(s *SlowClientStats) { s.Stalled++ })
	}
	return stalled
}

func (c *Conn) wakeWriter() {
	select {
	case c.writeReady <- struct{}{}:
	default:
	}
}

// write writes what is queued until the connection has ended and nothing is left. It hands the kernel whole frames, and no
// more than the client's account allows: what the kernel holds cannot be taken back.
func (c *Conn) writeFrames() {
	var batch net.Buffers
	var out []queuedFrame
	for range c.writeReady {
		for pause := minFlushBackoff; ; {
			var full bool
			out, full = c.dequeueWritable(out[:0])
			if len(out) == 0 && full {
				if c.updateUnsent(); c.canWriteNext() {
					continue
				}
				if c.flushExpired() {
					return
				}
				time.Sleep(pause)
				pause = min(2*pause, maxFlushBackoff)
				continue
			}
			pause = minFlushBackoff
			if len(out) == 0 {
				break
			}
			batch = batch[:0]
			for _, o := range out {
				batch = append(batch, o.bytes)
			}
			c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err := batch.WriteTo(c.raw)
			if err != nil {
				c.setCloseReason(closeWriteFailed)
				c.raw.Close() // the reader ends, and with it the connection
			}
			stalled := c.recordWritten(out)
			if err != nil {
				break
			}
			if stalled { // it may have been held to be slow for what it takes in at once
				c.checkFlow()
			}
		}
		c.mu.Lock()
		ended := c.ended && len(c.queue) == 0
		c.mu.Unlock()
		if ended || c.flushExpired() {
			return
		}
	}
}

// next takes the frames that may be written now; full: there are some, but the kernel holds as much as it should.
func (c *Conn) dequeueWritable(out []queuedFrame) (_ []queuedFrame, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withPeer(func(_ time.Duration, a *flowcontrol.Peer) {
		for len(c.queue) > 0 && a.CanWrite(int64(len(c.queue[0].bytes))) {
			a.RecordWritten(int64(len(c.queue[0].bytes)))
			out, c.queue = append(out, c.queue[0]), c.queue[1:]
		}
	})
	if len(c.queue) == 0 {
		c.queue = nil
	}
	c.framesInWrite = len(out)
	return out, len(c.queue) > 0
}

// mayGoOn tells whether the next frame may be written by now.
func (c *Conn) canWriteNext() (may bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withPeer(func(_ time.Duration, a *flowcontrol.Peer) {
		may = len(c.queue) > 0 && a.CanWrite(int64(len(c.queue[0].bytes)))
	})
	return may
}

// written gives back the streams whose answers are with the kernel, and tells whether the client is stalled.
func (c *Conn) recordWritten(out []queuedFrame) (stalled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range out {
		if o.stream != 0 {
			c.answersQueued--
			delete(c.openStreams, o.stream)
		}
	}
	c.idleSince, c.framesInWrite = time.Now(), 0
	return c.stalled
}

// abandoned tells whether what is left need not be written: its client is gone, or was released, and had time for it.
func (c *Conn) flushExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended && time.Since(c.endedAt) > flushTimeout
}

// HoldText asks whether a statement's text may be held for this client; what may is to be given back by GiveText.
func (c *Conn) ReserveText(n int) (fits bool) {
	c.withPeer(func(_ time.Duration, a *flowcontrol.Peer) { fits = a.ReserveText(int64(n)) })
	return fits
}

// GiveText gives back the room of a text, also once the connection has ended.
func (c *Conn) ReleaseText(n int) {
	c.withPeer(func(_ time.Duration, a *flowcontrol.Peer) { a.ReleaseText(int64(n)) })
}
