package fakes

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// ListenWithFullBacklog returns a listener at which no connection comes up, since those that wait to be accepted are as many as may be, until
// accept lets them in: the kernel answers what has tried meanwhile at its next try, about a second after the first.
func ListenWithFullBacklog() (listener net.Listener, accept func(), err error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, nil, err
	}
	if err := unix.Listen(fd, 0); err != nil { // one may wait
		return nil, nil, err
	}
	if listener, err = net.FileListener(file); err != nil {
		return nil, nil, err
	}
	if err := unix.Listen(fd, 0); err != nil { // a listener made of a file asks for more
		return nil, nil, err
	}
	first, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	return listener, func() {
		first.Close()
		if c, err := listener.Accept(); err == nil {
			c.Close()
		}
	}, nil
}
