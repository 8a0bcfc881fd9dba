package downstream

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A connection may be evicted only if that leaves no client without an answer.
func TestEvictionRank(t *testing.T) {
	now := time.Now()
	long := now.Add(-time.Minute)
	for _, c := range []struct {
		name string
		conn *Conn
		want evictionRank
	}{
		{"an open stream", &Conn{openStreams: map[uint32]streamState{1: streamAwaited}, hasSentFrame: true, acceptedAt: long, idleSince: long}, notEvictable},
		{"an answer is queued", &Conn{queue: make([]queuedFrame, 1), hasSentFrame: true, acceptedAt: long, idleSince: long}, notEvictable},
		{"an answer is being written", &Conn{framesInWrite: 1, hasSentFrame: true, acceptedAt: long, idleSince: long}, notEvictable},
		{"new, so that its first statement may be in flight", &Conn{acceptedAt: now, idleSince: now}, notEvictable},
		{"silent", &Conn{acceptedAt: long, idleSince: long}, evictSilent},
		{"answered just now, so that its next statement may be in flight", &Conn{hasSentFrame: true, acceptedAt: long, idleSince: now}, notEvictable},
		{"idle", &Conn{hasSentFrame: true, acceptedAt: long, idleSince: long}, evictIdle},
		{"invalid frames", &Conn{hasSentFrame: true, invalidFrames: 1, acceptedAt: now, idleSince: now}, evictMisbehaving},
		{"ended", &Conn{ended: true, acceptedAt: long, idleSince: long}, notEvictable},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, c.conn.evictionRank())
		})
	}
}

// A connection with an unread statement is not evicted, and the statement is handled.
func TestUnreadStatementPreventsEviction(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	for name, hasSentFrame := range map[string]bool{"first statement": false, "next statement": true} {
		t.Run(name, func(t *testing.T) {
			client := dial(t, listener.Addr().String())
			raw, err := listener.Accept()
			require.NoError(t, err)
			handler := newChanHandler()
			server := newTestServer(handler, 1<<20)
			conn := newConn(server, raw, server.flow.OpenPeer("x"), time.Now().Add(-time.Minute))
			conn.hasSentFrame = hasSentFrame
			server.register(conn)
			assert.NotEqual(t, notEvictable, conn.evictionRank())
			write(t, client, statementFrame(1))
			require.Eventually(t, func() bool { return conn.unreadBytes() > 0 }, eventTimeout, time.Millisecond)
			assert.Equal(t, notEvictable, conn.evictionRank())
			server.evictOne()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				conn.serve(t.Context())
			}()
			assert.Same(t, conn, await(t, handler.statements))
			client.Close()
			await(t, ended)
		})
	}
}
