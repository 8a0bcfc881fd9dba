package downstream

import (
	"errors"
	"time"
)

const (
	maxOpenStatements    = 32   // per connection
	maxOutOfOrderStreams = 1024 // per connection, in streamSet
)

// streamState tells whether the client still waits for the answer of an open stream.
type streamState int

const (
	streamAwaited streamState = iota
	streamCancelled
)

// handleFrame handles a complete frame.
func (c *Conn) handleFrame(f frame) {
	c.markFrameReceived()
	switch f.kind {
	case frameReadinessQuery:
		c.handleReadinessQuery(f.stream)
	case frameCancel:
		c.cancelStream(f.stream)
	case frameStatement:
		c.handleStatement(f)
	default:
		c.sendConnError(&frameTypeError{f.kind})
	}
}

// markFrameReceived records that the client has sent a complete frame.
func (c *Conn) markFrameReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasSentFrame = true
}

// handleReadinessQuery replies whether the router accepts statements.
func (c *Conn) handleReadinessQuery(stream uint32) {
	code := CodeRejected
	if c.server.handler.Ready() {
		code = CodeCompleted
	}
	c.enqueue(appendAnswer(nil, frameReadinessReply, stream, code, nil), 0)
}

// handleStatement opens the statement's stream and passes the statement to the handler.
func (c *Conn) handleStatement(f frame) {
	if err := c.openStream(f.stream); err != nil {
		c.refuseStatement(f.stream, err)
		return
	}
	fields, text, err := parseFields(f.payload)
	if err != nil {
		c.countInvalidFrame()
		c.Answer(f.stream, CodeRejected, []byte(err.Error()))
		return
	}
	if !c.server.handler.HandleStatement(c, f.stream, fields, text) {
		c.countInvalidFrame()
	}
}

// refuseStatement answers a statement whose stream could not be opened. An answer on a stream that is not new would not identify this
// statement, so the client gets a connection error in that case. Otherwise the statement is rejected.
func (c *Conn) refuseStatement(stream uint32, reason error) {
	var used *streamUsedError
	switch {
	case errors.Is(reason, errConnEnded):
	case errors.As(reason, &used):
		c.sendConnError(reason)
	default:
		c.countInvalidFrame()
		c.enqueue(appendAnswer(nil, frameAnswer, stream, CodeRejected, []byte(reason.Error())), 0)
	}
}

// openStream opens a stream. It returns errConnEnded, a streamUsedError, errClientTooSlow or errTooManyOpen. After the last two the
// stream counts as used.
func (c *Conn) openStream(stream uint32) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return errConnEnded
	}
	if !c.usedStreams.add(stream) {
		return &streamUsedError{stream}
	}
	if !c.disconnectedAt.IsZero() { // statements that arrive before the close still need an answer
		return errClientTooSlow
	}
	if len(c.openStreams)-c.answersQueued >= maxOpenStatements { // the client may have received an answer before the write of it returns here
		return errTooManyOpen
	}
	c.openStreams[stream] = streamAwaited
	return nil
}

// cancelStream handles a cancel frame for a stream. It has no effect if the stream is not open or was cancelled before.
func (c *Conn) cancelStream(stream uint32) {
	if c.markCancelled(stream) {
		c.server.handler.HandleCancel(c, []uint32{stream})
	}
}

// markCancelled marks an open stream as cancelled. It returns false if the stream is not open or was cancelled before.
func (c *Conn) markCancelled(stream uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, open := c.openStreams[stream]
	if !open || state == streamCancelled {
		return false
	}
	c.openStreams[stream] = streamCancelled
	return true
}

// CloseStream closes a stream without an answer.
func (c *Conn) CloseStream(stream uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deleteStream(stream)
}

// deleteStream removes an open stream. The caller must hold mu.
func (c *Conn) deleteStream(stream uint32) {
	delete(c.openStreams, stream)
	c.idleSince = time.Now()
}

func (c *Conn) hasOpenStreams() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.openStreams) > 0
}

func (c *Conn) countInvalidFrame() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.invalidFrames++
}

func (c *Conn) invalidFrameCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.invalidFrames
}

// streamSet records in bounded memory which streams were used. It relies on clients using streams in roughly ascending order.
type streamSet struct {
	upTo       uint32          // all streams up to and including this one count as used
	outOfOrder map[uint32]bool // used streams above upTo
}

// add marks a stream as used, and returns whether it was new. Stream 0 is never new.
func (s *streamSet) add(stream uint32) (isNew bool) {
	if stream <= s.upTo || s.outOfOrder[stream] {
		return false
	}
	s.outOfOrder[stream] = true
	if len(s.outOfOrder) > maxOutOfOrderStreams { // lower streams that were skipped count as used from now on
		clear(s.outOfOrder)
		s.upTo = max(s.upTo, stream)
	}
	for s.outOfOrder[s.upTo+1] {
		s.upTo++
		delete(s.outOfOrder, s.upTo)
	}
	return true
}
