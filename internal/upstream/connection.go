package upstream

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"bankledge/decision"
	"bankledge/internal/http1"
)

// maxPageBytes is the largest body of a response: the protocol's limit of a result page.
const maxPageBytes = 6_000

// requestHeaderBytes is the buffer space reserved for a request's start line and headers.
const requestHeaderBytes = 256

// connection is one connection to an engine, used by one request at a time.
type connection struct {
	socket    net.Conn
	reader    *http1.Reader
	engine    decision.EngineID
	address   string
	idleSince time.Time // set when it is put into the pool

	startUnanswered atomic.Bool // the start of an attempt was written, or is about to be, and has no response
}

// response is an engine's response to one request.
type response struct {
	http1.Header
	body           []byte
	requestWritten bool // the complete request may have reached the engine; known also when there is an error
	extraBytes     bool // more was received than belongs to the response
}

// roundTrip writes one request and reads the response to it.
func (c *connection) roundTrip(deadline time.Time, request []byte) (response, error) {
	c.socket.SetDeadline(deadline)
	written, err := c.socket.Write(request)
	if err != nil {
		return response{requestWritten: written == len(request)}, err
	}
	received := response{requestWritten: true}
	received.Header, received.body, err = c.reader.ReadResponse(maxPageBytes)
	return received, err
}

// resetOnClose makes the socket's close send a reset, which discards what the kernel has not delivered yet.
func (c *connection) resetOnClose() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// connectionState is the state of a connection between two requests.
type connectionState int

const (
	stateQuiet          connectionState = iota // nothing: it may be used
	stateEnded                                 // the engine has closed it, or it broke
	stateUnexpectedData                        // unrequested bytes: responses can no longer be matched to requests
)

// inspect determines the state without blocking. It clears the read deadline of the previous request first: a socket
// whose deadline has passed cannot be read, and every connection that had been idle for longer than that would look
// closed.
func (c *connection) inspect() connectionState {
	if c.reader.Buffered() {
		return stateUnexpectedData
	}
	c.socket.SetReadDeadline(time.Time{})
	socket, ok := c.socket.(syscall.Conn)
	if !ok {
		return stateEnded
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return stateEnded
	}
	state := stateEnded
	err = raw.Read(func(descriptor uintptr) bool {
		state = peek(int(descriptor))
		return true
	})
	if err != nil {
		return stateEnded
	}
	return state
}

// peek reads a socket's receive queue without consuming it.
func peek(descriptor int) connectionState {
	var buffer [1]byte
	received, _, err := syscall.Recvfrom(descriptor, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case received > 0:
		return stateUnexpectedData
	case errors.Is(err, syscall.EAGAIN):
		return stateQuiet
	}
	return stateEnded
}

func isTimeout(err error) bool {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// headerField is one header of a request.
type headerField struct{ name, value string }

// formatRequest returns a request's bytes, with the headers in the given order behind Host.
func formatRequest(method, path, host string, body []byte, fields ...headerField) []byte {
	var request bytes.Buffer
	request.Grow(requestHeaderBytes + len(body))
	request.WriteString(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n")
	for _, field := range fields {
		request.WriteString(field.name + ": " + field.value + "\r\n")
	}
	request.WriteString("\r\n")
	request.Write(body)
	return request.Bytes()
}
