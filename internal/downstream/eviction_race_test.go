package downstream

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// blockingHandler blocks in Ready until the gate is closed.
type blockingHandler struct {
	*chanHandler
	gate chan struct{}
}

func (h blockingHandler) Ready() bool {
	h.queries <- struct{}{}
	<-h.gate
	return true
}

// makeIdle makes a connection count as idle for a minute.
func makeIdle(conn *Conn) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.hasSentFrame = true
	conn.idleSince = time.Now().Add(-time.Minute)
}

// Between the choice of a connection for eviction and its close, the lock is released, and the connection may stop being idle. Earlier, the
// check before the close only tested whether the connection had ended or a stream was open, so that a queued answer or an unread
// statement was lost. The check must test all conditions again.
func TestEvictionRechecksAllConditions(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	for _, c := range []struct {
		name     string
		activity func(*testing.T, *Conn, net.Conn)
	}{
		{"an answer is queued", func(_ *testing.T, conn *Conn, _ net.Conn) {
			conn.openStream(1)
			conn.Answer(1, CodeCompleted, nil)
			conn.CloseStream(1)
			makeIdle(conn)
		}},
		{"an answer is being written", func(_ *testing.T, conn *Conn, _ net.Conn) {
			conn.mu.Lock()
			defer conn.mu.Unlock()
			conn.framesInWrite = 1
		}},
		{"a statement is unread", func(t *testing.T, conn *Conn, client net.Conn) {
			write(t, client, statementFrame(1))
			require.Eventually(t, func() bool { return conn.unreadBytes() > 0 }, eventTimeout, time.Millisecond)
		}},
		{"an answer was just written", func(_ *testing.T, conn *Conn, _ net.Conn) {
			conn.mu.Lock()
			defer conn.mu.Unlock()
			conn.idleSince = time.Now()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := dial(t, listener.Addr().String())
			raw, err := listener.Accept()
			require.NoError(t, err)
			defer raw.Close()
			server := newTestServer(newChanHandler(), 1<<20)
			conn := newConn(server, raw, server.flow.OpenPeer("x"), time.Now().Add(-time.Minute))
			makeIdle(conn)
			require.Equal(t, evictIdle, conn.evictionRank(), "the connection is chosen")
			c.activity(t, conn, client)
			assert.False(t, conn.closeIfIdle())
		})
	}
}

// The reader has read a readiness query and a statement and is still handling the query when the eviction of the connection is requested.
// Earlier, the connection was closed, since nothing was unread and no stream was open, and the statement was lost without an answer.
func TestStatementThatWasReadPreventsEviction(t *testing.T) {
	handler := blockingHandler{newChanHandler(), make(chan struct{})}
	server := newTestServer(handler, 1<<20)
	client := dial(t, listenAndServe(t, server))
	write(t, client, appendFrame(nil, frameReadinessQuery, 0, 0), statementFrame(1))
	await(t, handler.queries)
	conn := server.snapshot()[0]
	makeIdle(conn)
	require.Zero(t, conn.unreadBytes())
	server.evictOne()
	close(handler.gate)
	assert.Same(t, conn, await(t, handler.statements))
}

// A connection is not evicted if a part of a statement was read, since the rest is in flight.
func TestPartOfStatementPreventsEviction(t *testing.T) {
	server, handler, address := serve(t)
	client := dial(t, address)
	write(t, client, appendFrame(nil, frameReadinessQuery, 0, 0), statementFrame(1)[:7])
	await(t, handler.queries)
	conn := server.snapshot()[0]
	require.Eventually(t, func() bool { return conn.unreadBytes() == 0 && conn.flushed() }, eventTimeout, time.Millisecond)
	time.Sleep(10 * time.Millisecond) // the client has read the reply, and the reader waits for the rest
	makeIdle(conn)
	server.evictOne()
	write(t, client, statementFrame(1)[7:])
	assert.Same(t, conn, await(t, handler.statements))
}

// evictOne compares the idle times of connections while their own goroutines change them. The race detector reported unsynchronized access.
func TestEvictOneConcurrentWithActivity(t *testing.T) {
	server := newTestServer(newChanHandler(), 1<<20)
	var conns []*Conn
	for range 50 {
		raw, client := net.Pipe()
		defer client.Close()
		conn := newConn(server, raw, server.flow.OpenPeer("x"), time.Now().Add(-time.Minute))
		makeIdle(conn)
		server.register(conn)
		conns = append(conns, conn)
	}
	chosen := make(chan struct{})
	go func() {
		defer close(chosen)
		for range conns {
			server.evictOne()
		}
	}()
	for done := false; !done; {
		for _, conn := range conns {
			makeIdle(conn)
		}
		select {
		case <-chosen:
			done = true
		default:
		}
	}
}

// A client that has sent an invalid frame is evicted first, but not while a statement is unread or an answer is not acknowledged, since
// those are valid.
func TestEvictionOfMisbehavingClientLosesNoStatement(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	for _, c := range []struct {
		name        string
		framingLost bool
		activity    func(*testing.T, *Conn, net.Conn)
		evictable   bool
	}{
		{"no activity", false, func(*testing.T, *Conn, net.Conn) {}, true},
		{"a statement is unread", false, leaveStatementUnread, false},
		{"an answer is not acknowledged", false, leaveAnswerUnacknowledged, false},
		{"framing lost, so that unread input is not a statement", true, leaveStatementUnread, true},
		{"framing lost, and an earlier answer is not acknowledged", true, leaveAnswerUnacknowledged, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := dialSmallBuffer(t, listener.Addr().String())
			raw, err := listener.Accept()
			require.NoError(t, err)
			defer raw.Close()
			server := newTestServer(newChanHandler(), 1<<20)
			conn := newConn(server, raw, server.flow.OpenPeer("x"), time.Now().Add(-time.Minute))
			makeIdle(conn)
			conn.countInvalidFrame()
			conn.framingLost.Store(c.framingLost)
			require.Equal(t, evictMisbehaving, conn.evictionRank(), "the connection is chosen")
			c.activity(t, conn, client)
			assert.Equal(t, c.evictable, conn.closeIfIdle())
		})
	}
}

func leaveStatementUnread(t *testing.T, conn *Conn, client net.Conn) {
	t.Helper()
	write(t, client, statementFrame(1))
	require.Eventually(t, func() bool { return conn.unreadBytes() > 0 }, eventTimeout, time.Millisecond)
}

// leaveAnswerUnacknowledged writes until the client's receive buffer and the router's send buffer are full.
func leaveAnswerUnacknowledged(t *testing.T, conn *Conn, _ net.Conn) {
	t.Helper()
	require.NoError(t, conn.raw.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	_, err := conn.raw.Write(make([]byte, 8<<20))
	require.True(t, isTimeout(err))
	unsent, ok := conn.unsentBytes()
	require.True(t, ok)
	require.Positive(t, unsent)
}
