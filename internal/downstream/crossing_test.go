package downstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"bankledge/internal/flowcontrol"
)

const (
	patience = 10 * time.Second // for what must happen; nothing waits so long when all is well
	slowest  = 8 * time.Second  // before a client that takes nothing in is released, which ends all that is open on it
)

// taker hands what a front tells it to a test, which answers by hand.
type taker struct {
	nobody
	took  chan *Conn
	left  chan uint32
	asked chan struct{}               // whether it is ready
	hears atomic.Pointer[func(*Conn)] // called before it takes a word that somebody has left
}

func (k *taker) Ready() bool {
	k.asked <- struct{}{}
	return true
}

func (k *taker) HandleStatement(c *Conn, _ uint32, _ Fields, _ []byte) bool {
	k.took <- c
	return true
}

func (k *taker) HandleCancel(c *Conn, streams []uint32) {
	if hears := k.hears.Load(); hears != nil {
		(*hears)(c)
	}
	for _, stream := range streams {
		k.left <- stream
	}
}

func serve(t *testing.T) (*Server, *taker, string) {
	k := &taker{took: make(chan *Conn, 100), left: make(chan uint32, 100), asked: make(chan struct{}, 100)}
	f := New(k, 10, 1<<20, flowcontrol.DeriveLimits(64, 10), zap.NewNop())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		listener.Close()
		require.NoError(t, <-ended)
	})
	return f, k, listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	return c
}

func await[T any](t *testing.T, c <-chan T) (got T) {
	t.Helper()
	select {
	case got = <-c:
	case <-time.After(patience):
		t.Fatal("it did not happen")
	}
	return got
}

func frameOf(stream uint32) []byte {
	return append(appendFrame(nil, frameStatement, stream, 2), "\x00x"...)
}

func readFrame(t *testing.T, r *bufio.Reader) frame {
	t.Helper()
	head := make([]byte, lengthBytes)
	_, err := io.ReadFull(r, head)
	require.NoError(t, err)
	raw := append(head, make([]byte, claimedFrameSize(head)-lengthBytes)...)
	_, err = io.ReadFull(r, raw[lengthBytes:])
	require.NoError(t, err)
	f, _, err := parseFrame(raw)
	require.NoError(t, err)
	return f
}

// What was taken on a connection before its framing was lost is answered to the last byte, whatever junk comes behind; and its client may
// leave as from any other.
func TestWhatWasTakenBeforeTheFramingWasLost(t *testing.T) {
	junk := append([]byte{0, 0, 0, 1}, make([]byte, 64<<10)...)
	t.Run("is answered", func(t *testing.T) {
		_, k, address := serve(t)
		c := dial(t, address)
		_, err := c.Write(append(frameOf(1), junk...))
		require.NoError(t, err)
		taken, r := await(t, k.took), bufio.NewReader(c)
		assert.Equal(t, uint32(0), readFrame(t, r).stream, "its last word on the framing")
		body := bytes.Repeat([]byte("row\n"), 12_000)
		taken.Answer(1, CodeCompleted, body)
		got := readFrame(t, r)
		assert.Equal(t, uint32(1), got.stream)
		assert.Equal(t, body, got.payload[2:])
		_, err = r.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		assert.Empty(t, k.left)
	})
	t.Run("is left", func(t *testing.T) {
		_, k, address := serve(t)
		c := dial(t, address)
		_, err := c.Write(append(frameOf(1), junk...))
		require.NoError(t, err)
		await(t, k.took)
		readFrame(t, bufio.NewReader(c))
		assert.Empty(t, k.left, "it waits for its answer")
		c.Close()
		assert.Equal(t, uint32(1), await(t, k.left))
	})
}

// Who sends much that cannot be used and goes, or says that nobody waits, is heard before all that was read.
func TestWhoSendsMuchAndGoes(t *testing.T) {
	unfit := func(n, size int) (frames []byte) {
		for range n {
			frames = append(append(appendFrame(nil, 200, 0, size), make([]byte, size)...), frames...)
		}
		return frames
	}
	const much = 48 << 10 // a dozen reads, each after a pause
	lost := append([]byte{0, 0, 0, 1}, make([]byte, much)...)
	for _, c := range []struct {
		name  string
		sends []byte
		goes  func(c net.Conn)
		gone  bool // the kernel drops what it has sent with its connection
	}{
		{"frames of no use, half its end", append(unfit(100, 0), unfit(much/512, 512)...), func(c net.Conn) { c.(*net.TCPConn).CloseWrite() }, false},
		{"frames of no use, a reset", append(unfit(100, 0), unfit(much/4096, 4091)...), func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }, true},
		{"frames of no use, a frame that says so", append(unfit(100, 0), unfit(much/4096, 4091)...), func(c net.Conn) { c.Write(appendFrame(nil, frameCancel, 1, 0)) }, false},
		{"what is no frame, half its end", lost, func(c net.Conn) { c.(*net.TCPConn).CloseWrite() }, false},
		{"what is no frame, a reset", lost, func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			_, k, address := serve(t)
			unread := make(chan int, 1)
			hears := func(c *Conn) { unread <- c.unreadBytes() }
			k.hears.Store(&hears)
			client := dial(t, address)
			_, err := client.Write(append(frameOf(1), c.sends...))
			require.NoError(t, err)
			await(t, k.took)
			c.goes(client)
			if left := await(t, unread); !c.gone {
				assert.Greater(t, left, much/2, "it was not read to its end before that was heard")
			}
			assert.Equal(t, uint32(1), await(t, k.left))
		})
	}
}

// What comes on a connection that is released, before it ends, is answered: it was not taken in, so trying again is harmless.
func TestWhatComesOnAReleasedConnection(t *testing.T) {
	_, k, address := serve(t)
	client := dial(t, address)
	_, err := client.Write(frameOf(1))
	require.NoError(t, err)
	conn := await(t, k.took)
	conn.mu.Lock()
	conn.releasedAt = time.Now()
	conn.mu.Unlock()
	_, err = client.Write(frameOf(2))
	require.NoError(t, err)
	got := readFrame(t, bufio.NewReader(client))
	assert.Equal(t, []any{byte(frameAnswer), uint32(2), byte(CodeRejected)}, []any{got.kind, got.stream, got.payload[0]})
	assert.Empty(t, k.took)
}

// What was not accepted or not read yet is not passed over: it may be a statement that came in time.
func TestWhatIsNotHeardYet(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	assert.False(t, AcceptPending(listener))
	waits := dial(t, listener.Addr().String())
	require.Eventually(t, func() bool { return AcceptPending(listener) }, patience, time.Millisecond)
	_, err = listener.Accept()
	require.NoError(t, err)
	assert.False(t, AcceptPending(listener))
	waits.Close()
	listener.Close()
	assert.False(t, AcceptPending(listener))

	f, k, address := serve(t)
	gate := make(chan struct{})
	hears := func(*Conn) { <-gate }
	k.hears.Store(&hears)
	c := dial(t, address)
	_, err = c.Write(append(frameOf(1), appendFrame(nil, frameCancel, 1, 0)...))
	require.NoError(t, err)
	await(t, k.took)
	assert.Zero(t, f.PendingReads())
	_, err = c.Write(frameOf(2)) // its reader stands at the gate
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.PendingReads() == 1 }, patience, time.Millisecond)
	close(gate)
	await(t, k.took)
	assert.Zero(t, f.PendingReads())
	for range cap(f.connSlots) - 1 { // all places are taken by those that may still have something on its way
		taken := dial(t, address)
		_, err := taken.Write(frameOf(1))
		require.NoError(t, err)
		await(t, k.took)
	}
	dial(t, address)
	require.Eventually(t, func() bool { return f.PendingReads() == 1 }, patience, time.Millisecond)
}

// A client from which nothing is read, since it takes nothing in, may leave like any other.
func TestWhoIsNotReadFromMayLeave(t *testing.T) {
	for _, how := range []struct {
		name  string
		leave func(c net.Conn)
	}{
		{"a frame that says so, behind one that is not taken yet", func(c net.Conn) {
			c.Write(append(frameOf(40), appendFrame(nil, frameCancel, 1, 0)...))
		}},
		{"the end of the connection", func(c net.Conn) { c.(*net.TCPConn).CloseWrite() }},
		{"the end behind a frame", func(c net.Conn) { c.Write(frameOf(40)); c.(*net.TCPConn).CloseWrite() }},
		{"a reset", func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }},
	} {
		t.Run(how.name, func(t *testing.T) {
			t.Parallel()
			_, k, address := serve(t)
			small := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error { // else its kernel takes in what it does not read
				return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2048) })
			}}
			c, err := small.Dial("tcp", address)
			require.NoError(t, err)
			defer c.Close()
			var frames []byte
			for stream := range uint32(maxOpenStatements) {
				frames = append(frames, frameOf(stream+1)...)
			}
			_, err = c.Write(frames)
			require.NoError(t, err)
			var conn *Conn
			for range maxOpenStatements {
				conn = await(t, k.took)
			}
			body, stalled := bytes.Repeat([]byte("row\n"), 12_000), false
			for stream := uint32(2); stream <= maxOpenStatements && !stalled; stream++ { // the first stays open
				stalled = conn.Answer(stream, CodeCompleted, body)
			}
			require.True(t, stalled, "nothing is read from it any more")
			_, err = c.Write(appendFrame(nil, frameReadinessQuery, 0, 0))
			require.NoError(t, err)
			await(t, k.asked) // the reader has this, and stops before the next read
			how.leave(c)
			var left time.Time
			for began := time.Now(); left.IsZero(); require.Less(t, time.Since(began), slowest) {
				if await(t, k.left) == 1 {
					left = time.Now()
				}
			}
		})
	}
}

// A connection is closed for another only where that leaves nobody without an answer.
func TestWhoMakesRoom(t *testing.T) {
	now, long := time.Now(), time.Now().Add(-time.Minute)
	for _, c := range []struct {
		name string
		conn *Conn
		want int
	}{
		{"something open", &Conn{openStreams: map[uint32]bool{1: false}, hasSentFrame: true, acceptedAt: long, idleSince: long}, 0},
		{"an answer not written", &Conn{queue: make([]queuedFrame, 1), hasSentFrame: true, acceptedAt: long, idleSince: long}, 0},
		{"one that is being written", &Conn{framesInWrite: 1, hasSentFrame: true, acceptedAt: long, idleSince: long}, 0},
		{"new: its first statement may be on its way", &Conn{acceptedAt: now, idleSince: now}, 0},
		{"never spoke", &Conn{acceptedAt: long, idleSince: long}, 2},
		{"answered just now: its next statement may be on its way", &Conn{hasSentFrame: true, acceptedAt: long, idleSince: now}, 0},
		{"at rest", &Conn{hasSentFrame: true, acceptedAt: long, idleSince: long}, 1},
		{"unfit", &Conn{hasSentFrame: true, invalidFrames: 1, acceptedAt: now, idleSince: now}, 3},
		{"ended", &Conn{ended: true, acceptedAt: long, idleSince: long}, 0},
	} {
		assert.Equal(t, c.want, c.conn.evictionRank(), c.name)
	}
}

// A statement that came in time, on a connection that nobody has looked at since, is taken in, and its connection is not closed for another.
func TestWhatCameWhileTheRouterWasHeldUp(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	for _, spoke := range []bool{false, true} {
		client := dial(t, listener.Addr().String())
		raw, err := listener.Accept()
		require.NoError(t, err)
		k := &taker{took: make(chan *Conn, 1), left: make(chan uint32, 1)}
		f := New(k, 10, 1<<20, flowcontrol.DeriveLimits(64, 10), zap.NewNop())
		long := time.Now().Add(-time.Minute)
		c := &Conn{server: f, raw: raw, writeReady: make(chan struct{}, 1), readResumed: make(chan struct{}, 1), openStreams: map[uint32]bool{}, usedOutOfOrder: map[uint32]bool{}, acceptedAt: long, idleSince: long, hasSentFrame: spoke, peer: f.flow.OpenPeer("x")}
		f.register(c)
		assert.NotZero(t, c.evictionRank())
		_, err = client.Write(frameOf(1))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return c.unreadBytes() > 0 }, patience, time.Millisecond)
		assert.Zero(t, c.evictionRank())
		f.evictOne()
		ended := make(chan struct{})
		go func() { c.serve(t.Context()); close(ended) }()
		assert.Same(t, c, await(t, k.took))
		client.Close()
		await(t, ended)
	}
}

func TestLeftIn(t *testing.T) {
	left := func(stream uint32) []byte { return appendFrame(nil, frameCancel, stream, 0) }
	for _, c := range []struct {
		name       string
		read, next []byte
		want       []uint32
	}{
		{"nothing", nil, nil, nil},
		{"behind a statement", frameOf(3), left(1), []uint32{1}},
		{"cut between what was read and what was not", left(7)[:5], append(left(7)[5:], left(8)...), []uint32{7, 8}},
		{"not whole", nil, left(1)[:8], nil},
		{"whole but for its last bytes", left(1)[:3], left(1)[3:8], nil},
		{"in what was read", slices.Concat(left(1), left(2)[:4]), slices.Concat(left(2)[4:], frameOf(3), left(4)), []uint32{1, 2, 4}},
		{"behind a frame that ends where what was read ends", frameOf(3), slices.Concat(frameOf(4), left(5)), []uint32{5}},
		{"longer than may be", nil, append([]byte{0xff, 0xff, 0xff, 0xff, frameCancel, 0, 0, 0, 1}, left(1)...), nil},
		{"behind what is no frame", []byte{0, 0, 0, 1}, left(1), nil},
	} {
		assert.Equal(t, c.want, cancelledStreams(c.read, c.next), c.name)
	}
}

// What the kernel holds for a client that has not taken it in counts as queued: a stop that ended now might have it dropped.
func TestWhatIsNotTakenInIsQueued(t *testing.T) {
	f, k, address := serve(t)
	small := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2048) })
	}}
	c, err := small.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write(frameOf(1))
	require.NoError(t, err)
	conn, body := await(t, k.took), bytes.Repeat([]byte("row\n"), 12_000)
	conn.Answer(1, CodeCompleted, body)
	require.Eventually(t, conn.flushed, patience, time.Millisecond, "it is with the kernel")
	assert.Positive(t, f.PendingWrites())
	rested := func() int {
		conn.mu.Lock()
		conn.idleSince = time.Now().Add(-time.Minute)
		conn.mu.Unlock()
		return conn.evictionRank()
	}
	assert.Zero(t, rested(), "nor is its connection closed for another")
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	assert.Equal(t, body, readFrame(t, bufio.NewReader(c)).payload[2:])
	require.Eventually(t, func() bool { return f.PendingWrites() == 0 }, patience, time.Millisecond)
	assert.Equal(t, 1, rested())
}
