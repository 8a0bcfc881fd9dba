package downstream

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"

	"bankledge/internal/tcpsocket"
)

// Linux TCP states of a connection that the peer has closed (TCP_CLOSE and TCP_CLOSE_WAIT).
const (
	tcpStateClose     = 7
	tcpStateCloseWait = 8
)

// AcceptPending returns whether a connection waits to be accepted. It returns false for a closed listener, whose waiting connections
// the kernel has reset, and if the kernel does not report the state.
func AcceptPending(listener net.Listener) (pending bool) {
	err := tcpsocket.Control(listener, func(fd int) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(polled, 0)
		pending = err == nil && n > 0 && polled[0].Revents&unix.POLLIN != 0
	})
	return err == nil && pending
}

// unsentBytes returns how many written bytes the client has not acknowledged. ok is false if the kernel does not report it. If the
// router has closed the connection, unsentBytes returns 0: the kernel continues to send what it has, also after the process has exited,
// so nothing needs to be waited for.
func (c *Conn) unsentBytes() (unsent int, ok bool) {
	unsent, err := tcpsocket.UnsentBytes(c.raw)
	if errors.Is(err, net.ErrClosed) {
		return 0, true
	}
	return unsent, err == nil && unsent >= 0
}

// unreadBytes returns how many received bytes have not been read yet. It returns 0 if the router has closed the connection, since
// nothing more is read from it, or if the kernel does not report it.
func (c *Conn) unreadBytes() int {
	unread, err := tcpsocket.UnreadBytes(c.raw)
	if err != nil {
		return 0
	}
	return unread
}

// clientClosed returns whether the client has closed the connection, even if unread bytes precede the close, or the router has.
func (c *Conn) clientClosed() (closed bool) {
	err := tcpsocket.Control(c.raw, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			closed = info.State == tcpStateClose || info.State == tcpStateCloseWait
		}
	})
	return closed || errors.Is(err, net.ErrClosed)
}

// closeBy closes the connection for the given reason. It wakes the reader, which would not notice the close while it waits for a
// stalled client.
func (c *Conn) closeBy(reason closeReason) {
	c.setCloseReason(reason)
	c.raw.Close()
	c.resumeReading()
}

// closeWrite closes the router's sending direction of the connection.
func (c *Conn) closeWrite() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}
