package downstream

import (
	"bufio"
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAcceptPending(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	assert.False(t, AcceptPending(listener))
	client := dial(t, listener.Addr().String())
	require.Eventually(t, func() bool { return AcceptPending(listener) }, eventTimeout, time.Millisecond)
	_, err = listener.Accept()
	require.NoError(t, err)
	assert.False(t, AcceptPending(listener))
	client.Close()
	listener.Close()
	assert.False(t, AcceptPending(listener))
}

// Connections that are not accepted yet and unread input are counted, since they may carry statements that arrived before the shutdown.
func TestPendingReads(t *testing.T) {
	server, handler, address := serve(t)
	gate := make(chan struct{})
	hook := func(*Conn) { <-gate }
	handler.beforeCancel.Store(&hook)
	client := dial(t, address)
	write(t, client, statementFrame(1), cancelFrame(1))
	await(t, handler.statements)
	assert.Zero(t, server.PendingReads())
	write(t, client, statementFrame(2)) // the reader is blocked at the gate
	require.Eventually(t, func() bool { return server.PendingReads() == 1 }, eventTimeout, time.Millisecond)
	close(gate)
	await(t, handler.statements)
	assert.Zero(t, server.PendingReads())
	for range maxTestConnections - 1 { // clients that wait for an answer take all slots
		write(t, dial(t, address), statementFrame(1))
		await(t, handler.statements)
	}
	dial(t, address)
	require.Eventually(t, func() bool { return server.PendingReads() == 1 }, eventTimeout, time.Millisecond)
}

// Bytes in the kernel's send buffer that the client has not acknowledged count as pending, since the kernel may drop them if the router
// exits.
func TestUnacknowledgedAnswersArePendingWrites(t *testing.T) {
	server, handler, address := serve(t)
	client := dialSmallBuffer(t, address)
	write(t, client, statementFrame(1))
	conn := await(t, handler.statements)
	body := bytes.Repeat([]byte("row\n"), 12_000)
	conn.Answer(1, CodeCompleted, body)
	require.Eventually(t, conn.flushed, eventTimeout, time.Millisecond, "the answer was passed to the kernel")
	assert.Positive(t, server.PendingWrites())
	rankWhenIdle := func() evictionRank {
		conn.mu.Lock()
		conn.idleSince = time.Now().Add(-time.Minute)
		conn.mu.Unlock()
		return conn.evictionRank()
	}
	assert.Equal(t, notEvictable, rankWhenIdle(), "the connection may not be evicted")
	assert.Equal(t, body, readFrame(t, bufio.NewReader(client)).payload[answerHeadBytes:])
	require.Eventually(t, func() bool { return server.PendingWrites() == 0 }, eventTimeout, time.Millisecond)
	assert.Equal(t, evictIdle, rankWhenIdle())
}
