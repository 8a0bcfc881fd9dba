package downstream

import (
	"slices"
	"time"

	"bankledge/internal/flowcontrol"
)

const (
	// maxFrameMemoryWait is how long a reader waits for the memory of frames that were revoked for its own frame.
	maxFrameMemoryWait = 250 * time.Millisecond
	// frameMemoryRetryInterval is the interval at which it asks again.
	frameMemoryRetryInterval = 2 * time.Millisecond
)

// skippedFrame is a frame for which no memory is left. Its bytes are read and dropped, so that the frames after it can be handled and a
// statement gets its answer.
type skippedFrame struct {
	kind    frameType
	stream  uint32
	missing int // bytes not read yet; 0: no frame is being skipped
}

// ensureMemory enlarges the read buffer if it is full, within the memory for incomplete frames. If none is left, it skips the frame. Like
// the other steps that run calls, it returns whether to continue.
func (r *frameReader) ensureMemory() bool {
	if r.skipRevokedFrame() || !r.buffer.IsFull() {
		return true
	}
	size := r.buffer.GrownSize(r.conn.unreadBytes(), declaredFrameSize(r.buffer.Bytes()))
	if size > smallFrameBytes && !r.reserveMemory(int64(size)) {
		r.skipFrame()
		return true
	}
	replaced := r.reservedMemory - int64(size)
	r.buffer.Grow(size)
	if size > smallFrameBytes && replaced > 0 {
		r.conn.withPeer(func(_ time.Duration, peer *flowcontrol.Peer) { peer.ShrinkFrame(replaced) })
		r.reservedMemory = int64(size)
	}
	return true
}

// reserveMemory reserves additional bytes for the current frame, and returns whether it could. It may wait for frames that were revoked.
func (r *frameReader) reserveMemory(additional int64) bool {
	started := time.Now()
	for {
		grant := r.requestMemory(additional)
		switch {
		case grant == flowcontrol.FrameGranted:
			r.reservedMemory += additional
			return true
		case grant == flowcontrol.FrameRevoked || time.Since(started) > maxFrameMemoryWait:
			return false
		}
		select {
		case <-time.After(frameMemoryRetryInterval):
		case <-r.conn.shutdown:
			return false
		}
		r.restartGrace()
	}
}

// requestMemory requests additional bytes once, and interrupts the readers whose frames were revoked for it.
func (r *frameReader) requestMemory(additional int64) (grant flowcontrol.FrameGrant) {
	var revoked []*flowcontrol.Peer
	unread := r.conn.unreadBytes()
	r.conn.withPeer(func(now time.Duration, peer *flowcontrol.Peer) {
		grant, revoked = peer.ReserveFrame(now, additional, r.frameProgress(unread))
	})
	if len(revoked) > 0 {
		r.conn.server.interruptReaders(revoked)
	}
	return grant
}

// frameProgress returns how far the current frame has arrived, of which the kernel has unread bytes.
func (r *frameReader) frameProgress(unread int) flowcontrol.FrameProgress {
	buffered := r.buffer.Bytes()
	size := declaredFrameSize(buffered)
	return flowcontrol.FrameProgress{
		StartedAt:     r.frameWaitStart.Sub(r.conn.server.clockStart),
		SizeBytes:     int64(size),
		ReceivedBytes: int64(min(size, len(buffered)+unread)),
	}
}

// releaseMemory releases the memory of the current frame, which is complete or was dropped.
func (r *frameReader) releaseMemory() {
	if r.reservedMemory == 0 {
		return
	}
	r.buffer.Shrink(smallFrameBytes)
	r.conn.withPeer(func(_ time.Duration, peer *flowcontrol.Peer) { peer.ReleaseFrame() })
	r.reservedMemory = 0
}

// isFrameRevoked returns whether other readers need the memory of the current frame. It also records how far the frame has been read.
func (r *frameReader) isFrameRevoked() (revoked bool) {
	if r.reservedMemory == 0 {
		return false
	}
	unread := r.conn.unreadBytes()
	r.conn.withPeer(func(_ time.Duration, peer *flowcontrol.Peer) {
		revoked = peer.RecordFrameProgress(r.frameProgress(unread))
	})
	return revoked
}

// skipRevokedFrame skips the current frame if it was revoked, and returns whether it did.
func (r *frameReader) skipRevokedFrame() (skipped bool) {
	if !r.isFrameRevoked() {
		return false
	}
	r.skipFrame()
	return true
}

// skipFrame drops what was read of the current frame and releases its memory. The rest of the frame is dropped when it arrives.
func (r *frameReader) skipFrame() {
	head := r.buffer.Bytes()
	r.skipped = newSkippedFrame(head)
	r.buffer.Discard(len(head))
	r.releaseMemory()
}

// newSkippedFrame returns the frame that begins with head, which must hold the complete frame head.
func newSkippedFrame(head []byte) skippedFrame {
	return skippedFrame{
		kind:    frameType(head[lengthBytes]),
		stream:  frameStream(head),
		missing: declaredFrameSize(head) - len(head),
	}
}

// skipBuffered drops buffered bytes of a skipped frame, and answers the frame once it is complete. It returns whether it was.
func (r *frameReader) skipBuffered() (complete bool) {
	n := min(r.skipped.missing, len(r.buffer.Bytes()))
	r.buffer.Discard(n)
	r.skipped.missing -= n
	if r.skipped.missing > 0 {
		return false
	}
	r.conn.rejectSkipped(r.skipped)
	return true
}

// rejectSkipped answers a frame that has arrived completely and was not kept. A statement is rejected, as it never ran.
func (c *Conn) rejectSkipped(skipped skippedFrame) {
	c.markFrameReceived()
	c.server.updateSlowStats(func(s *SlowClientStats) { s.SkippedFrames++ })
	if skipped.kind != frameStatement {
		c.sendConnError(errNoFrameMemory)
		return
	}
	if err := c.openStream(skipped.stream); err != nil {
		c.refuseStatement(skipped.stream, err)
		return
	}
	c.Answer(skipped.stream, CodeRejected, []byte(errNoFrameMemory.Error()))
}

// interruptReaders wakes the readers of these peers, whose frames were revoked.
func (s *Server) interruptReaders(peers []*flowcontrol.Peer) {
	for _, c := range s.snapshot() {
		if slices.Contains(peers, c.peer) {
			c.interruptRead()
			c.resumeReading()
		}
	}
}

// interruptRead ends a blocked read of the reader with a timeout.
func (c *Conn) interruptRead() { c.raw.SetReadDeadline(time.Now()) }
