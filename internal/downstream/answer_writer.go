package downstream

import (
	"fmt"
	"net"
	"time"

	"bankledge/internal/flowcontrol"
	"bankledge/internal/invariant"
)

const (
	maxQueuedFrames   = 256         // if so many are queued, a further frame on stream 0 closes the connection
	alwaysQueuedBytes = 256         // frames up to this size are queued even if the queue is full
	writeTimeout      = time.Minute // for one write; a slow client is disconnected long before by the read rate check
	flushTimeout      = time.Second // for the remaining writes after the connection has ended

	// The delays between checks of how much the client has acknowledged double from the minimum to the maximum.
	minFlushBackoff = 2 * time.Millisecond
	maxFlushBackoff = 50 * time.Millisecond
)

// queuedFrame is a frame that waits to be written.
type queuedFrame struct {
	bytes  []byte
	stream uint32 // the stream that the frame answers, or 0
}

// Answer queues the only answer of a stream, or drops it if the client has cancelled the stream. It does not block. It returns whether
// this answer has made the client stall; HandleBackpressure is not called for that stall.
func (c *Conn) Answer(stream uint32, code Code, body []byte) (stalled bool) {
	answer := make([]byte, 0, frameHeadBytes+answerHeadBytes+len(body))
	return c.enqueue(appendAnswer(answer, frameAnswer, stream, code, body), stream)
}

// sendConnError queues an error of the connection, which belongs to no statement, and counts it as an invalid frame.
func (c *Conn) sendConnError(reason error) {
	c.countInvalidFrame()
	c.enqueue(appendAnswer(nil, frameAnswer, 0, CodeAborted, []byte(reason.Error())), 0)
}

// queueResult is the result of queueing a frame.
type queueResult struct {
	duplicate bool // the stream is not open, e.g. was answered before, so the frame was dropped
	shortened bool // the client's queue was full, so a short abort replaced the answer
	stalled   bool // the frame made the queue so long that the server stops reading from the client
}

// enqueue queues a frame for the writer. stream is the stream that the frame answers, or 0. If the queue is full because the client
// does not read its answers, a short abort replaces the answer. If maxQueuedFrames frames are queued, a frame on stream 0 closes the
// connection instead of being queued.
func (c *Conn) enqueue(bytes []byte, stream uint32) (stalled bool) {
	c.mu.Lock()
	result := c.addToQueue(bytes, stream)
	c.mu.Unlock()
	c.wakeWriter()
	if result.duplicate {
		c.server.Violations.Record(&invariant.Violation{
			Rule:   invariant.OneAnswer,
			Detail: fmt.Sprintf("answer to stream %d of %s, which is not open", stream, c.raw.RemoteAddr()),
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

// addToQueue appends a frame, or the short abort that replaces it, to the queue. The caller must hold mu.
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
	if len(bytes) > alwaysQueuedBytes && !c.stalled { // also if a short abort replaced this frame
		c.withPeer(func(_ time.Duration, peer *flowcontrol.Peer) { c.stalled = peer.Stalled() })
		result.stalled = c.stalled
	}
	return result
}

// reserveQueueSpace reserves memory for a frame in the client's queue, or returns false if the queue is full. The caller must hold mu.
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

// frameWriter writes the queued frames of a connection. It passes only complete frames to the kernel, and no more bytes than flow
// control allows, since an answer in the kernel's send buffer can no longer be replaced by an abort.
type frameWriter struct {
	conn   *Conn
	frames []queuedFrame // the frames being written; reused to avoid an allocation for each write
	batch  net.Buffers   // the bytes of frames; reused for the same reason
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

// flush writes until the queue is empty. It returns false if nothing more can be written, because a write has failed or because the
// connection has ended and its client does not read.
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

// dequeue moves the frames that may be written now from the queue to w.frames. blocked reports whether frames stay queued because the
// kernel's send buffer has to shrink first.
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

// write writes the dequeued frames and returns whether that succeeded.
func (w *frameWriter) write() bool {
	c := w.conn
	w.batch = w.batch[:0]
	for _, queued := range w.frames {
		w.batch = append(w.batch, queued.bytes)
	}
	c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := w.batch.WriteTo(c.raw)
	if err != nil {
		c.closeBy(closeWriteFailed) // ends the reader, which ends the connection
	}
	stalled := c.recordWritten(w.frames)
	if err != nil {
		return false
	}
	if stalled { // the write may have ended the stall, so do not wait for the periodic check
		c.checkFlow()
	}
	return true
}

// canWriteNext returns whether the next queued frame may be written now.
func (c *Conn) canWriteNext() (can bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withPeer(func(_ time.Duration, peer *flowcontrol.Peer) {
		can = len(c.queue) > 0 && peer.CanWrite(int64(len(c.queue[0].bytes)))
	})
	return can
}

// recordWritten closes the streams whose answers were passed to the kernel, and returns whether the client is stalled.
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

// flushed returns whether no stream is open and no frame is queued or being written.
func (c *Conn) flushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.openStreams) == 0 && len(c.queue) == 0 && c.framesInWrite == 0
}
