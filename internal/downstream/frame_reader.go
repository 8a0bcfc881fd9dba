package downstream

import (
	"os"
	"time"

	"bankledge/internal/flowcontrol"
	"bankledge/internal/readbuffer"
)

const (
	// idleTimeout is the time without a frame after which a connection without open streams is closed.
	idleTimeout = 60 * time.Second
	// lateReadTimeout limits the read of bytes that arrived before a read deadline while the router process was not running.
	lateReadTimeout = 20 * time.Millisecond
	// peekInterval is how often a connection from which the server does not read is checked for cancel frames and for a close by its client.
	peekInterval = 50 * time.Millisecond
	// smallFrameBytes is the size of the largest frame that needs no reservation in Server.freeFrameMemory, which all connections share.
	smallFrameBytes = 4 << 10

	maxInvalidFrames     = 128                  // per connection; one more closes it
	invalidFrameDelay    = 2 * time.Millisecond // per invalid frame so far, before the next read
	maxInvalidFrameDelay = 50 * time.Millisecond
	discardLinger        = time.Second // how long input is still read and discarded after the last answer
)

// frameReader reads the frames of a connection.
type frameReader struct {
	conn           *Conn
	buffer         *readbuffer.Buffer
	limits         flowcontrol.Limits
	frameWaitStart time.Time // when the wait for the current frame began
	hasReadFrame   bool
	invalidFrames  int   // of the connection, as of the last frame handled
	lateBytes      int64 // of the current frame, received after limits.FrameGrace
	reservedMemory int64 // bytes of Server.freeFrameMemory reserved for the current frame
}

func newFrameReader(c *Conn) *frameReader {
	return &frameReader{
		conn:           c,
		buffer:         readbuffer.New(lengthBytes + maxFrameLength),
		limits:         c.server.flow.Limits(),
		frameWaitStart: c.acceptedAt,
	}
}

// run reads and handles frames until nothing more can be read or the connection is to be closed.
func (r *frameReader) run() {
	defer r.releaseMemory()
	for r.handleBuffered() && r.delayInvalid() && r.reserveMemory() && r.waitWhileStalled() && r.checkEviction() && r.fill() {
	}
}

// handleBuffered handles all complete frames in the buffer. Like the other steps that run calls, it returns whether to continue.
func (r *frameReader) handleBuffered() bool {
	for {
		f, size, err := parseFrame(r.buffer.Bytes())
		if err != nil {
			r.conn.discardInput(err)
			return false
		}
		if size == 0 {
			return true
		}
		r.conn.handleFrame(f)
		r.invalidFrames = r.conn.invalidFrameCount()
		if r.invalidFrames > maxInvalidFrames {
			r.conn.discardInput(errTooManyInvalid)
			return false
		}
		r.buffer.Discard(size)
		r.releaseMemory()
		r.hasReadFrame = true
		r.restartGrace()
	}
}

// restartGrace restarts the time limit of the current frame after a delay that does not count against the client.
func (r *frameReader) restartGrace() {
	r.frameWaitStart = time.Now()
	r.lateBytes = 0
}

// delayInvalid slows down a client that sends invalid frames by delaying the next read. The answers to them are already queued.
func (r *frameReader) delayInvalid() bool {
	if r.invalidFrames == 0 {
		return true
	}
	time.Sleep(min(maxInvalidFrameDelay, time.Duration(r.invalidFrames)*invalidFrameDelay))
	return r.continueUnlessClosed(r.conn.peekForCancelOrClose(r.buffer.Bytes()))
}

// continueUnlessClosed sets the close reason if the client has closed the connection, and returns whether to continue reading.
func (r *frameReader) continueUnlessClosed(closed bool) bool {
	if closed {
		r.conn.setCloseReason(closeByClient)
	}
	return !closed
}

// reserveMemory reserves memory for the current frame in Server.freeFrameMemory if the frame is larger than smallFrameBytes.
func (r *frameReader) reserveMemory() bool {
	size := declaredFrameSize(r.buffer.Bytes())
	if size <= smallFrameBytes || r.reservedMemory != 0 {
		return true
	}
	r.reservedMemory = int64(size)
	if r.conn.server.freeFrameMemory.Add(-r.reservedMemory) < 0 {
		r.conn.discardInput(errNoFrameMemory)
		return false
	}
	return true
}

func (r *frameReader) releaseMemory() {
	r.conn.server.freeFrameMemory.Add(r.reservedMemory)
	r.reservedMemory = 0
}

// waitWhileStalled waits while the client is stalled.
func (r *frameReader) waitWhileStalled() bool {
	waited, closed := r.conn.awaitReadResumed(r.buffer.Bytes())
	if !r.continueUnlessClosed(closed) {
		return false
	}
	if waited {
		r.restartGrace()
	}
	return true
}

// checkEviction closes the connection if its eviction was requested and no part of a frame was read. It returns whether to continue.
func (r *frameReader) checkEviction() bool {
	return !r.conn.evictIfRequested(len(r.buffer.Bytes()) > 0)
}

// fill reads once from the connection into the buffer and handles a read error.
func (r *frameReader) fill() bool {
	idle := r.hasReadFrame && len(r.buffer.Bytes()) == 0
	n, err := r.readBefore(r.deadline(idle))
	switch {
	case idle && n > 0:
		r.frameWaitStart = time.Now()
	case time.Since(r.frameWaitStart) > r.limits.FrameGrace:
		r.lateBytes += int64(n)
	}
	if err == nil {
		return true
	}
	if isTimeout(err) {
		if r.conn.evictionRequested.Load() { // requestEviction interrupted the read
			return true
		}
		if r.conn.hasOpenStreams() { // keep the connection open until they are answered
			r.restartGrace()
			return true
		}
		if len(r.buffer.Bytes()) > 0 {
			r.conn.discardInput(errFrameTooSlow)
		}
	}
	r.conn.recordReadError(err)
	return false
}

// deadline returns the time by which the next bytes must arrive. idle tells whether the connection is between two frames.
func (r *frameReader) deadline(idle bool) time.Time {
	if idle {
		return time.Now().Add(idleTimeout)
	}
	return time.Now().Add(r.limits.FrameReadTimeout(time.Since(r.frameWaitStart), r.lateBytes))
}

// readBefore reads once, until a deadline. If bytes are unread at the deadline, they arrived before it while the router process was not
// running, and readBefore still reads them.
func (r *frameReader) readBefore(deadline time.Time) (int, error) {
	raw := r.conn.raw
	raw.SetReadDeadline(deadline)
	if r.conn.evictionRequested.Load() { // the deadline set above may have replaced the one that requestEviction set
		return 0, os.ErrDeadlineExceeded
	}
	n, err := r.buffer.Fill(raw)
	if n == 0 && isTimeout(err) && r.conn.unreadBytes() > 0 {
		raw.SetReadDeadline(time.Now().Add(lateReadTimeout))
		n, err = r.buffer.Fill(raw)
	}
	return n, err
}

// awaitReadResumed waits while the client is stalled. It returns whether it had to wait, and whether the connection was closed
// meanwhile. pending is input that was read and not handled yet.
func (c *Conn) awaitReadResumed(pending []byte) (waited, closed bool) {
	for c.readingStopped() {
		waited = true
		if c.peekForCancelOrClose(pending) {
			return waited, true
		}
		select {
		case <-c.readResumed:
		case <-time.After(peekInterval):
		case <-c.shutdown:
			return waited, false
		}
	}
	return waited, false
}

// readingStopped returns whether the reader has to wait because the client is stalled.
func (c *Conn) readingStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalled && !c.ended && c.disconnectedAt.IsZero()
}

// discardInput sends a last error on a connection from which no further frame can be read. Statements that were received before are
// still answered. Input that arrives meanwhile is read and discarded, because the kernel drops unacknowledged answers when a
// connection with unread bytes is closed.
func (c *Conn) discardInput(reason error) {
	c.setCloseReason(closeFramingLost)
	c.sendConnError(reason)
	c.framingLost.Store(true)
	scratch := make([]byte, smallFrameBytes)
	var deadline time.Time // zero until all answers are written
	for deadline.IsZero() || time.Now().Before(deadline) {
		if deadline.IsZero() && c.flushed() {
			deadline = time.Now().Add(discardLinger)
			c.closeWrite()
		}
		c.raw.SetReadDeadline(time.Now().Add(lateReadTimeout))
		n, err := c.raw.Read(scratch)
		if err != nil && !isTimeout(err) {
			c.recordReadError(err)
			return
		}
		if n > 0 { // read no faster than invalid frames are
			time.Sleep(maxInvalidFrameDelay)
		}
		if c.clientClosed() { // also if input is still unread
			return
		}
		if c.evictIfRequested(false) { // no statement is lost, since all input read here is discarded
			return
		}
	}
}
