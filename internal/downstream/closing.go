package downstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"go.uber.org/zap"

	"bankledge/internal/invariant"
)

// closeReason says why a client's connection ended. It is for logs.
type closeReason string

const (
	closedForRoom    closeReason = "closed to make room for another"
	closedByClient   closeReason = "the client closed it"
	closedIdle       closeReason = "idle for too long"
	closedBroken     closeReason = "it broke"
	closedUnfit      closeReason = "its framing is lost"
	closedNotWritten closeReason = "nothing could be written any more"
	closedNotRead    closeReason = "the client does not read its answers"
	closedReleased   closeReason = "released: the client takes its answers in too slowly"
	closedAtEnd      closeReason = "the router ends"
)

// because notes why the connection ends; the first reason counts.
func (c *Conn) because(why closeReason) { c.why.CompareAndSwap(nil, &why) }

// readEnded notes why nothing more is read.
func (c *Conn) readEnded(err error) {
	switch {
	case errors.Is(err, io.EOF):
		c.because(closedByClient)
	case isTimeout(err):
		c.because(closedIdle)
	case errors.Is(err, net.ErrClosed): // by this side: whoever did it has said why, but for the end of the program
		c.because(closedAtEnd)
	default:
		c.because(closedBroken)
	}
}

// logEnd says why the connection ended. left are the streams whose client was not answered.
func (c *Conn) logEnd(left []uint32) {
	why := closeReason("unknown")
	if noted := c.why.Load(); noted != nil {
		why = *noted
	}
	if len(left) > 0 && (why == closedForRoom || why == closedIdle) {
		c.front.Violations.Record(&invariant.Violation{Rule: invariant.NoLostRequest, Detail: fmt.Sprintf("%s with streams %v open: %s", c.raw.RemoteAddr(), left, why)})
	}
	c.front.log.Debug("client connection ended", zap.Stringer("client", c.raw.RemoteAddr()), zap.String("why", string(why)),
		zap.Uint32s("open", left), zap.Duration("after", time.Since(c.since)))
}
