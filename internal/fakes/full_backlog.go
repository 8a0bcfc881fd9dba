package fakes

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// ListenWithFullBacklog returns a listener at which no connection comes up, since as many wait to be accepted as may, until accept lets
// them in: the kernel answers what has tried meanwhile at its next try, about a second after the first.
func ListenWithFullBacklog() (listener net.Listener, accept func(), err error) {
	listener, err = listenWithoutBacklog()
	if err != nil {
		return nil, nil, err
	}
	waiting, err := net.Dial("tcp", listener.Addr().String()) // the one that may wait
	if err != nil {
		return nil, nil, err
	}
	accept = func() {
		waiting.Close()
		if c, err := listener.Accept(); err == nil {
			c.Close()
		}
	}
	return listener, accept, nil
}

// listenWithoutBacklog returns a listener on loopback at which one connection may wait.
func listenWithoutBacklog() (net.Listener, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := unix.Listen(fd, 0); err != nil {
		return nil, err
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	if err := unix.Listen(fd, 0); err != nil { // a listener made of a file asks for more
		return nil, err
	}
	return listener, nil
}
