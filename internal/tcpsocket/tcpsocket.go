// Package tcpsocket queries the kernel about a TCP connection without reading from it.
//
// A descriptor that this process has closed cannot be queried. All functions return net.ErrClosed for it, so that an unknown state is not
// mistaken for an empty queue.
package tcpsocket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrNoDescriptor is returned for a connection without a file descriptor, such as one from net.Pipe.
var ErrNoDescriptor = errors.New("connection has no file descriptor")

// Control calls f with the file descriptor of a connection or listener, which stays valid during the call. If Control cannot call f, it
// returns an error: net.ErrClosed if this process has closed the socket, ErrNoDescriptor if it has no descriptor.
func Control(socket any, f func(fd int)) error {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return ErrNoDescriptor
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// UnreadBytes returns the number of received bytes that were not read yet. The errors are those of Control and of ioctl(2).
func UnreadBytes(conn net.Conn) (int, error) { return queryInt(conn, unix.TIOCINQ) }

// UnsentBytes returns the number of written bytes that the peer has not acknowledged. The errors are those of Control and of ioctl(2).
func UnsentBytes(conn net.Conn) (int, error) { return queryInt(conn, unix.TIOCOUTQ) }

func queryInt(conn net.Conn, request uint) (value int, err error) {
	controlErr := Control(conn, func(fd int) { value, err = unix.IoctlGetInt(fd, request) })
	if controlErr != nil {
		return 0, controlErr
	}
	return value, err
}
