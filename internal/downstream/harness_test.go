package downstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"bankledge/internal/flowcontrol"
)

const (
	// eventTimeout limits the wait for an expected event. A correct implementation is much faster.
	eventTimeout = 10 * time.Second
	// slowClientTimeout is the minimum time before a client that reads nothing is disconnected, which cancels its streams.
	slowClientTimeout = 8 * time.Second

	maxTestConnections = 10
)

// nopHandler ignores all calls.
type nopHandler struct{}

func (nopHandler) HandleStatement(*Conn, uint32, Fields, []byte) bool { return true }
func (nopHandler) HandleCancel(*Conn, []uint32)                       {}
func (nopHandler) HandleBackpressure(*Conn, bool)                     {}
func (nopHandler) AbortOpenStatements(*Conn, string)                  {}
func (nopHandler) Ready() bool                                        { return true }

// chanHandler reports its calls on channels; the test sends the answers.
type chanHandler struct {
	nopHandler
	statements   chan *Conn
	cancelled    chan uint32
	queries      chan struct{}               // calls of Ready
	beforeCancel atomic.Pointer[func(*Conn)] // called before a cancel is reported
}

func newChanHandler() *chanHandler {
	return &chanHandler{
		statements: make(chan *Conn, 100),
		cancelled:  make(chan uint32, 100),
		queries:    make(chan struct{}, 100),
	}
}

func (h *chanHandler) Ready() bool {
	h.queries <- struct{}{}
	return true
}

func (h *chanHandler) HandleStatement(c *Conn, _ uint32, _ Fields, _ []byte) bool {
	h.statements <- c
	return true
}

func (h *chanHandler) HandleCancel(c *Conn, streams []uint32) {
	if hook := h.beforeCancel.Load(); hook != nil {
		(*hook)(c)
	}
	for _, stream := range streams {
		h.cancelled <- stream
	}
}

func newTestServer(handler Handler, frameMemory int64) *Server {
	limits := flowcontrol.DeriveLimits(64, maxTestConnections)
	limits.FrameBytes = frameMemory
	return New(handler, maxTestConnections, limits, zap.NewNop())
}

// listenAndServe serves on a loopback port until the test ends, and returns the address.
func listenAndServe(t *testing.T, server *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		listener.Close()
		require.NoError(t, <-ended)
	})
	return listener.Addr().String()
}

func serve(t *testing.T) (*Server, *chanHandler, string) {
	t.Helper()
	return serveWithFrameMemory(t, 1<<20)
}

func serveWithFrameMemory(t *testing.T, frameMemory int64) (*Server, *chanHandler, string) {
	t.Helper()
	handler := newChanHandler()
	server := newTestServer(handler, frameMemory)
	return server, handler, listenAndServe(t, server)
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	return dialWith(t, net.Dialer{}, address)
}

// dialSmallBuffer dials with a small receive buffer, so that answers that the client does not read stay unacknowledged.
func dialSmallBuffer(t *testing.T, address string) net.Conn {
	t.Helper()
	return dialWith(t, net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2048) })
	}}, address)
}

func dialWith(t *testing.T, dialer net.Dialer, address string) net.Conn {
	t.Helper()
	conn, err := dialer.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(eventTimeout)))
	return conn
}

func await[T any](t *testing.T, events <-chan T) (event T) {
	t.Helper()
	select {
	case event = <-events:
	case <-time.After(eventTimeout):
		t.Fatal("timed out waiting for an event")
	}
	return event
}

func write(t *testing.T, conn net.Conn, frames ...[]byte) {
	t.Helper()
	var all []byte
	for _, frame := range frames {
		all = append(all, frame...)
	}
	_, err := conn.Write(all)
	require.NoError(t, err)
}

func statementFrame(stream uint32) []byte {
	return append(appendFrame(nil, frameStatement, stream, 2), "\x00x"...)
}

func cancelFrame(stream uint32) []byte { return appendFrame(nil, frameCancel, stream, 0) }

func readFrame(t *testing.T, r *bufio.Reader) frame {
	t.Helper()
	head := make([]byte, lengthBytes)
	_, err := io.ReadFull(r, head)
	require.NoError(t, err)
	raw := append(head, make([]byte, declaredFrameSize(head)-lengthBytes)...)
	_, err = io.ReadFull(r, raw[lengthBytes:])
	require.NoError(t, err)
	f, _, err := parseFrame(raw)
	require.NoError(t, err)
	return f
}

// reset closes a connection with a TCP reset, so that the receiving kernel drops unread input.
func reset(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

func closeWrite(conn net.Conn) { conn.(*net.TCPConn).CloseWrite() }
