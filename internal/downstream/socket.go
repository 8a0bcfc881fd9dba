package downstream

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// The kernel's states of a connection that the other side has closed.
const (
	tcpStateClose     = 7
	tcpStateCloseWait = 8
)

// AcceptPending returns whether a connection waits to be accepted. On a closed listener none does: the kernel has reset those that
// waited. Where the kernel does not report it, none is taken to wait.
func AcceptPending(listener net.Listener) (pending bool) {
	sys, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(polled, 0)
		pending = err == nil && n > 0 && polled[0].Revents&unix.POLLIN != 0
	})
	return err == nil && pending
}

// errNoDescriptor is returned for a connection that is not one of TCP.
var errNoDescriptor = errors.New("the connection has no descriptor")

// withDescriptor calls do with the connection's descriptor, which stays valid for the call. Where it does not call do it returns an
// error: net.ErrClosed where this side has closed the connection, errNoDescriptor where it is not one of TCP.
func (c *Conn) withDescriptor(do func(fd int)) error {
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		return errNoDescriptor
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { do(int(fd)) })
}

// unsentBytes returns how many written bytes the client has not acknowledged; ok is false if the kernel does not report it. After a
// close by this side there are none to wait for: the kernel goes on sending what it has, also when the process has ended.
func (c *Conn) unsentBytes() (unsent int, ok bool) {
	err := c.withDescriptor(func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		unsent = n
		ok = err == nil && n >= 0
	})
	if errors.Is(err, net.ErrClosed) {
		return 0, true
	}
	return unsent, ok
}

// unreadBytes returns how many received bytes were not read yet. After a close by this side there are none: nothing more is read.
func (c *Conn) unreadBytes() (unread int) {
	err := c.withDescriptor(func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		if err == nil {
			unread = n
		}
	})
	if err != nil {
		return 0
	}
	return unread
}

// clientClosed returns whether the client has closed its connection, also if unread bytes precede the close, or this side has.
func (c *Conn) clientClosed() (closed bool) {
	err := c.withDescriptor(func(fd int) {
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
