package downstream

import (
	"errors"
	"fmt"
)

// Errors for frames and statements that are not handled. All texts except that of errConnEnded are sent to clients.
var (
	errConnEnded      = errors.New("the connection has ended")
	errTooManyOpen    = errors.New("too many open statements")
	errClientTooSlow  = errors.New(tooSlowReason)
	errFrameTooSlow   = errors.New("the frame did not come whole in time")
	errNoFrameMemory  = errors.New("no memory left for the frame")
	errTooManyInvalid = errors.New("too many frames that cannot be used")
)

// streamUsedError is returned for a statement on a stream that was used before, or on stream 0. Its text is sent to clients.
type streamUsedError struct{ stream uint32 }

func (e *streamUsedError) Error() string { return fmt.Sprintf("stream %d is not new", e.stream) }

// frameTypeError is returned for a frame of a type that a client must not send. Its text is sent to clients.
type frameTypeError struct{ kind frameType }

func (e *frameTypeError) Error() string {
	return fmt.Sprintf("frame type %d is not for a router", e.kind)
}
