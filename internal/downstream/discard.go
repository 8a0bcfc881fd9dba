package downstream

import "time"

// discardLinger is how long input is still read and discarded after the last answer.
const discardLinger = time.Second

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
			time.Sleep(maxReadDelay)
		}
		if c.clientClosed() { // also if input is still unread
			return
		}
		if c.evictIfRequested(false) { // no statement is lost, since all input read here is discarded
			return
		}
	}
}
