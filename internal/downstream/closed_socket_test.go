package downstream

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// cancelNoticeTimeout is the time within which the handler must be notified that a client has cancelled or closed, since no attempt of
// its statements may start later than that.
const cancelNoticeTimeout = 100 * time.Millisecond

// A client is stalled, so the router does not read from it, and then the router itself closes the socket, because a write fails or the
// queue of connection errors is full. The statements must be cancelled at once. Earlier, the reader queried the state of the closed
// descriptor and took the failed query to mean that the client was still connected, so the statements were cancelled only when the client
// was found too slow: "client connection closed" with the reason "write failed" was logged 12.25 s after the write, together with "slow
// client disconnected".
func TestOwnCloseOfStalledClientCancelsStatements(t *testing.T) {
	for _, c := range []struct {
		name  string
		close func(*testing.T, *Conn)
	}{
		{"failed write", func(t *testing.T, conn *Conn) {
			conn.closeWrite() // the next write fails with EPIPE
			writer := frameWriter{conn: conn, frames: []queuedFrame{{bytes: make([]byte, 1)}}}
			assert.False(t, writer.write())
		}},
		{"full queue", func(_ *testing.T, conn *Conn) {
			for range maxQueuedFrames + 1 {
				conn.sendConnError(errTooManyInvalid)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, handler, address := serve(t)
			client := dialSmallBuffer(t, address)
			stall(t, handler, client)
			conn := server.snapshot()[0]
			awaitReadingStopped(t, handler, conn, client)
			c.close(t, conn)
			closedAt := time.Now()
			select {
			case <-handler.cancelled:
				assert.Less(t, time.Since(closedAt), cancelNoticeTimeout)
			case <-time.After(2 * slowClientTimeout):
				t.Fatal("the statements were never cancelled")
			}
		})
	}
}

// After the router has closed a descriptor, the connection counts as ended, with nothing unread, unsent or waiting to be accepted.
func TestClosedDescriptor(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	client := dial(t, listener.Addr().String())
	raw, err := listener.Accept()
	require.NoError(t, err)
	write(t, client, statementFrame(1))
	server := newTestServer(nopHandler{}, 1<<20)
	conn := newConn(server, raw, server.flow.OpenPeer("x"), time.Now())
	require.Eventually(t, func() bool { return conn.unreadBytes() > 0 }, eventTimeout, time.Millisecond)
	assert.False(t, conn.peekForCancelOrClose(nil, 0), "the connection is open")
	raw.Close()

	assert.True(t, conn.peekForCancelOrClose(nil, 0), "the connection has ended")
	assert.True(t, conn.clientClosed())
	assert.Zero(t, conn.unreadBytes(), "nothing more is read")
	unsent, known := conn.unsentBytes()
	assert.Zero(t, unsent, "the kernel sends its buffer also after the process has exited")
	assert.True(t, known)

	listener.Close()
	assert.False(t, AcceptPending(listener), "the kernel has reset the waiting connections")
}

// A connection has ended with more frames queued than one write may take, and each write fails because the socket is closed. Earlier, the
// writer was woken once for the end, wrote once and then waited to be woken again, since frames were left. Nothing woke it, so the
// connection kept its slot and a router that was asked to shut down did not exit ("the program does not end" in TestSlowReaders).
func TestWriterEndsWhenWritesFail(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dial(t, listener.Addr().String())
	raw, err := listener.Accept()
	require.NoError(t, err)
	server := newTestServer(nopHandler{}, 1<<20)
	conn := newConn(server, raw, server.flow.OpenPeer("x"), time.Now())
	for range 20 {
		frame := make([]byte, 48<<10)
		conn.forceQueue(len(frame))
		conn.queue = append(conn.queue, queuedFrame{bytes: frame})
	}
	raw.Close()
	conn.finish()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn.writeFrames()
	}()
	await(t, ended)
}
