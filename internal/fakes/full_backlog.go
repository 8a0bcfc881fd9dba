package fakes

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// ListenWithFullBacklog returns a listener whose backlog is full, so that no further connection is established until accept is called. The
// kernel then accepts connections that were attempted in the meantime when they are retried, about a second after the first attempt.
func ListenWithFullBacklog() (listener net.Listener, accept func(), err error) {
	listener, err = listenWithoutBacklog()
	if err != nil {
		return nil, nil, err
	}
	waiting, err := net.Dial("tcp", listener.Addr().String()) // fills the backlog
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

// listenWithoutBacklog returns a listener on loopback whose backlog holds one connection.
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
	if err := unix.Listen(fd, 0); err != nil { // net.FileListener has set a larger backlog
		return nil, err
	}
	return listener, nil
}
