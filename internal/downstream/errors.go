package downstream

import (
	"errors"
	"fmt"
)

// Why a frame or statement is not handled. All texts but the first are sent to clients.
var (
	errConnEnded      = errors.New("the connection has ended")
	errTooManyOpen    = errors.New("too many open statements")
	errClientTooSlow  = errors.New(tooSlowReason)
	errFrameTooSlow   = errors.New("the frame did not come whole in time")
	errNoFrameMemory  = errors.New("no memory left for the frame")
	errTooManyInvalid = errors.New("too many frames that cannot be used")
)

// streamUsedError is a statement on a stream that is not new.
type streamUsedError struct{ stream uint32 }

func (e *streamUsedError) Error() string { return fmt.Sprintf("stream %d is not new", e.stream) }

// frameTypeError is a frame of a type that clients do not send.
type frameTypeError struct{ kind frameType }

func (e *frameTypeError) Error() string {
	return fmt.Sprintf("frame type %d is not for a router", e.kind)
}
