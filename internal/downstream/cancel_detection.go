package downstream

import (
	"encoding/binary"
	"errors"
	"net"
	"slices"

	"golang.org/x/sys/unix"

	"bankledge/internal/tcpsocket"
)

// peekBytes is the maximum number of unread bytes that are searched for cancel frames.
const peekBytes = 64 << 10

// Waits returns whether the client still waits for the answer of a stream. It does not if it has closed the connection, even if input
// before the close is unread.
func (c *Conn) Waits(stream uint32) bool {
	if !c.isAwaited(stream) {
		return false
	}
	var first [1]byte
	unread, ended := c.peek(first[:])
	if ended {
		return false
	}
	return unread == 0 || !c.clientClosed()
}

// isAwaited returns whether a stream is open and was not cancelled.
func (c *Conn) isAwaited(stream uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, open := c.openStreams[stream]
	return open && state == streamAwaited
}

// HasUnreadInput returns whether the client has sent input that was not read yet.
func (c *Conn) HasUnreadInput() bool { return c.unreadBytes() > 0 }

// newPeekBuffer allocates a buffer for peekForCancelOrClose.
func newPeekBuffer() any { return new([peekBytes]byte) }

// peekForCancelOrClose searches unread input for cancel frames without consuming it, and handles them. It is called while reading from
// the client is stopped or slowed down, since a client that does not read its answers or that sends invalid frames may still cancel
// statements or close the connection. pending is input that was read and not handled yet, skipped the number of unread bytes that belong
// to a skipped frame. It returns whether the connection has ended: the client or the router has closed it, or it has failed.
func (c *Conn) peekForCancelOrClose(pending []byte, skipped int) (ended bool) {
	scratch := c.server.peekBuffers.Get().(*[peekBytes]byte)
	defer c.server.peekBuffers.Put(scratch)
	n, ended := c.peek(scratch[:])
	for _, stream := range cancelledStreams(pending, scratch[min(n, skipped):n]) {
		c.cancelStream(stream)
	}
	return ended || c.clientClosed()
}

// peek copies unread input without consuming it. ended reports whether the client or the router has closed the connection, or it has
// failed.
func (c *Conn) peek(buf []byte) (n int, ended bool) {
	err := tcpsocket.Control(c.raw, func(fd int) {
		received, _, err := unix.Recvfrom(fd, buf, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		n = max(received, 0)
		switch {
		case err != nil:
			ended = !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
		case n == 0:
			ended = true
		}
	})
	return n, ended || errors.Is(err, net.ErrClosed)
}

// cancelledStreams returns the streams of the cancel frames in input that was read and in the unread input that follows it. A frame
// may begin in read and end in unread. An incomplete frame is ignored.
func cancelledStreams(read, unread []byte) (streams []uint32) {
	for {
		head := read
		if len(head) < frameHeadBytes {
			missing := frameHeadBytes - len(read)
			head = slices.Concat(read, unread[:min(len(unread), missing)])
		}
		if len(head) < frameHeadBytes {
			return streams
		}
		size := declaredFrameSize(head)
		if size < frameHeadBytes || size > lengthBytes+maxFrameLength || size > len(read)+len(unread) {
			return streams
		}
		if frameType(head[lengthBytes]) == frameCancel {
			streams = append(streams, binary.BigEndian.Uint32(head[lengthBytes+1:]))
		}
		if size < len(read) {
			read = read[size:]
			continue
		}
		read = unread[size-len(read):]
		unread = nil
	}
}
