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
	mostOpen   = 32               // open statements of a connection
	mostQueued = 256              // frames that a client has not read yet
	mostApart  = 1024             // streams used out of their order, remembered of a connection
	mostUnfit  = 128              // frames that cannot be used, then the connection ends
	idleTime   = 60 * time.Second // a connection with nothing open and no frame so long is closed
	writeTime  = time.Minute      // for one write; who takes in too little is released long before
	lastWords  = time.Second      // for what is left to be written once the client is gone, or is released
	tendEvery  = 250 * time.Millisecond

	drainLook, drainLookMost = 2 * time.Millisecond, 50 * time.Millisecond // between looks at what the client has taken in
	acceptPause              = 20 * time.Millisecond
	lingerOfLost             = time.Second // a connection with its framing lost may stay so long once its last answer is written
	spillLook                = 20 * time.Millisecond
	freshTime                = 500 * time.Millisecond // a connection so new may have its first statement on its way
	restedTime               = time.Second            // and one that was idle for less its next
	gonePeek                 = 64 << 10               // bytes looked through for a word that nobody waits, of what is not read
	goneLook                 = 50 * time.Millisecond

	unfitPause     = 2 * time.Millisecond // before reading on, for each frame so far that could not be used
	unfitPauseMost = 50 * time.Millisecond
	freeFrame      = 4 << 10 // bytes of a frame that need no room from what all connections share
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

	taker Handler
	log   *zap.Logger
	slots chan struct{} // one for each connection that may be held
	room  atomic.Int64  // bytes left for large frames that have not come whole
	start time.Time     // of the accounts' clock
	peeks sync.Pool     // of buffers to look through what is not read

	seated atomic.Int64 // connections that were accepted and wait for a place

	booking sync.Mutex // guards the accounts; innermost
	book    *flowcontrol.Controller

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	stopping bool
	evicted  int64
	slow     SlowClientStats
	told     time.Time // when the last line about a released client was written
}

// Slow counts what slow clients led to.
type SlowClientStats struct{ Stalled, Released, Shortened int64 }

// New returns a front that holds at most so many connections, and so many bytes of large frames that have
// not come whole.
func New(taker Handler, most int, room int64, limits flowcontrol.Limits, log *zap.Logger) *Server {
	f := &Server{Violations: invariant.NewRecorder(log), taker: taker, log: log, start: time.Now(), book: flowcontrol.NewController(limits), slots: make(chan struct{}, most), conns: map[*Conn]struct{}{}}
	f.room.Store(room)
	f.peeks.New = func() any { return new([gonePeek]byte) }
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
	group.Go(func() error { defer cancel(); f.tend(ctx, serving); return nil })
	for {
		raw, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			f.log.Warn("a connection could not be accepted", zap.Error(err))
			select { // out of descriptors, say: not a reason to end
			case <-time.After(acceptPause):
			case <-ctx.Done():
				return nil
			}
			continue
		}
		f.seated.Add(1)
		if !f.place(ctx) {
			f.seated.Add(-1)
			raw.Close()
			return nil
		}
		now := time.Now()
		host, _, _ := net.SplitHostPort(raw.RemoteAddr().String())
		c := &Conn{front: f, raw: raw, wake: make(chan struct{}, 1), flow: make(chan struct{}, 1), open: map[uint32]bool{}, apart: map[uint32]bool{}, since: now, idle: now}
		f.booking.Lock()
		c.account = f.book.OpenPeer(host)
		f.booking.Unlock()
		if tcp, ok := raw.(*net.TCPConn); ok {
			tcp.SetWriteBuffer(int(f.book.Limits().SendBufferBytes))
		}
		f.enter(c)
		f.seated.Add(-1)
		group.Go(func() error {
			defer func() { <-f.slots }()
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
func (f *Server) place(ctx context.Context) bool {
	for {
		select {
		case f.slots <- struct{}{}:
			return true
		default:
		}
		f.evict()
		select {
		case f.slots <- struct{}{}:
			return true
		case <-time.After(acceptPause):
		case <-ctx.Done():
			return false
		}
	}
}

// evict closes the connection that is the least loss of those with nothing open: first what sent something
// unfit, then what never sent a frame, then what has been idle; among equals the one that has been so longest.
func (f *Server) evict() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var least *Conn
	var kind int
	for c := range f.conns {
		k := c.dispensable()
		if k > kind || k == kind && k > 0 && c.idle.Before(least.idle) {
			least, kind = c, k
		}
	}
	if least != nil && least.close() {
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
	f.stopping = true
	for c := range f.conns {
		c.queue(appendFrame(nil, typeNoMore, 0, 0), 0)
	}
}

// Queued is the number of frames that still wait to be written or are being written, and of connections whose client
// has not taken in yet what was.
func (f *Server) PendingWrites() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.mu.Lock()
		n += len(c.out) + c.writing + c.answered
		c.mu.Unlock()
		if left, ok := c.unsent(); ok && left > 0 { // an end now might have the kernel drop it
			n++
		}
	}
	return n
}

// Unheard is the number of connections that wait for a place, or on which something lies that was not read yet: it may be a
// statement whose last byte came in time.
func (f *Server) PendingReads() int {
	n := int(f.seated.Load())
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if !c.lost.Load() && c.unread() > 0 {
			n++
		}
	}
	return n
}

func (f *Server) enter(c *Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[c] = struct{}{}
	if f.stopping {
		c.queue(appendFrame(nil, typeNoMore, 0, 0), 0)
	}
}

func (f *Server) leave(c *Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

// tend looks after clients that take in too little, until the last connection has ended.
func (f *Server) tend(ctx context.Context, serving <-chan struct{}) {
	tick := time.NewTicker(tendEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		f.mu.Lock()
		conns := slices.Collect(maps.Keys(f.conns))
		f.mu.Unlock()
		select {
		case <-serving:
			if len(conns) == 0 {
				return
			}
		default:
		}
		for _, c := range conns {
			c.look()
		}
	}
}

// Slow tells what slow clients led to so far, and what waits for clients now.
func (f *Server) FlowControlStats() (s SlowClientStats, out, texts int64) {
	f.mu.Lock()
	s = f.slow
	f.mu.Unlock()
	f.booking.Lock()
	defer f.booking.Unlock()
	out, texts, _ = f.book.Usage()
	return s, out, texts
}

func (f *Server) count(n func(*SlowClientStats)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n(&f.slow)
}

// Conn is a client's connection: one goroutine reads, one writes.
type Conn struct {
	front   *Server
	raw     net.Conn
	account *flowcontrol.Peer
	wake    chan struct{} // something to write, or the end
	flow    chan struct{} // reading may go on
	done    <-chan struct{}

	since time.Time                   // it was accepted
	lost  atomic.Bool                 // nothing on it can be read any more
	why   atomic.Pointer[closeReason] // it ends; nil: it does not, as far as is known

	mu       sync.Mutex
	out      []outgoing
	ended    bool            // its end has begun: nothing more is taken in
	open     map[uint32]bool // streams whose answer is not written yet; true: nobody waits for it
	answered int             // of these, those whose answer is queued or being written
	writing  int             // frames that were taken from out and are not with the kernel yet
	below    uint32          // all streams up to this one are used
	apart    map[uint32]bool // and these above it
	spoke    bool            // a whole frame has come
	unfit    int             // frames that could not be used
	idle     time.Time       // since when nothing is open
	stalled  bool            // so much waits for the client that nothing is read from it
	released time.Time       // since when only short words are said to it; zero: it is not released
	over     time.Time       // since when its end has begun
}

// booked calls the account under its lock.
func (c *Conn) booked(do func(now time.Duration, a *flowcontrol.Peer)) {
	c.front.booking.Lock()
	defer c.front.booking.Unlock()
	do(time.Since(c.front.start), c.account)
}

// measure finds out what the kernel holds for the client, which is what the client has not taken in.
func (c *Conn) measure() {
	if left, ok := c.unsent(); ok {
		c.booked(func(now time.Duration, a *flowcontrol.Peer) { a.RecordUnsent(now, int64(left)) })
	}
}

// control calls do with the connection's descriptor, which stays good for the call.
func (c *Conn) control(do func(fd int)) {
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { do(int(fd)) })
	}
}

// unsent is how many bytes the kernel holds for the client.
func (c *Conn) unsent() (left int, ok bool) {
	c.control(func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		left, ok = n, err == nil && n >= 0
	})
	return left, ok
}

// unread is how many bytes the kernel holds that were not read yet.
func (c *Conn) unread() (n int) {
	c.control(func(fd int) {
		if held, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil {
			n = held
		}
	})
	return n
}

// glance looks, without taking anything, at what a client has sent that is not read from, or not as fast as it comes: whether its
// connection has ended, and which streams nobody waits for any more. Who sends and does not take in, or sends what cannot be used, may
// leave like anyone else.
func (c *Conn) glance(pending []byte) (ended bool) {
	scratch := c.front.peeks.Get().(*[gonePeek]byte)
	defer c.front.peeks.Put(scratch)
	n := 0
	c.control(func(fd int) {
		var err error
		n, _, err = unix.Recvfrom(fd, scratch[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if n = max(n, 0); err != nil {
			ended = !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
		} else if n == 0 {
			ended = true
		}
	})
	for _, stream := range leftIn(pending, scratch[:n]) {
		c.leaves(stream)
	}
	return ended || c.hungUp()
}

// hungUp tells whether the client has ended its connection, also where that lies behind bytes not read.
func (c *Conn) hungUp() (ended bool) {
	c.control(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ended = info.State == tcpClose || info.State == tcpCloseWait
		}
	})
	return ended
}

// The kernel's states of a connection whose other side has ended it.
const tcpClose, tcpCloseWait = 7, 8

// look judges how the client takes its answers in: whether reading from it stops or goes on, and whether it is released.
func (c *Conn) look() {
	var holds, stalled, slow bool
	c.booked(func(_ time.Duration, a *flowcontrol.Peer) { holds = a.SendBufferBytes() > 0 })
	if holds {
		c.measure()
	}
	c.booked(func(now time.Duration, a *flowcontrol.Peer) { stalled, slow = a.Stalled(), a.TooSlow(now) })
	c.mu.Lock()
	turned := c.stalled != stalled && !c.ended
	c.stalled = stalled
	release := slow && c.released.IsZero() && !c.ended
	if release {
		c.released = time.Now()
	}
	gone := !c.released.IsZero() && (len(c.open) == 0 && len(c.out) == 0 || time.Since(c.released) > lastWords)
	c.mu.Unlock()
	if turned {
		if stalled {
			c.front.count(func(s *SlowClientStats) { s.Stalled++ })
		}
		c.front.taker.HandleBackpressure(c, stalled)
	}
	if release {
		c.release()
	}
	if !stalled || release || gone { // one that is released has to see its connection end
		select {
		case c.flow <- struct{}{}:
		default:
		}
	}
	if gone { // what the kernel holds is still sent
		c.because(closedReleased)
		c.raw.Close()
	}
}

const tooSlow = "the client takes its answers in too slowly"

// release ends a connection whose client takes in less than the least rate. What is queued and not begun turns into short
// words; what is open is answered; then it closes.
func (c *Conn) release() {
	c.front.mu.Lock()
	c.front.slow.Released++
	released, tell := c.front.slow.Released, time.Since(c.front.told) > time.Second
	if tell {
		c.front.told = time.Now()
	}
	c.front.mu.Unlock()
	if tell { // a line a second: many may be released at once
		c.front.log.Warn("a client is released: it takes its answers in too slowly", zap.Stringer("client", c.raw.RemoteAddr()), zap.Int64("released", released))
	}
	c.mu.Lock()
	shortened := int64(0)
	for i, o := range c.out {
		if o.stream != 0 && len(o.bytes) > shortest {
			c.shorten(&c.out[i])
			shortened++
		}
	}
	c.mu.Unlock()
	c.front.count(func(s *SlowClientStats) { s.Shortened += shortened })
	c.front.taker.AbortOpenStatements(c, tooSlow)
	c.fault(tooSlow)
}

// shorten puts the short final answer in the place of one that cannot be kept.
func (c *Conn) shorten(o *outgoing) {
	before := len(o.bytes)
	o.bytes = appendAnswer(nil, typeAnswer, o.stream, CodeAborted, []byte(tooSlow))
	c.booked(func(now time.Duration, a *flowcontrol.Peer) { a.ForceQueue(now, int64(len(o.bytes)-before)) })
}

// shortest is the most that a frame may hold which is queued whatever waits.
const shortest = 256

// dispensable is 0 for a connection with something open, whose client has not taken in its last answer yet, or whose next statement may
// well be on its way: to close one that is new leaves a client without an answer. Else it is the higher, the smaller the loss.
func (c *Conn) dispensable() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended || len(c.open) > 0 || len(c.out) > 0 || c.writing > 0:
		return 0
	case c.unfit > 0:
		return 3
	case c.unread() > 0: // it came before, and the router was held up
		return 0
	case !c.spoke && time.Since(c.since) < freshTime:
		return 0
	case !c.spoke:
		return 2
	case time.Since(c.idle) < restedTime:
		return 0
	}
	if left, ok := c.unsent(); ok && left > 0 { // the kernel would drop it if something lies unread
		return 0
	}
	return 1
}

// close ends a connection with nothing open, and tells whether it did: what comes on it is not taken any more.
func (c *Conn) close() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || len(c.open) > 0 {
		return false
	}
	c.ended = true
	c.because(closedForRoom)
	c.raw.Close()
	return true
}

type outgoing struct {
	bytes  []byte
	stream uint32 // whose answer it is, else 0
}

func (c *Conn) serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { c.raw.Close() })
	defer stop()
	c.done = ctx.Done()
	var group errgroup.Group
	group.Go(func() error { c.write(); return nil })
	func() {
		defer func() { // a panic ends this connection alone
			if p := recover(); p != nil {
				c.front.log.Error("a connection broke down", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			}
		}()
		c.read()
	}()
	c.end()
	group.Wait()
	c.front.leave(c)
	c.raw.Close()
	c.booked(func(_ time.Duration, a *flowcontrol.Peer) { a.Close() })
}

// end gives back what the connection holds: its streams to the taker, its writer to the runtime.
func (c *Conn) end() {
	c.mu.Lock()
	left := make([]uint32, 0, len(c.open))
	for stream, gone := range c.open {
		if !gone {
			left = append(left, stream)
		}
	}
	clear(c.open)
	c.ended, c.over = true, time.Now()
	c.mu.Unlock()
	c.logEnd(left)
	if len(left) > 0 {
		c.front.taker.HandleCancel(c, left)
	}
	c.notify()
}

func (c *Conn) read() {
	buf := readbuffer.New(headBytes + mostLength)
	began, spoke, unfit := c.since, false, 0        // since when a frame is awaited; one has come; those that could not be used
	limits, late := c.front.book.Limits(), int64(0) // bytes of the frame that came after its grace
	room := int64(0)                                // taken of what large frames share
	defer func() { c.front.room.Add(room) }()
	for {
		for {
			f, size, err := parseFrame(buf.Bytes())
			if err != nil {
				c.lose(err.Error())
				return
			}
			if size == 0 {
				break
			}
			if c.take(f); c.countUnfit(&unfit) > mostUnfit {
				c.lose("too many frames that cannot be used")
				return
			}
			buf.Discard(size)
			c.front.room.Add(room)
			began, spoke, room, late = time.Now(), true, 0, 0
		}
		if unfit > 0 { // the answers are on their way; what cannot be used is read no faster than this
			time.Sleep(min(unfitPauseMost, time.Duration(unfit)*unfitPause))
			if c.glance(buf.Bytes()) {
				c.because(closedByClient)
				return
			}
		}
		if size := frameSize(buf.Bytes()); size > freeFrame && room == 0 {
			if room = int64(size); c.front.room.Add(-room) < 0 {
				c.lose("no memory left for the frame")
				return
			}
		}
		waited, gone := c.awaitFlow(buf.Bytes())
		if gone {
			c.because(closedByClient)
			return
		}
		if waited { // the router was the one who was waited for
			began, late = time.Now(), 0
		}
		idle, until := spoke && len(buf.Bytes()) == 0, time.Now().Add(limits.FrameReadTimeout(time.Since(began), late))
		if idle {
			until = time.Now().Add(idleTime)
		}
		c.raw.SetReadDeadline(until)
		n, err := buf.Fill(c.raw)
		if n == 0 && isTimeout(err) && c.unread() > 0 { // it came in time: the router was held up
			c.raw.SetReadDeadline(time.Now().Add(spillLook))
			n, err = buf.Fill(c.raw)
		}
		if idle && n > 0 {
			began = time.Now()
		} else if time.Since(began) > limits.FrameGrace {
			late += int64(n)
		}
		if err != nil {
			if isTimeout(err) {
				if c.busy() { // not before what is open is answered
					began, late = time.Now(), 0
					continue
				}
				if len(buf.Bytes()) > 0 {
					c.lose("the frame did not come whole in time")
				}
			}
			c.readEnded(err)
			return
		}
	}
}

// awaitFlow waits while so much waits for the client that nothing is read from it. It tells whether it had to, and whether
// the client has gone meanwhile.
func (c *Conn) awaitFlow(pending []byte) (waited, gone bool) {
	for {
		c.mu.Lock()
		stalled := c.stalled && !c.ended && c.released.IsZero()
		c.mu.Unlock()
		if !stalled {
			return waited, false
		}
		if waited = true; c.glance(pending) {
			return waited, true
		}
		select {
		case <-c.flow:
		case <-time.After(goneLook):
		case <-c.done:
			return waited, false
		}
	}
}

// lose says a last word on a connection of which nothing more can be read. What was taken on it before is still answered: what
// comes meanwhile is thrown away, since the kernel would throw away what waits for the client if the connection were
// closed with bytes unread.
func (c *Conn) lose(why string) {
	c.because(closedUnfit)
	c.fault(why)
	c.lost.Store(true)
	waste, told, until := make([]byte, freeFrame), false, time.Time{}
	for !told || time.Now().Before(until) {
		if !told && c.settled() {
			told, until = true, time.Now().Add(lingerOfLost)
			if tcp, ok := c.raw.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
		}
		c.raw.SetReadDeadline(time.Now().Add(spillLook))
		n, err := c.raw.Read(waste)
		if err != nil && !isTimeout(err) {
			c.readEnded(err)
			return
		}
		if n > 0 { // no faster than what cannot be used
			time.Sleep(unfitPauseMost)
		}
		if c.hungUp() { // whatever is left to be read
			return
		}
	}
}

func isTimeout(err error) bool {
	timeout := (net.Error)(nil)
	return errors.As(err, &timeout) && timeout.Timeout()
}

// settled tells whether nothing is open and nothing waits to be written.
func (c *Conn) settled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) == 0 && len(c.out) == 0 && c.writing == 0
}

func (c *Conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > 0
}

// countUnfit reads the count of frames that could not be used.
func (c *Conn) countUnfit(into *int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	*into = c.unfit
	return *into
}

func (c *Conn) isUnfit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unfit++
}

func (c *Conn) take(f frame) {
	c.mu.Lock()
	c.spoke = true
	c.mu.Unlock()
	switch f.kind {
	case typeReadyAsked:
		code := CodeRejected
		if c.front.taker.Ready() {
			code = CodeCompleted
		}
		c.queue(appendAnswer(nil, typeReadyTold, f.stream, code, nil), 0)
	case typeLeft:
		c.leaves(f.stream)
	case typeStatement:
		full, err := c.begin(f.stream) // why it is not taken in, if so
		if errors.Is(err, errEnded) {
			return
		}
		if err != nil {
			c.fault(err.Error())
			return
		}
		fields, text, err := parseFields(f.payload)
		switch {
		case full != "":
			c.isUnfit()
			c.queue(appendAnswer(nil, typeAnswer, f.stream, CodeRejected, []byte(full)), 0)
		case err != nil:
			c.isUnfit()
			c.Answer(f.stream, CodeRejected, []byte(err.Error()))
		default:
			if !c.front.taker.HandleStatement(c, f.stream, fields, text) {
				c.isUnfit()
			}
		}
	default:
		c.fault(fmt.Sprintf("frame type %d is not for a router", f.kind))
	}
}

// leaves notes that nobody waits for a stream any more; a second time it has no effect.
func (c *Conn) leaves(stream uint32) {
	c.mu.Lock()
	gone, open := c.open[stream]
	if open {
		c.open[stream] = true
	}
	c.mu.Unlock()
	if open && !gone {
		c.front.taker.HandleCancel(c, []uint32{stream})
	}
}

var errEnded = errors.New("the connection has ended")

// begin opens a stream, which must be new; full: it is, but nothing more is taken in, and why.
func (c *Conn) begin(stream uint32) (full string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return "", errEnded
	}
	if stream == 0 || stream <= c.below || c.apart[stream] {
		return "", fmt.Errorf("stream %d is not new", stream)
	}
	if c.apart[stream] = true; len(c.apart) > mostApart { // bounded: what is left out counts as used
		clear(c.apart)
		c.below = max(c.below, stream)
	}
	for c.apart[c.below+1] {
		c.below++
		delete(c.apart, c.below)
	}
	if !c.released.IsZero() { // it ends soon, but what came before that is owed an answer
		return tooSlow, nil
	}
	if len(c.open)-c.answered >= mostOpen { // a client may know of an answer before its write returns here
		return "too many open statements", nil
	}
	c.open[stream] = false
	return "", nil
}

// Answer sends the one answer of a stream, unless nobody waits for it. It does not block. It tells whether the client has
// stalled by it, which Stalled is then not called for.
func (c *Conn) Answer(stream uint32, code Code, body []byte) (stalled bool) {
	return c.queue(appendAnswer(make([]byte, 0, headBytes+leastLength+2+len(body)), typeAnswer, stream, code, body), stream)
}

// Release ends a stream for which no answer is owed.
func (c *Conn) CloseStream(stream uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, stream)
	c.idle = time.Now()
}

// fault tells of an error that belongs to no statement.
func (c *Conn) fault(text string) {
	c.isUnfit()
	c.queue(appendAnswer(nil, typeAnswer, 0, CodeAborted, []byte(text)), 0)
}

// queue hands bytes to the writer. An answer for which there is no room, since the client does not take in what it has
// been given, becomes a short one; a client that reads nothing loses its connection before its queue grows.
func (c *Conn) queue(bytes []byte, stream uint32) (stalled bool) {
	second := false
	c.mu.Lock()
	gone, open := c.open[stream]
	switch {
	case c.ended:
	case stream != 0 && !open:
		second = true
	case stream != 0 && gone:
		delete(c.open, stream)
		c.idle = time.Now()
	case stream == 0 && len(c.out) >= mostQueued:
		c.because(closedNotRead)
		c.raw.Close()
	default:
		o := outgoing{bytes, stream}
		kept := len(bytes) <= shortest
		c.booked(func(now time.Duration, a *flowcontrol.Peer) {
			if kept {
				a.ForceQueue(now, int64(len(bytes)))
			} else if c.released.IsZero() {
				kept = a.TryQueue(now, int64(len(bytes)))
			}
		})
		if !kept && c.released.IsZero() { // as last seen; it may have been taken in since
			c.measure()
			c.booked(func(now time.Duration, a *flowcontrol.Peer) { kept = a.TryQueue(now, int64(len(bytes))) })
		}
		if !kept {
			o.bytes = appendAnswer(nil, typeAnswer, stream, CodeAborted, []byte(tooSlow))
			c.booked(func(now time.Duration, a *flowcontrol.Peer) { a.ForceQueue(now, int64(len(o.bytes))) })
			defer c.front.count(func(s *SlowClientStats) { s.Shortened++ })
		}
		if c.out = append(c.out, o); stream != 0 {
			c.answered++
		}
		if len(bytes) > shortest && !c.stalled { // also where this one could not be kept
			c.booked(func(_ time.Duration, a *flowcontrol.Peer) { c.stalled = a.Stalled() })
			stalled = c.stalled
		}
	}
	c.mu.Unlock()
	c.notify()
	if second {
		c.front.Violations.Record(&invariant.Violation{Rule: invariant.OneAnswer, Detail: fmt.Sprintf("stream %d of %s is not open", stream, c.raw.RemoteAddr())})
	}
	if stalled {
		c.front.count(func(s *SlowClientStats) { s.Stalled++ })
	}
	return stalled
}

func (c *Conn) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// write writes what is queued until the connection has ended and nothing is left. It hands the kernel whole frames, and no
// more than the client's account allows: what the kernel holds cannot be taken back.
func (c *Conn) write() {
	var batch net.Buffers
	var out []outgoing
	for range c.wake {
		for pause := drainLook; ; {
			var full bool
			out, full = c.next(out[:0])
			if len(out) == 0 && full {
				if c.measure(); c.mayGoOn() {
					continue
				}
				if c.abandoned() {
					return
				}
				time.Sleep(pause)
				pause = min(2*pause, drainLookMost)
				continue
			}
			pause = drainLook
			if len(out) == 0 {
				break
			}
			batch = batch[:0]
			for _, o := range out {
				batch = append(batch, o.bytes)
			}
			c.raw.SetWriteDeadline(time.Now().Add(writeTime))
			_, err := batch.WriteTo(c.raw)
			if err != nil {
				c.because(closedNotWritten)
				c.raw.Close() // the reader ends, and with it the connection
			}
			stalled := c.written(out)
			if err != nil {
				break
			}
			if stalled { // it may have been held to be slow for what it takes in at once
				c.look()
			}
		}
		c.mu.Lock()
		ended := c.ended && len(c.out) == 0
		c.mu.Unlock()
		if ended || c.abandoned() {
			return
		}
	}
}

// next takes the frames that may be written now; full: there are some, but the kernel holds as much as it should.
func (c *Conn) next(out []outgoing) (_ []outgoing, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.booked(func(_ time.Duration, a *flowcontrol.Peer) {
		for len(c.out) > 0 && a.CanWrite(int64(len(c.out[0].bytes))) {
			a.RecordWritten(int64(len(c.out[0].bytes)))
			out, c.out = append(out, c.out[0]), c.out[1:]
		}
	})
	if len(c.out) == 0 {
		c.out = nil
	}
	c.writing = len(out)
	return out, len(c.out) > 0
}

// mayGoOn tells whether the next frame may be written by now.
func (c *Conn) mayGoOn() (may bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.booked(func(_ time.Duration, a *flowcontrol.Peer) {
		may = len(c.out) > 0 && a.CanWrite(int64(len(c.out[0].bytes)))
	})
	return may
}

// written gives back the streams whose answers are with the kernel, and tells whether the client is stalled.
func (c *Conn) written(out []outgoing) (stalled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range out {
		if o.stream != 0 {
			c.answered--
			delete(c.open, o.stream)
		}
	}
	c.idle, c.writing = time.Now(), 0
	return c.stalled
}

// abandoned tells whether what is left need not be written: its client is gone, or was released, and had time for it.
func (c *Conn) abandoned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended && time.Since(c.over) > lastWords
}

// HoldText asks whether a statement's text may be held for this client; what may is to be given back by GiveText.
func (c *Conn) ReserveText(n int) (fits bool) {
	c.booked(func(_ time.Duration, a *flowcontrol.Peer) { fits = a.ReserveText(int64(n)) })
	return fits
}

// GiveText gives back the room of a text, also once the connection has ended.
func (c *Conn) ReleaseText(n int) {
	c.booked(func(_ time.Duration, a *flowcontrol.Peer) { a.ReleaseText(int64(n)) })
}
