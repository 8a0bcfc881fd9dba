package downstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Statements that were received before the framing was lost are answered completely, whatever input follows. If the client closes the
// connection, they are cancelled as on any other connection.
func TestStatementsBeforeFramingError(t *testing.T) {
	junk := append([]byte{0, 0, 0, 1}, make([]byte, 64<<10)...)
	t.Run("are answered", func(t *testing.T) {
		_, handler, address := serve(t)
		client := dial(t, address)
		write(t, client, statementFrame(1), junk)
		conn := await(t, handler.statements)
		r := bufio.NewReader(client)
		assert.Equal(t, uint32(0), readFrame(t, r).stream, "connection error")
		body := bytes.Repeat([]byte("row\n"), 12_000)
		conn.Answer(1, CodeCompleted, body)
		got := readFrame(t, r)
		assert.Equal(t, uint32(1), got.stream)
		assert.Equal(t, body, got.payload[answerHeadBytes:])
		_, err := r.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		assert.Empty(t, handler.cancelled)
	})
	t.Run("are cancelled by a close", func(t *testing.T) {
		_, handler, address := serve(t)
		client := dial(t, address)
		write(t, client, statementFrame(1), junk)
		await(t, handler.statements)
		readFrame(t, bufio.NewReader(client))
		assert.Empty(t, handler.cancelled, "the client still waits for its answer")
		client.Close()
		assert.Equal(t, uint32(1), await(t, handler.cancelled))
	})
}

// A client sends many invalid frames, and then closes the connection or cancels its statement. The router notices that before it has read
// all the invalid input, which it reads slowly on purpose.
func TestCancelOrCloseAfterInvalidInput(t *testing.T) {
	invalid := func(n, size int) (frames []byte) {
		for range n {
			frames = append(append(appendFrame(nil, 200, 0, size), make([]byte, size)...), frames...)
		}
		return frames
	}
	const inputBytes = 48 << 10 // takes a dozen reads, each after a delay
	framingLost := append([]byte{0, 0, 0, 1}, make([]byte, inputBytes)...)
	cancel := func(conn net.Conn) { conn.Write(cancelFrame(1)) }
	for _, c := range []struct {
		name    string
		sends   []byte
		end     func(net.Conn)
		dropped bool // the kernel drops unread input when the connection is reset
	}{
		{"invalid frames, half close", append(invalid(100, 0), invalid(inputBytes/512, 512)...), closeWrite, false},
		{"invalid frames, reset", append(invalid(100, 0), invalid(inputBytes/4096, 4091)...), reset, true},
		{"invalid frames, cancel", append(invalid(100, 0), invalid(inputBytes/4096, 4091)...), cancel, false},
		{"lost framing, half close", framingLost, closeWrite, false},
		{"lost framing, reset", framingLost, reset, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			_, handler, address := serve(t)
			unread := make(chan int, 1)
			hook := func(conn *Conn) { unread <- conn.unreadBytes() }
			handler.beforeCancel.Store(&hook)
			client := dial(t, address)
			write(t, client, statementFrame(1), c.sends)
			await(t, handler.statements)
			c.end(client)
			if remaining := await(t, unread); !c.dropped {
				assert.Greater(t, remaining, inputBytes/2, "most of the input was still unread when the router noticed the end")
			}
			assert.Equal(t, uint32(1), await(t, handler.cancelled))
		})
	}
}

// A client that is stalled, so that the router does not read from it, may cancel statements or close the connection like any other: the
// router notices it within cancelNoticeTimeout.
func TestCancelOrCloseByStalledClient(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(net.Conn)
	}{
		{"cancel after a statement that is not handled yet", func(conn net.Conn) {
			conn.Write(append(statementFrame(40), cancelFrame(1)...))
		}},
		{"half close", closeWrite},
		{"half close after a statement", func(conn net.Conn) {
			conn.Write(statementFrame(40))
			closeWrite(conn)
		}},
		{"reset", reset},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server, handler, address := serve(t)
			client := dialSmallBuffer(t, address)
			stall(t, handler, client)
			awaitReadingStopped(t, handler, server.snapshot()[0], client)
			c.end(client)
			endedAt := time.Now()
			for await(t, handler.cancelled) != 1 {
				require.Less(t, time.Since(endedAt), cancelNoticeTimeout)
			}
			require.Less(t, time.Since(endedAt), cancelNoticeTimeout)
		})
	}
}

// stall opens maxOpenStatements statements and answers all but the first, until the client stalls.
func stall(t *testing.T, handler *chanHandler, client net.Conn) {
	t.Helper()
	for stream := range uint32(maxOpenStatements) {
		write(t, client, statementFrame(stream+1))
	}
	var conn *Conn
	for range maxOpenStatements {
		conn = await(t, handler.statements)
	}
	body := bytes.Repeat([]byte("row\n"), 12_000)
	for stream := uint32(2); stream <= maxOpenStatements; stream++ {
		if conn.Answer(stream, CodeCompleted, body) {
			return
		}
	}
	t.Fatal("the client did not stall")
}

// awaitReadingStopped sends a readiness query on a stalled connection. It waits until the reader has stopped, either before or after it
// has read and handled the query.
func awaitReadingStopped(t *testing.T, handler *chanHandler, conn *Conn, client net.Conn) {
	t.Helper()
	write(t, client, appendFrame(nil, frameReadinessQuery, 0, 0))
	require.Eventually(t, func() bool {
		return conn.readingStopped() && (len(handler.queries) > 0 || conn.unreadBytes() > 0)
	}, eventTimeout, time.Millisecond)
}

func TestCancelledStreams(t *testing.T) {
	for _, c := range []struct {
		name         string
		read, unread []byte
		want         []uint32
	}{
		{"nothing", nil, nil, nil},
		{"after a statement", statementFrame(3), cancelFrame(1), []uint32{1}},
		{"split between read and unread input", cancelFrame(7)[:5], append(cancelFrame(7)[5:], cancelFrame(8)...), []uint32{7, 8}},
		{"incomplete", nil, cancelFrame(1)[:8], nil},
		{"incomplete, split between read and unread input", cancelFrame(1)[:3], cancelFrame(1)[3:8], nil},
		{"in read input", slices.Concat(cancelFrame(1), cancelFrame(2)[:4]), slices.Concat(cancelFrame(2)[4:], statementFrame(3), cancelFrame(4)), []uint32{1, 2, 4}},
		{"after a frame that ends with the read input", statementFrame(3), slices.Concat(statementFrame(4), cancelFrame(5)), []uint32{5}},
		{"longer than a frame may be", nil, append([]byte{0xff, 0xff, 0xff, 0xff, byte(frameCancel), 0, 0, 0, 1}, cancelFrame(1)...), nil},
		{"after an invalid length", []byte{0, 0, 0, 1}, cancelFrame(1), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, cancelledStreams(c.read, c.unread))
		})
	}
}

// Guards against statements that are sent to engines for clients that have left: a close behind unread input was noticed only when that
// input had been read.
func TestClientThatHasLeftDoesNotWait(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(*Conn, net.Conn)
	}{
		{"close", func(_ *Conn, client net.Conn) { client.Close() }},
		{"half close", func(_ *Conn, client net.Conn) { closeWrite(client) }},
		{"reset", func(_ *Conn, client net.Conn) { reset(client) }},
		{"cancelled stream", func(conn *Conn, _ net.Conn) { conn.cancelStream(1) }},
		{"answered stream", func(conn *Conn, _ net.Conn) { conn.CloseStream(1) }},
		{"closed by the router", func(conn *Conn, _ net.Conn) { conn.closeBy(closeWriteFailed) }},
	} {
		for _, unread := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, unread input: %t", c.name, unread), func(t *testing.T) {
				conn, client := connWithoutReader(t)
				require.NoError(t, conn.openStream(1))
				if unread {
					write(t, client, statementFrame(2))
					require.Eventually(t, conn.HasUnreadInput, eventTimeout, time.Millisecond)
				}
				assert.True(t, conn.Waits(1))
				c.leave(conn, client)
				require.Eventually(t, func() bool { return !conn.Waits(1) }, eventTimeout, time.Millisecond)
			})
		}
	}
}

// connWithoutReader returns both ends of a connection from which the server does not read.
func connWithoutReader(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client := dial(t, listener.Addr().String())
	raw, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { raw.Close() })
	server := newTestServer(newChanHandler(), 1<<20)
	return newConn(server, raw, server.flow.OpenPeer("x"), time.Now()), client
}
