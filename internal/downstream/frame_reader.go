package downstream

import (
	"os"
	"time"

	"bankledge/internal/flowcontrol"
	"bankledge/internal/readbuffer"
)

const (
	// idleTimeout is after how long without a frame a connection with nothing open is closed.
	idleTimeout = 60 * time.Second
	// lateReadTimeout bounds a read, after its deadline, of bytes that arrived in time while the router did not run.
	lateReadTimeout = 20 * time.Millisecond
	// peekInterval is how often an unread connection is checked for cancel frames and a close by its client.
	peekInterval = 50 * time.Millisecond
	// smallFrameBytes is the largest frame that needs no reservation in the frame memory that all connections share.
	smallFrameBytes = 4 << 10

	maxInvalidFrames     = 128                  // of a connection, which then ends
	invalidFrameDelay    = 2 * time.Millisecond // before the next read, for each invalid frame so far
	maxInvalidFrameDelay = 50 * time.Millisecond
	discardLinger        = time.Second // how long input is still discarded after the last answer
)

// frameReader reads the frames of a connection.
type frameReader struct {
	conn           *Conn
	buffer         *readbuffer.Buffer
	limits         flowcontrol.Limits
	awaitedSince   time.Time // since when the present frame is awaited
	hasReadFrame   bool
	invalidFrames  int   // of the connection, as last seen
	lateBytes      int64 // of the present frame, those that arrived after its grace
	reservedMemory int64 // bytes taken of Server.frameMemory
}

func newFrameReader(c *Conn) *frameReader {
	return &frameReader{
		conn:         c,
		buffer:       readbuffer.New(lengthBytes + maxFrameLength),
		limits:       c.server.flow.Limits(),
		awaitedSince: c.acceptedAt,
	}
}

// run handles frames until nothing more can be read, or nothing more is to be.
func (r *frameReader) run() {
	defer r.releaseMemory()
	for r.handleBuffered() && r.delayInvalid() && r.reserveMemory() && r.awaitClient() && r.checkEviction() && r.fill() {
	}
}

// handleBuffered handles all complete frames that were read. Like the steps behind it, it returns whether to go on.
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

// restartGrace restarts the present frame's time limit after a delay that does not count against the client.
func (r *frameReader) restartGrace() {
	r.awaitedSince = time.Now()
	r.lateBytes = 0
}

// delayInvalid slows down a client that sends invalid frames. Their answers were queued before.
func (r *frameReader) delayInvalid() bool {
	if r.invalidFrames == 0 {
		return true
	}
	time.Sleep(min(maxInvalidFrameDelay, time.Duration(r.invalidFrames)*invalidFrameDelay))
	return r.checkDeparture(r.conn.peekForDeparture(r.buffer.Bytes()))
}

// checkDeparture ends the reading of a connection that the client has closed.
func (r *frameReader) checkDeparture(closed bool) bool {
	if closed {
		r.conn.setCloseReason(closeByClient)
	}
	return !closed
}

// reserveMemory reserves memory for the present frame, if it is a large one, in the frame memory that all connections share.
func (r *frameReader) reserveMemory() bool {
	size := claimedFrameSize(r.buffer.Bytes())
	if size <= smallFrameBytes || r.reservedMemory != 0 {
		return true
	}
	r.reservedMemory = int64(size)
	if r.conn.server.frameMemory.Add(-r.reservedMemory) < 0 {
		r.conn.discardInput(errNoFrameMemory)
		return false
	}
	return true
}

func (r *frameReader) releaseMemory() {
	r.conn.server.frameMemory.Add(r.reservedMemory)
	r.reservedMemory = 0
}

// awaitClient waits while the client is stalled.
func (r *frameReader) awaitClient() bool {
	waited, closed := r.conn.awaitReadResumed(r.buffer.Bytes())
	if !r.checkDeparture(closed) {
		return false
	}
	if waited {
		r.restartGrace()
	}
	return true
}

// checkEviction ends the reading of a connection that is to be closed for another one, unless a part of a frame was read.
func (r *frameReader) checkEviction() bool {
	return !r.conn.evictIfRequested(len(r.buffer.Bytes()) > 0)
}

// fill reads once.
func (r *frameReader) fill() bool {
	idle := r.hasReadFrame && len(r.buffer.Bytes()) == 0
	n, err := r.readBefore(r.deadline(idle))
	switch {
	case idle && n > 0:
		r.awaitedSince = time.Now()
	case time.Since(r.awaitedSince) > r.limits.FrameGrace:
		r.lateBytes += int64(n)
	}
	if err == nil {
		return true
	}
	if isTimeout(err) {
		if r.conn.evictionRequested.Load() { // it ended the read
			return true
		}
		if r.conn.hasOpenStreams() { // the connection stays open until they are answered
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

// deadline returns until when the next bytes are awaited.
func (r *frameReader) deadline(idle bool) time.Time {
	if idle {
		return time.Now().Add(idleTimeout)
	}
	return time.Now().Add(r.limits.FrameReadTimeout(time.Since(r.awaitedSince), r.lateBytes))
}

// readBefore reads once, before a deadline. Bytes that arrived in time while the router did not run are read after it.
func (r *frameReader) readBefore(deadline time.Time) (int, error) {
	raw := r.conn.raw
	raw.SetReadDeadline(deadline)
	if r.conn.evictionRequested.Load() { // its deadline may have been replaced by this one
		return 0, os.ErrDeadlineExceeded
	}
	n, err := r.buffer.Fill(raw)
	if n == 0 && isTimeout(err) && r.conn.unreadBytes() > 0 {
		raw.SetReadDeadline(time.Now().Add(lateReadTimeout))
		n, err = r.buffer.Fill(raw)
	}
	return n, err
}

// awaitReadResumed waits while the client is stalled. It returns whether it had to wait, and whether the client has closed the
// connection meanwhile. pending is input that was read and not handled yet.
func (c *Conn) awaitReadResumed(pending []byte) (waited, closed bool) {
	for c.readingStopped() {
		waited = true
		if c.peekForDeparture(pending) {
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

func (c *Conn) readingStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalled && !c.ended && c.disconnectedAt.IsZero()
}

// discardInput sends a last error on a connection of which nothing more can be read. Statements that were taken before are still
// answered; what arrives meanwhile is discarded, since the kernel would drop unacknowledged answers if the connection were
// closed with bytes unread.
func (c *Conn) discardInput(reason error) {
	c.setCloseReason(closeFramingLost)
	c.sendConnError(reason)
	c.framingLost.Store(true)
	scratch := make([]byte, smallFrameBytes)
	var deadline time.Time // zero until all is answered
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
		if n > 0 { // no faster than invalid frames
			time.Sleep(maxInvalidFrameDelay)
		}
		if c.clientClosed() { // even if input is still unread
			return
		}
		if c.evictIfRequested(false) { // what is read here is discarded
			return
		}
	}
}
