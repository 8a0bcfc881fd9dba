package downstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Statements received on a connection before its framing was lost are answered to the last byte, whatever input follows; and its client may
// leave as from any other.
func TestStatementsBeforeFramingError(t *testing.T) {
	junk := append([]byte{0, 0, 0, 1}, make([]byte, 64<<10)...)
	t.Run("are answered", func(t *testing.T) {
		_, handler, address := serve(t)
		client := dial(t, address)
		write(t, client, statementFrame(1), junk)
		conn := await(t, handler.statements)
		r := bufio.NewReader(client)
		assert.Equal(t, uint32(0), readFrame(t, r).stream, "the error of the connection")
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
		assert.Empty(t, handler.cancelled, "it waits for its answer")
		client.Close()
		assert.Equal(t, uint32(1), await(t, handler.cancelled))
	})
}

// A client that sends much that cannot be used, and then closes its connection or cancels, is noticed before all of that is read.
func TestDepartureBehindInvalidInput(t *testing.T) {
	invalid := func(n, size int) (frames []byte) {
		for range n {
			frames = append(append(appendFrame(nil, 200, 0, size), make([]byte, size)...), frames...)
		}
		return frames
	}
	const much = 48 << 10 // a dozen reads, each after a pause
	framingLost := append([]byte{0, 0, 0, 1}, make([]byte, much)...)
	cancel := func(conn net.Conn) { conn.Write(cancelFrame(1)) }
	for _, c := range []struct {
		name    string
		sends   []byte
		leaves  func(net.Conn)
		dropped bool // by the kernel: what was sent, with the connection
	}{
		{"invalid frames, half close", append(invalid(100, 0), invalid(much/512, 512)...), closeWrite, false},
		{"invalid frames, reset", append(invalid(100, 0), invalid(much/4096, 4091)...), reset, true},
		{"invalid frames, cancel", append(invalid(100, 0), invalid(much/4096, 4091)...), cancel, false},
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
			c.leaves(client)
			if remaining := await(t, unread); !c.dropped {
				assert.Greater(t, remaining, much/2, "it was not read to its end before that was noticed")
			}
			assert.Equal(t, uint32(1), await(t, handler.cancelled))
		})
	}
}

// A client from which nothing is read, since it does not read its answers, may leave like any other.
func TestDepartureOfStalledClient(t *testing.T) {
	for _, c := range []struct {
		name   string
		leaves func(net.Conn)
	}{
		{"cancel behind a statement that is not handled yet", func(conn net.Conn) {
			conn.Write(append(statementFrame(40), cancelFrame(1)...))
		}},
		{"half close", closeWrite},
		{"half close behind a statement", func(conn net.Conn) {
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
			c.leaves(client)
			left := time.Now()
			for await(t, handler.cancelled) != 1 {
				require.Less(t, time.Since(left), departureNotice)
			}
			require.Less(t, time.Since(left), departureNotice)
		})
	}
}

// stall opens as many statements as a connection may have, and answers all but the first until nothing more is read from the client.
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

// awaitReadingStopped sends a query to a connection that has stalled, and waits until its reader has handled that and stops before the next
// read, or has stopped before it.
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
		{"behind a statement", statementFrame(3), cancelFrame(1), []uint32{1}},
		{"cut between what was read and what was not", cancelFrame(7)[:5], append(cancelFrame(7)[5:], cancelFrame(8)...), []uint32{7, 8}},
		{"not complete", nil, cancelFrame(1)[:8], nil},
		{"complete but for its last bytes", cancelFrame(1)[:3], cancelFrame(1)[3:8], nil},
		{"in what was read", slices.Concat(cancelFrame(1), cancelFrame(2)[:4]), slices.Concat(cancelFrame(2)[4:], statementFrame(3), cancelFrame(4)), []uint32{1, 2, 4}},
		{"behind a frame that ends where what was read ends", statementFrame(3), slices.Concat(statementFrame(4), cancelFrame(5)), []uint32{5}},
		{"longer than a frame may be", nil, append([]byte{0xff, 0xff, 0xff, 0xff, byte(frameCancel), 0, 0, 0, 1}, cancelFrame(1)...), nil},
		{"behind what is no frame", []byte{0, 0, 0, 1}, cancelFrame(1), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, cancelledStreams(c.read, c.unread))
		})
	}
}
