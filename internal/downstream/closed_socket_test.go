package downstream

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// departureNotice is within what time after its client has gone no attempt of a statement may begin, so by then the handler has to know.
const departureNotice = 100 * time.Millisecond

// A client's answers wait, so nothing is read from it, and then the router itself closes the socket: a write has failed, or the queue of
// connection errors is full. The reader asked a closed descriptor whether the client had gone, and no answer counted as "it is still
// there", so statements were cancelled only when the client counted as too slow. The log showed it: "client connection closed" with the
// reason "write failed" came 12.25 s after the write, at the same moment as "slow client disconnected".
func TestOwnCloseOfStalledClientCancelsStatements(t *testing.T) {
	for _, c := range []struct {
		name   string
		closes func(*testing.T, *Conn)
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
			c.closes(t, conn)
			closed := time.Now()
			select {
			case <-handler.cancelled:
				assert.Less(t, time.Since(closed), departureNotice)
			case <-time.After(2 * slowClientTimeout):
				t.Fatal("the statements were never cancelled")
			}
		})
	}
}

// A descriptor that this side has closed: nothing comes from it and nothing can be sent on it any more.
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
	assert.False(t, conn.peekForDeparture(nil), "it is open")
	raw.Close()

	assert.True(t, conn.peekForDeparture(nil), "the connection has ended")
	assert.True(t, conn.clientClosed())
	assert.Zero(t, conn.unreadBytes(), "nothing more is read")
	unsent, known := conn.unsentBytes()
	assert.Zero(t, unsent, "the kernel sends what it has, also after the process has ended")
	assert.True(t, known)

	listener.Close()
	assert.False(t, AcceptPending(listener), "the kernel has refused those that waited")
}

// The queue of a connection that has ended is longer than one write may take, and its socket is closed: each write fails. The writer was
// woken once for the end and wrote once for that; with frames left it then waited to be woken again, which nothing did. The connection kept
// its slot, and a router that was told to end did not ("the program does not end" in TestSlowReaders).
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
