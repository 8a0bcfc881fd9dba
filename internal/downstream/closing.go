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
	closeEvicted     closeReason = "closed to make room for another"
	closeByClient    closeReason = "the client closed it"
	closeIdle        closeReason = "idle for too long"
	closeReadFailed  closeReason = "it broke"
	closeFramingLost closeReason = "its framing is lost"
	closeWriteFailed closeReason = "nothing could be written any more"
	closeQueueFull   closeReason = "the client does not read its answers"
	closeSlowClient  closeReason = "released: the client takes its answers in too slowly"
	closeShutdown    closeReason = "the router ends"
)

// because notes why the connection ends; the first reason counts.
func (c *Conn) setCloseReason(why closeReason) { c.closeReason.CompareAndSwap(nil, &why) }

// readEnded notes why nothing more is read.
func (c *Conn) recordReadError(err error) {
	switch {
	case errors.Is(err, io.EOF):
		c.setCloseReason(closeByClient)
	case isTimeout(err):
		c.setCloseReason(closeIdle)
	case errors.Is(err, net.ErrClosed): // by this side: whoever did it has said why, but for the end of the program
		c.setCloseReason(closeShutdown)
	default:
		c.setCloseReason(closeReadFailed)
	}
}

// logEnd says why the connection ended. left are the streams whose client was not answered.
func (c *Conn) reportClose(left []uint32) {
	why := closeReason("unknown")
	if noted := c.closeReason.Load(); noted != nil {
		why = *noted
	}
	if len(left) > 0 && (why == closeEvicted || why == closeIdle) {
		c.server.Violations.Record(&invariant.Violation{Rule: invariant.NoLostRequest, Detail: fmt.Sprintf("%s with streams %v open: %s", c.raw.RemoteAddr(), left, why)})
	}
	c.server.log.Debug("client connection ended", zap.Stringer("client", c.raw.RemoteAddr()), zap.String("why", string(why)),
		zap.Uint32s("open", left), zap.Duration("after", time.Since(c.acceptedAt)))
}
