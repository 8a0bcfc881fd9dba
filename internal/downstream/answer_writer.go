package downstream

import (
	"fmt"
	"net"
	"time"

	"bankledge/internal/flowcontrol"
	"bankledge/internal/invariant"
)

const (
	maxQueuedFrames   = 256         // frames on stream 0 that a client has not read, before its connection is closed
	alwaysQueuedBytes = 256         // a frame up to this size is queued even if the queue is full
	writeTimeout      = time.Minute // for one write; the rate check disconnects a slow client long before
	flushTimeout      = time.Second // for the remaining writes after the connection has ended

	// The bounds of the backoff between checks of how much the client has acknowledged.
	minFlushBackoff = 2 * time.Millisecond
	maxFlushBackoff = 50 * time.Millisecond
)

// queuedFrame is a frame that waits to be written.
type queuedFrame struct {
	bytes  []byte
	stream uint32 // the stream that it answers, or 0
}

// Answer queues the one answer of a stream, unless its client has cancelled it. It does not block. It returns whether the client has
// stalled by it, in which case HandleBackpressure is not called.
func (c *Conn) Answer(stream uint32, code Code, body []byte) (stalled bool) {
	answer := make([]byte, 0, frameHeadBytes+answerHeadBytes+len(body))
	return c.enqueue(appendAnswer(answer, frameAnswer, stream, code, body), stream)
}

// sendConnError queues an error that belongs to no statement.
func (c *Conn) sendConnError(reason error) {
	c.countInvalidFrame()
	c.enqueue(appendAnswer(nil, frameAnswer, 0, CodeAborted, []byte(reason.Error())), 0)
}

// queueResult is what queueing a frame led to.
type queueResult struct {
	duplicate bool // the stream was answered before, so the frame was dropped
	shortened bool // the client's queue was full: the answer was replaced by a short abort
	stalled   bool // the client's queue is so long that nothing more is read from the client
}

// enqueue hands a frame to the writer. stream is the one that it answers, or 0. If the queue is full, since the client does not
// read its answers, a short abort replaces the answer. When maxQueuedFrames wait, an error of the connection ends it instead.
func (c *Conn) enqueue(bytes []byte, stream uint32) (stalled bool) {
	c.mu.Lock()
	result := c.addToQueue(bytes, stream)
	c.mu.Unlock()
	c.wakeWriter()
	if result.duplicate {
		c.server.Violations.Record(&invariant.Violation{
			Rule:   invariant.OneAnswer,
			Detail: fmt.Sprintf("stream %d of %s is not open", stream, c.raw.RemoteAddr()),
		})
	}
	if result.stalled {
		c.server.updateSlowStats(func(s *SlowClientStats) { s.Stalled++ })
	}
	if result.shortened {
		c.server.updateSlowStats(func(s *SlowClientStats) { s.Shortened++ })
	}
	return result.stalled
}

// addToQueue appends a frame to the queue if the client may have it. The caller holds mu.
func (c *Conn) addToQueue(bytes []byte, stream uint32) queueResult {
	state, open := c.openStreams[stream]
	switch {
	case c.ended:
		return queueResult{}
	case stream != 0 && !open:
		return queueResult{duplicate: true}
	case stream != 0 && state == streamCancelled:
		c.deleteStream(stream)
		return queueResult{}
	case stream == 0 && len(c.queue) >= maxQueuedFrames:
		c.closeBy(closeQueueFull)
		return queueResult{}
	}
	var result queueResult
	queued := queuedFrame{bytes: bytes, stream: stream}
	if !c.reserveQueueSpace(len(bytes)) {
		queued.bytes = tooSlowAbort(stream)
		c.forceQueue(len(queued.bytes))
		result.shortened = true
	}
	c.queue = append(c.queue, queued)
	if stream != 0 {
		c.answersQueued++
	}
	if len(bytes) > alwaysQueuedBytes && !c.stalled { // also if this frame was replaced by a short abort
		c.withPeer(func(_ time.Duration, peer *flowcontrol.Peer) { c.stalled = peer.Stalled() })
		result.stalled = c.stalled
	}
	return result
}

// reserveQueueSpace reserves memory for a frame in the client's queue, if the queue is not full. The caller holds mu.
func (c *Conn) reserveQueueSpace(bytes int) bool {
	if bytes <= alwaysQueuedBytes {
		c.forceQueue(bytes)
		return true
	}
	if !c.disconnectedAt.IsZero() {
		return false
	}
	if c.tryQueue(bytes) {
		return true
	}
	c.updateUnsent() // the client may have read since the last check
	return c.tryQueue(bytes)
}

func (c *Conn) wakeWriter() {
	select {
	case c.writeReady <- struct{}{}:
	default:
	}
}

// frameWriter writes a connection's queue. It hands the kernel complete frames, and no more than the client's flow control allows:
// what is in the kernel's send buffer cannot be replaced by an abort.
type frameWriter struct {
	conn   *Conn
	frames []queuedFrame // being written; reused to avoid an allocation for each write
	batch  net.Buffers   // the frames' bytes; reused likewise
}

// writeFrames writes queued frames until the connection has ended and the queue is empty, or nothing more can be written.
func (c *Conn) writeFrames() {
	writer := frameWriter{conn: c}
	for range c.writeReady {
		if !writer.flush() || c.drained() || c.flushExpired() {
			return
		}
	}
}

// flush writes until the queue is empty. It returns false if nothing more can be written: a write has failed, or the connection has ended
// and its client does not read.
func (w *frameWriter) flush() bool {
	backoff := minFlushBackoff
	for {
		blocked := w.dequeue()
		switch {
		case len(w.frames) > 0:
			backoff = minFlushBackoff
			if !w.write() {
				return false
			}
		case !blocked:
			return true
		default:
			w.conn.updateUnsent()
			if w.conn.canWriteNext() {
				continue
			}
			if w.conn.flushExpired() {
				return false
			}
			time.Sleep(backoff)
			backoff = min(2*backoff, maxFlushBackoff)
		}
	}
}

// dequeue takes the frames that may be written now. blocked reports whether others have to wait until the kernel's send buffer shrinks.
func (w *frameWriter) dequeue() (blocked bool) {
	c := w.conn
	w.frames = w.frames[:0]
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withPeer(func(_ time.Duration, peer *flowcontrol.Peer) {
		for len(c.queue) > 0 && peer.CanWrite(int64(len(c.queue[0].bytes))) {
			peer.RecordWritten(int64(len(c.queue[0].bytes)))
			w.frames = append(w.frames, c.queue[0])
			c.queue = c.queue[1:]
		}
	})
	if len(c.queue) == 0 {
		c.queue = nil
	}
	c.framesInWrite = len(w.frames)
	return len(c.queue) > 0
}

// write writes the frames that were dequeued, and returns whether that succeeded.
func (w *frameWriter) write() bool {
	c := w.conn
	w.batch = w.batch[:0]
	for _, queued := range w.frames {
		w.batch = append(w.batch, queued.bytes)
	}
	c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := w.batch.WriteTo(c.raw)
	if err != nil {
		c.closeBy(closeWriteFailed) // the reader ends, and with it the connection
	}
	stalled := c.recordWritten(w.frames)
	if err != nil {
		return false
	}
	if stalled { // this write may have ended the stall: do not wait for the periodic check
		c.checkFlow()
	}
	return true
}

// canWriteNext returns whether the next frame may be written by now.
func (c *Conn) canWriteNext() (can bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withPeer(func(_ time.Duration, peer *flowcontrol.Peer) {
		can = len(c.queue) > 0 && peer.CanWrite(int64(len(c.queue[0].bytes)))
	})
	return can
}

// recordWritten closes the streams whose answers are with the kernel, and returns whether the client is stalled.
func (c *Conn) recordWritten(frames []queuedFrame) (stalled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, written := range frames {
		if written.stream != 0 {
			c.answersQueued--
			delete(c.openStreams, written.stream)
		}
	}
	c.idleSince = time.Now()
	c.framesInWrite = 0
	return c.stalled
}

// drained returns whether the connection has ended and the queue is empty.
func (c *Conn) drained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended && len(c.queue) == 0
}

// flushed returns whether nothing is open and nothing waits to be written.
func (c *Conn) flushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.openStreams) == 0 && len(c.queue) == 0 && c.framesInWrite == 0
}
