package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bankledge/internal/buffer"
)

const (
	mostOpen     = 32               // open statements of a connection
	mostQueued   = 256              // frames that a client has not read yet
	mostApart    = 1024             // streams used out of their order, remembered of a connection
	idleTime     = 60 * time.Second // a connection with nothing open and no frame so long is closed
	writeTime    = 5 * time.Second  // for a client to take in something
	acceptPause  = 20 * time.Millisecond
	lingerOfLost = time.Second // a connection with its framing lost may stay so long for its last word
)

// Taker takes in what clients send. No call may block on a socket; the slices are good for the call only.
type Taker interface {
	// TakeIn takes a statement, which is then owed one Answer on its stream, or none after Left.
	TakeIn(c *Conn, stream uint32, fields Fields, text []byte)
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

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	stopping bool
}

// New returns a front that holds at most so many connections.
func New(taker Taker, most int, log *zap.Logger) *Front {
	return &Front{taker: taker, log: log, slots: make(chan struct{}, most), conns: map[*Conn]struct{}{}}
}

// Serve accepts connections until the listener is closed, and waits until all have ended. When ctx ends,
// so do the connections. What cannot be held is not accepted.
func (f *Front) Serve(ctx context.Context, listener net.Listener) error {
	var group errgroup.Group
	defer group.Wait()
	for {
		select {
		case f.slots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		raw, err := listener.Accept()
		if err != nil {
			<-f.slots
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
		c := &Conn{front: f, raw: raw, wake: make(chan struct{}, 1), open: map[uint32]bool{}, apart: map[uint32]bool{}}
		group.Go(func() error {
			defer func() { <-f.slots }()
			c.serve(ctx)
			return nil
		})
	}
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

// Queued is the number of frames that still wait to be written.
func (f *Front) Queued() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.mu.Lock()
		n += len(c.out)
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

	mu    sync.Mutex
	out   []outgoing
	ended bool
	open  map[uint32]bool // streams whose answer is not written yet; true: nobody waits for it
	below uint32          // all streams up to this one are used
	apart map[uint32]bool // and these above it
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
	for {
		for {
			f, size, err := parseFrame(buf.Next())
			if err != nil {
				c.fault(err.Error())
				c.raw.SetDeadline(time.Now().Add(lingerOfLost))
				return
			}
			if size == 0 {
				break
			}
			c.take(f)
			buf.Take(size)
		}
		c.raw.SetReadDeadline(time.Now().Add(idleTime))
		if _, err := buf.Fill(c.raw); err != nil {
			if timeout := (net.Error)(nil); errors.As(err, &timeout) && timeout.Timeout() && c.busy() {
				continue
			}
			return
		}
	}
}

func (c *Conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > 0
}

func (c *Conn) take(f frame) {
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
		if err != nil {
			c.fault(err.Error())
			return
		}
		fields, text, err := parseFields(f.payload)
		switch {
		case full:
			c.queue(appendAnswer(nil, typeAnswer, f.stream, CodeRejected, []byte("too many open statements")), 0)
		case err != nil:
			c.Answer(f.stream, CodeRejected, []byte(err.Error()))
		default:
			c.front.taker.TakeIn(c, f.stream, fields, text)
		}
	default:
		c.fault(fmt.Sprintf("frame type %d is not for a router", f.kind))
	}
}

// begin opens a stream, which must be new; full: it is, but as many as may be are open.
func (c *Conn) begin(stream uint32) (full bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
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
	if len(c.open) >= mostOpen {
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
}

// fault tells of an error that belongs to no statement.
func (c *Conn) fault(text string) {
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
	case stream == 0 && len(c.out) >= mostQueued:
		c.raw.Close()
	default:
		c.out = append(c.out, outgoing{bytes, stream})
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
				delete(c.open, o.stream)
			}
		}
		c.mu.Unlock()
		if ended {
			return
		}
	}
}
