package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bankledge/internal/buffer"
)

const (
	mostOpen     = 32               // open statements of a connection
	mostQueued   = 256              // frames that a client has not read yet
	mostApart    = 1024             // streams used out of their order, remembered of a connection
	mostUnfit    = 128              // frames that cannot be used, then the connection ends
	idleTime     = 60 * time.Second // a connection with nothing open and no frame so long is closed
	frameTime    = 2 * time.Second  // for a frame to come whole, the first one from the connection's start
	writeTime    = 5 * time.Second  // for a client to take in something
	acceptPause  = 20 * time.Millisecond
	lingerOfLost = time.Second // a connection with its framing lost may stay so long for its last word

	unfitPause     = 2 * time.Millisecond // before reading on, for each frame so far that could not be used
	unfitPauseMost = 50 * time.Millisecond
	freeFrame      = 4 << 10 // bytes of a frame that need no room from what all connections share
)

// Taker takes in what clients send. No call may block on a socket; the slices are good for the call only.
type Taker interface {
	// TakeIn takes a statement, which is then owed one Answer on its stream, or none after Left. It tells
	// whether the statement was fit; one that was not is answered already.
	TakeIn(c *Conn, stream uint32, fields Fields, text []byte) (fit bool)
	// Left tells that nobody waits for these streams any more.
	Left(c *Conn, streams []uint32)
	// Ready tells whether the router may be sent statements.
	Ready() bool
}

// Front owns the clients' connections.
type Front struct {
	taker Taker
	log   *zap.Logger
	slots chan struct{} // one for each connection that may be held
	room  atomic.Int64  // bytes left for large frames that have not come whole

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	stopping bool
	evicted  int64
}

// New returns a front that holds at most so many connections, and so many bytes of large frames that have
// not come whole.
func New(taker Taker, most int, room int64, log *zap.Logger) *Front {
	f := &Front{taker: taker, log: log, slots: make(chan struct{}, most), conns: map[*Conn]struct{}{}}
	f.room.Store(room)
	return f
}

// Serve accepts connections until the listener is closed, and waits until all have ended. When ctx ends,
// so do the connections.
func (f *Front) Serve(ctx context.Context, listener net.Listener) error {
	var group errgroup.Group
	defer group.Wait()
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
		if !f.place(ctx) {
			raw.Close()
			return nil
		}
		now := time.Now()
		c := &Conn{front: f, raw: raw, wake: make(chan struct{}, 1), open: map[uint32]bool{}, apart: map[uint32]bool{}, since: now, idle: now}
		group.Go(func() error {
			defer func() { <-f.slots }()
			c.serve(ctx)
			return nil
		})
	}
}

// place takes a place for a connection. Where there is none, others make room; as long as all of them have
// statements open, the new one waits.
func (f *Front) place(ctx context.Context) bool {
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
func (f *Front) evict() {
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
func (f *Front) Evicted() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evicted
}

// Stop tells every client, now and later, to send no new statement on its connection.
func (f *Front) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = true
	for c := range f.conns {
		c.queue(appendFrame(nil, typeNoMore, 0, 0), 0)
	}
}

// Queued is the number of frames that still wait to be written, or are being written.
func (f *Front) Queued() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.mu.Lock()
		n += len(c.out) + c.answered
		c.mu.Unlock()
	}
	return n
}

func (f *Front) enter(c *Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[c] = struct{}{}
	if f.stopping {
		c.queue(appendFrame(nil, typeNoMore, 0, 0), 0)
	}
}

func (f *Front) leave(c *Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

// Conn is a client's connection: one goroutine reads, one writes.
type Conn struct {
	front *Front
	raw   net.Conn
	wake  chan struct{} // something to write, or the end

	since time.Time // it was accepted

	mu       sync.Mutex
	out      []outgoing
	ended    bool            // its end has begun: nothing more is taken in
	open     map[uint32]bool // streams whose answer is not written yet; true: nobody waits for it
	answered int             // of these, those whose answer is queued or being written
	below    uint32          // all streams up to this one are used
	apart    map[uint32]bool // and these above it
	spoke    bool            // a whole frame has come
	unfit    int             // frames that could not be used
	idle     time.Time       // since when nothing is open
}

// dispensable is 0 for a connection with something open; else the higher, the smaller the loss of it.
func (c *Conn) dispensable() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended || len(c.open) > 0 || len(c.out) > 0:
		return 0
	case c.unfit > 0:
		return 3
	case !c.spoke:
		return 2
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
	c.front.enter(c)
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
	c.front.leave(c)
	group.Wait()
	c.raw.Close()
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
	c.ended = true
	c.mu.Unlock()
	if len(left) > 0 {
		c.front.taker.Left(c, left)
	}
	c.notify()
}

func (c *Conn) read() {
	buf := buffer.New(headBytes + mostLength)
	began, spoke, unfit := c.since, false, 0 // since when a frame is awaited; one has come; those that could not be used
	room := int64(0)                         // taken of what large frames share
	defer func() { c.front.room.Add(room) }()
	for {
		for {
			f, size, err := parseFrame(buf.Next())
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
			buf.Take(size)
			c.front.room.Add(room)
			began, spoke, room = time.Now(), true, 0
		}
		if unfit > 0 { // the answers are on their way; what cannot be used is read no faster than this
			time.Sleep(min(unfitPauseMost, time.Duration(unfit)*unfitPause))
		}
		if size := frameSize(buf.Next()); size > freeFrame && room == 0 {
			if room = int64(size); c.front.room.Add(-room) < 0 {
				c.lose("no memory left for the frame")
				return
			}
		}
		idle, until := spoke && len(buf.Next()) == 0, began.Add(frameTime)
		if idle {
			until = time.Now().Add(idleTime)
		}
		c.raw.SetReadDeadline(until)
		n, err := buf.Fill(c.raw)
		if idle && n > 0 {
			began = time.Now()
		}
		if err != nil {
			if timeout := (net.Error)(nil); errors.As(err, &timeout) && timeout.Timeout() {
				if c.busy() { // not before what is open is answered
					began = time.Now()
					continue
				}
				if len(buf.Next()) > 0 {
					c.lose("the frame did not come whole in time")
				}
			}
			return
		}
	}
}

// lose says a last word on a connection of which nothing more can be read.
func (c *Conn) lose(why string) {
	c.fault(why)
	c.raw.SetDeadline(time.Now().Add(lingerOfLost))
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
		c.mu.Lock()
		gone, open := c.open[f.stream]
		if open {
			c.open[f.stream] = true
		}
		c.mu.Unlock()
		if open && !gone {
			c.front.taker.Left(c, []uint32{f.stream})
		}
	case typeStatement:
		full, err := c.begin(f.stream)
		if errors.Is(err, errEnded) {
			return
		}
		if err != nil {
			c.fault(err.Error())
			return
		}
		fields, text, err := parseFields(f.payload)
		switch {
		case full:
			c.isUnfit()
			c.queue(appendAnswer(nil, typeAnswer, f.stream, CodeRejected, []byte("too many open statements")), 0)
		case err != nil:
			c.isUnfit()
			c.Answer(f.stream, CodeRejected, []byte(err.Error()))
		default:
			if !c.front.taker.TakeIn(c, f.stream, fields, text) {
				c.isUnfit()
			}
		}
	default:
		c.fault(fmt.Sprintf("frame type %d is not for a router", f.kind))
	}
}

var errEnded = errors.New("the connection has ended")

// begin opens a stream, which must be new; full: it is, but as many as may be are open.
func (c *Conn) begin(stream uint32) (full bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false, errEnded
	}
	if stream == 0 || stream <= c.below || c.apart[stream] {
		return false, fmt.Errorf("stream %d is not new", stream)
	}
	if c.apart[stream] = true; len(c.apart) > mostApart { // bounded: what is left out counts as used
		clear(c.apart)
		c.below = max(c.below, stream)
	}
	for c.apart[c.below+1] {
		c.below++
		delete(c.apart, c.below)
	}
	if len(c.open)-c.answered >= mostOpen { // a client may know of an answer before its write returns here
		return true, nil
	}
	c.open[stream] = false
	return false, nil
}

// Answer sends the one answer of a stream, unless nobody waits for it. It does not block.
func (c *Conn) Answer(stream uint32, code Code, body []byte) {
	c.queue(appendAnswer(make([]byte, 0, headBytes+leastLength+2+len(body)), typeAnswer, stream, code, body), stream)
}

// Release ends a stream for which no answer is owed.
func (c *Conn) Release(stream uint32) {
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

// queue hands bytes to the writer; a client that reads nothing loses its connection before its queue grows.
func (c *Conn) queue(bytes []byte, stream uint32) {
	c.mu.Lock()
	gone, open := c.open[stream]
	switch {
	case c.ended || stream != 0 && !open:
	case stream != 0 && gone:
		delete(c.open, stream)
		c.idle = time.Now()
	case stream == 0 && len(c.out) >= mostQueued:
		c.raw.Close()
	default:
		if c.out = append(c.out, outgoing{bytes, stream}); stream != 0 {
			c.answered++
		}
	}
	c.mu.Unlock()
	c.notify()
}

func (c *Conn) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// write writes what is queued until the connection has ended and nothing is left.
func (c *Conn) write() {
	var batch net.Buffers
	for range c.wake {
		c.mu.Lock()
		out, ended := c.out, c.ended
		c.out = nil
		c.mu.Unlock()
		batch = batch[:0]
		for _, o := range out {
			batch = append(batch, o.bytes)
		}
		if len(batch) > 0 {
			c.raw.SetWriteDeadline(time.Now().Add(writeTime))
			if _, err := batch.WriteTo(c.raw); err != nil {
				c.raw.Close() // the reader ends, and with it the connection
			}
		}
		c.mu.Lock()
		for _, o := range out {
			if o.stream != 0 {
				c.answered--
				delete(c.open, o.stream)
			}
		}
		c.idle = time.Now()
		c.mu.Unlock()
		if ended {
			return
		}
	}
}
