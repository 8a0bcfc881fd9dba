package downstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"go.uber.org/zap"

	"bankledge/internal/invariant"
	"bankledge/internal/logevent"
)

// closeReason is why a client's connection ended, as it is logged.
type closeReason string

const (
	closeUnknown     closeReason = "unknown"
	closeEvicted     closeReason = "evicted for another connection"
	closeByClient    closeReason = "closed by the client"
	closeIdle        closeReason = "idle timeout"
	closeReadFailed  closeReason = "read failed"
	closeFramingLost closeReason = "framing lost"
	closeWriteFailed closeReason = "write failed"
	closeQueueFull   closeReason = "write queue full"
	closeSlowClient  closeReason = "slow client"
	closeShutdown    closeReason = "shutdown"
)

// setCloseReason notes why the connection ends; the first reason counts.
func (c *Conn) setCloseReason(reason closeReason) { c.closeReason.CompareAndSwap(nil, &reason) }

// recordReadError notes why nothing more is read.
func (c *Conn) recordReadError(err error) {
	switch {
	case errors.Is(err, io.EOF):
		c.setCloseReason(closeByClient)
	case isTimeout(err):
		c.setCloseReason(closeIdle)
	case errors.Is(err, net.ErrClosed): // closed by this side, which has set its reason unless the program ends
		c.setCloseReason(closeShutdown)
	default:
		c.setCloseReason(closeReadFailed)
	}
}

// isTimeout returns whether a read ended at its deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// reportClose logs why the connection ended. unanswered are the streams whose client still waited for an answer; where the router
// closed the connection to save resources there may be none.
func (c *Conn) reportClose(unanswered []uint32) {
	reason := closeUnknown
	if set := c.closeReason.Load(); set != nil {
		reason = *set
	}
	if len(unanswered) > 0 && (reason == closeEvicted || reason == closeIdle) {
		c.server.Violations.Record(&invariant.Violation{
			Rule:   invariant.NoLostRequest,
			Detail: fmt.Sprintf("%s with streams %v open: %s", c.raw.RemoteAddr(), unanswered, reason),
		})
	}
	c.server.log.Debug(logevent.ClientConnectionClosed,
		logevent.Client(c.raw.RemoteAddr()),
		logevent.Reason(reason),
		zap.Uint32s("open_streams", unanswered),
		logevent.Duration(time.Since(c.acceptedAt)))
}
