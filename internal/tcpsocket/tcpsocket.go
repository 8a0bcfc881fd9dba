// Package tcpsocket asks the kernel about a TCP connection without reading from it.
//
// A descriptor that this process has closed cannot be asked. Every function says so with net.ErrClosed: "nothing is known" must not be
// taken for "nothing has come".
package tcpsocket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrNoDescriptor is returned for a connection that has no descriptor, such as one of net.Pipe.
var ErrNoDescriptor = errors.New("the connection has no descriptor")

// Control calls do with the descriptor of a connection or listener, which stays valid for the call. Where it does not call do it returns
// an error: net.ErrClosed where this process has closed it, ErrNoDescriptor where there is none.
func Control(socket any, do func(fd int)) error {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return ErrNoDescriptor
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { do(int(fd)) })
}

// UnreadBytes returns how many received bytes were not read yet. The errors are those of Control and of ioctl(2).
func UnreadBytes(conn net.Conn) (int, error) { return queryInt(conn, unix.TIOCINQ) }

// UnsentBytes returns how many written bytes the peer has not acknowledged. The errors are those of Control and of ioctl(2).
func UnsentBytes(conn net.Conn) (int, error) { return queryInt(conn, unix.TIOCOUTQ) }

func queryInt(conn net.Conn, request uint) (value int, err error) {
	controlErr := Control(conn, func(fd int) { value, err = unix.IoctlGetInt(fd, request) })
	if controlErr != nil {
		return 0, controlErr
	}
	return value, err
}
