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

// closeReason is the logged reason why a client connection ended.
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

// setCloseReason sets the reason why the connection ends, unless one is set already.
func (c *Conn) setCloseReason(reason closeReason) { c.closeReason.CompareAndSwap(nil, &reason) }

// recordReadError sets the close reason that corresponds to a read error.
func (c *Conn) recordReadError(err error) {
	switch {
	case errors.Is(err, io.EOF):
		c.setCloseReason(closeByClient)
	case isTimeout(err):
		c.setCloseReason(closeIdle)
	case errors.Is(err, net.ErrClosed): // closed by the router, which has set a reason before unless it shuts down
		c.setCloseReason(closeShutdown)
	default:
		c.setCloseReason(closeReadFailed)
	}
}

// isTimeout returns whether an I/O operation failed because its deadline passed.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// reportClose logs why the connection ended. unanswered are the streams whose answer the client still waited for. If there are any
// after an eviction or an idle timeout, reportClose records a violation, since the router must not lose them to save resources.
func (c *Conn) reportClose(unanswered []uint32) {
	reason := closeUnknown
	if set := c.closeReason.Load(); set != nil {
		reason = *set
	}
	if len(unanswered) > 0 && (reason == closeEvicted || reason == closeIdle) {
		c.server.Violations.Record(&invariant.Violation{
			Rule:   invariant.NoLostRequest,
			Detail: fmt.Sprintf("connection %s closed with unanswered streams %v: %s", c.raw.RemoteAddr(), unanswered, reason),
		})
	}
	c.server.log.Debug(logevent.ClientConnectionClosed,
		logevent.Client(c.raw.RemoteAddr()),
		logevent.Reason(reason),
		zap.Uint32s("open_streams", unanswered),
		logevent.Duration(time.Since(c.acceptedAt)))
}
