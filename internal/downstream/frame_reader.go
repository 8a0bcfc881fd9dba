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
	// smallFrameBytes is the size of the largest read buffer that needs no reservation in flowcontrol.Limits.FrameBytes.
	smallFrameBytes = 4 << 10

	maxInvalidFrames  = 128                  // per connection; one more closes it
	invalidFrameDelay = 2 * time.Millisecond // per invalid frame so far, before the next read
	maxReadDelay      = 50 * time.Millisecond
)

// frameReader reads the frames of a connection.
type frameReader struct {
	conn           *Conn
	buffer         *readbuffer.Buffer
	limits         flowcontrol.Limits
	frameWaitStart time.Time // when the wait for the current frame began
	hasReadFrame   bool
	invalidFrames  int // of the connection, as of the last frame handled
	controlFrames  int // frames that are not statements, handled since the last read
	controlRate    flowcontrol.FrameRate
	lateBytes      int64 // of the current frame, received after limits.FrameGrace
	reservedMemory int64 // bytes reserved for the current frame
	skipped        skippedFrame
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
	for r.handleBuffered() && r.delayReading() && r.waitWhileStalled() && r.checkEviction() && r.ensureMemory() && r.fill() {
	}
}

// handleBuffered handles all complete frames in the buffer. Like the other steps that run calls, it returns whether to continue.
func (r *frameReader) handleBuffered() bool {
	for {
		handled, err := r.handleNext()
		switch {
		case err != nil:
			r.conn.discardInput(err)
			return false
		case !handled:
			return true
		case !r.finishFrame():
			return false
		}
	}
}

// handleNext handles the frame at the start of the buffer, and returns whether it was complete.
func (r *frameReader) handleNext() (handled bool, err error) {
	if r.skipped.missing > 0 {
		return r.skipBuffered(), nil
	}
	f, size, err := parseFrame(r.buffer.Bytes())
	if err != nil || size == 0 {
		return false, err
	}
	if f.kind != frameStatement {
		r.controlFrames++
	}
	r.conn.handleFrame(f)
	r.buffer.Discard(size)
	return true, nil
}

// finishFrame prepares for the next frame after a complete one. It stops reading if the client has sent too many invalid frames.
func (r *frameReader) finishFrame() bool {
	r.releaseMemory()
	r.hasReadFrame = true
	r.restartGrace()
	r.invalidFrames = r.conn.invalidFrameCount()
	if r.invalidFrames > maxInvalidFrames {
		r.conn.discardInput(errTooManyInvalid)
		return false
	}
	return true
}

// atFrameStart returns whether no part of the next frame has been read.
func (r *frameReader) atFrameStart() bool {
	return len(r.buffer.Bytes()) == 0 && r.skipped.missing == 0
}

// restartGrace restarts the time limit of the current frame after a delay that does not count against the client.
func (r *frameReader) restartGrace() {
	r.frameWaitStart = time.Now()
	r.lateBytes = 0
}

// delayReading slows down a client that sends invalid frames, or others than statements at a high rate, by delaying the next read. The
// answers to them are already queued.
func (r *frameReader) delayReading() bool {
	delay := min(maxReadDelay, max(r.rateDelay(), time.Duration(r.invalidFrames)*invalidFrameDelay))
	if delay == 0 {
		return true
	}
	time.Sleep(delay)
	return r.peekForCancelOrClose()
}

// rateDelay returns the delay for the rate of frames that are not statements.
func (r *frameReader) rateDelay() time.Duration {
	if r.controlFrames == 0 {
		return 0
	}
	delay := r.controlRate.Record(time.Since(r.conn.server.clockStart), r.controlFrames)
	r.controlFrames = 0
	if delay > 0 {
		r.conn.server.updateSlowStats(func(s *SlowClientStats) { s.ReadDelays++ })
	}
	return delay
}

// peekForCancelOrClose handles cancel frames in unread input, and returns whether to continue reading.
func (r *frameReader) peekForCancelOrClose() bool {
	return r.continueUnlessClosed(r.conn.peekForCancelOrClose(r.buffer.Bytes(), r.skipped.missing))
}

// continueUnlessClosed sets the close reason if the client has closed the connection, and returns whether to continue reading.
func (r *frameReader) continueUnlessClosed(closed bool) bool {
	if closed {
		r.conn.setCloseReason(closeByClient)
	}
	return !closed
}

// waitWhileStalled waits while the client is stalled.
func (r *frameReader) waitWhileStalled() bool {
	for r.conn.readingStopped() {
		r.skipRevokedFrame()
		if !r.peekForCancelOrClose() {
			return false
		}
		select {
		case <-r.conn.readResumed:
		case <-time.After(peekInterval):
		case <-r.conn.shutdown:
			return true
		}
		r.restartGrace()
	}
	return true
}

// checkEviction closes the connection if its eviction was requested and no part of a frame was read. It returns whether to continue.
func (r *frameReader) checkEviction() bool {
	return !r.conn.evictIfRequested(!r.atFrameStart())
}

// fill reads once from the connection into the buffer and handles a read error.
func (r *frameReader) fill() bool {
	idle := r.hasReadFrame && r.atFrameStart()
	deadline := r.deadline(idle)
	n, err := r.readBefore(deadline)
	switch {
	case idle && n > 0:
		r.frameWaitStart = time.Now()
	case time.Since(r.frameWaitStart) > r.limits.FrameGrace:
		r.lateBytes += int64(n)
	}
	switch {
	case err == nil:
		return true
	case isTimeout(err) && time.Now().Before(deadline): // another goroutine interrupted the read
		return true
	case isTimeout(err) && r.conn.evictionRequested.Load():
		return true
	case isTimeout(err) && r.conn.hasOpenStreams(): // keep the connection open until they are answered
		r.restartGrace()
		return true
	case isTimeout(err) && !r.atFrameStart():
		r.conn.discardInput(errFrameTooSlow)
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
	if r.conn.evictionRequested.Load() || r.isFrameRevoked() { // the deadline set above may have replaced that of interruptRead
		return 0, os.ErrDeadlineExceeded
	}
	n, err := r.buffer.Fill(raw)
	if n == 0 && isTimeout(err) && r.conn.unreadBytes() > 0 {
		raw.SetReadDeadline(time.Now().Add(lateReadTimeout))
		n, err = r.buffer.Fill(raw)
	}
	return n, err
}

// readingStopped returns whether the reader has to wait because the client is stalled.
func (c *Conn) readingStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalled && !c.ended && c.disconnectedAt.IsZero()
}
