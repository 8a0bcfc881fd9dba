package downstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// The kernel's states of a connection that the other side has closed.
const (
	tcpStateClose     = 7
	tcpStateCloseWait = 8
)

// AcceptPending returns whether a connection waits to be accepted.
func AcceptPending(listener net.Listener) (pending bool) {
	sys, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil { // closed
		return false
	}
	raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(polled, 0)
		pending = err == nil && n > 0 && polled[0].Revents&unix.POLLIN != 0
	})
	return pending
}

// withDescriptor calls do with the connection's descriptor, which stays valid for the call. It does nothing where the
// connection is closed or not one of TCP.
func (c *Conn) withDescriptor(do func(fd int)) {
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { do(int(fd)) })
}

// unsentBytes returns how many written bytes the client has not acknowledged; ok is false if the kernel does not report it.
func (c *Conn) unsentBytes() (unsent int, ok bool) {
	c.withDescriptor(func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		unsent = n
		ok = err == nil && n >= 0
	})
	return unsent, ok
}

// unreadBytes returns how many received bytes were not read yet.
func (c *Conn) unreadBytes() (unread int) {
	c.withDescriptor(func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		if err == nil {
			unread = n
		}
	})
	return unread
}

// clientClosed returns whether the client has closed its connection, also if unread bytes precede the close.
func (c *Conn) clientClosed() (closed bool) {
	c.withDescriptor(func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			closed = info.State == tcpStateClose || info.State == tcpStateCloseWait
		}
	})
	return closed
}

// closeWrite ends the router's direction of the connection.
func (c *Conn) closeWrite() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}
