package downstream

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"

	"bankledge/internal/tcpsocket"
)

// The kernel's states of a connection that the other side has closed.
const (
	tcpStateClose     = 7
	tcpStateCloseWait = 8
)

// AcceptPending returns whether a connection waits to be accepted. On a closed listener none does: the kernel has reset those that
// waited. Where the kernel does not report it, none is taken to wait.
func AcceptPending(listener net.Listener) (pending bool) {
	err := tcpsocket.Control(listener, func(fd int) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(polled, 0)
		pending = err == nil && n > 0 && polled[0].Revents&unix.POLLIN != 0
	})
	return err == nil && pending
}

// unsentBytes returns how many written bytes the client has not acknowledged; ok is false if the kernel does not report it. After a
// close by this side there are none to wait for: the kernel goes on sending what it has, also when the process has ended.
func (c *Conn) unsentBytes() (unsent int, ok bool) {
	unsent, err := tcpsocket.UnsentBytes(c.raw)
	if errors.Is(err, net.ErrClosed) {
		return 0, true
	}
	return unsent, err == nil && unsent >= 0
}

// unreadBytes returns how many received bytes were not read yet. After a close by this side there are none: nothing more is read.
func (c *Conn) unreadBytes() int {
	unread, err := tcpsocket.UnreadBytes(c.raw)
	if err != nil {
		return 0
	}
	return unread
}

// clientClosed returns whether the client has closed its connection, also if unread bytes precede the close, or this side has.
func (c *Conn) clientClosed() (closed bool) {
	err := tcpsocket.Control(c.raw, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			closed = info.State == tcpStateClose || info.State == tcpStateCloseWait
		}
	})
	return closed || errors.Is(err, net.ErrClosed)
}

// closeBy closes the connection for a reason. The reader is woken, which would not notice it while it waits for the client.
func (c *Conn) closeBy(reason closeReason) {
	c.setCloseReason(reason)
	c.raw.Close()
	c.resumeReading()
}

// closeWrite ends the router's direction of the connection.
func (c *Conn) closeWrite() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}
