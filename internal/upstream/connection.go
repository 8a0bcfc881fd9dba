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

// maxPageBytes is the maximum size of a response body: the protocol's limit for a result page.
const maxPageBytes = 6_000

const (
	// requestHeaderBytes is the buffer capacity reserved for a request's start line and headers.
	requestHeaderBytes = 256
	// maxCopiedBody is the size of the largest body that is copied behind the headers, to be written by a plain write.
	maxCopiedBody = 4 << 10
)

// request is the bytes of one request.
type request struct {
	head []byte // start line, headers and a small body
	body []byte // a large body
}

// writeTo writes the request and returns whether all of it was written.
func (r request) writeTo(socket net.Conn) (written bool, err error) {
	if len(r.body) == 0 {
		n, err := socket.Write(r.head)
		return n == len(r.head), err
	}
	parts := net.Buffers{r.head, r.body}
	n, err := parts.WriteTo(socket)
	return n == int64(len(r.head)+len(r.body)), err
}

// connection is one connection to an engine, used by one request at a time.
type connection struct {
	socket    net.Conn
	reader    *http1.Reader
	engine    decision.EngineID
	address   string
	idleSince time.Time // when the connection was returned to the pool

	startUnanswered atomic.Bool // the start of an attempt was written, or is about to be, and has no response yet
}

// response is an engine's response to one request.
type response struct {
	http1.Header
	body           []byte
	requestWritten bool // the complete request may have reached the engine; valid also with an error
	extraBytes     bool // bytes that do not belong to the response were received after it
}

// roundTrip writes one request and reads its response.
func (c *connection) roundTrip(deadline time.Time, sent request) (response, error) {
	c.socket.SetDeadline(deadline)
	written, err := sent.writeTo(c.socket)
	if err != nil {
		return response{requestWritten: written}, err
	}
	received := response{requestWritten: true}
	received.Header, received.body, err = c.reader.ReadResponse(maxPageBytes)
	return received, err
}

// resetOnClose makes the closing of the socket send a reset, which discards data that the kernel has not delivered yet.
func (c *connection) resetOnClose() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// connectionState is the state of a connection between two requests.
type connectionState int

const (
	stateOpen           connectionState = iota // open and without unread bytes: the connection may be used
	stateClosed                                // closed by the engine, or broken
	stateUnexpectedData                        // unrequested bytes were received: responses can no longer be matched to requests
)

// inspect determines the state without blocking. It first clears the read deadline of the previous request: a socket
// whose deadline has passed cannot be read, so a connection that has been idle past that deadline would appear closed.
func (c *connection) inspect() connectionState {
	if c.reader.Buffered() {
		return stateUnexpectedData
	}
	c.socket.SetReadDeadline(time.Time{})
	socket, ok := c.socket.(syscall.Conn)
	if !ok {
		return stateClosed
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return stateClosed
	}
	state := stateClosed
	err = raw.Read(func(descriptor uintptr) bool {
		state = peek(int(descriptor))
		return true
	})
	if err != nil {
		return stateClosed
	}
	return state
}

// peek inspects a socket's receive queue without consuming it.
func peek(descriptor int) connectionState {
	var buffer [1]byte
	received, _, err := syscall.Recvfrom(descriptor, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case received > 0:
		return stateUnexpectedData
	case errors.Is(err, syscall.EAGAIN):
		return stateOpen
	}
	return stateClosed
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

// formatRequest returns a request, with the headers in the given order after Host. A large body is not copied.
func formatRequest(method, path, host string, body []byte, fields ...headerField) request {
	var head bytes.Buffer
	head.Grow(requestHeaderBytes + min(len(body), maxCopiedBody))
	head.WriteString(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n")
	for _, field := range fields {
		head.WriteString(field.name + ": " + field.value + "\r\n")
	}
	head.WriteString("\r\n")
	if len(body) > maxCopiedBody {
		return request{head: head.Bytes(), body: body}
	}
	head.Write(body)
	return request{head: head.Bytes()}
}
