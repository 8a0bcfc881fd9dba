package downstream

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// largeFrame returns a statement of size bytes.
func largeFrame(stream uint32, size int) []byte {
	return append(appendFrame(nil, frameStatement, stream, size-frameHeadBytes), make([]byte, size-frameHeadBytes)...)
}

func frameBytes(server *Server) int64 {
	_, usage := server.FlowControlStats()
	return usage.FrameBytes
}

// writeParts has clients that each write the given part of a large statement on stream 1, and waits until the server has read it.
func writeParts(t *testing.T, server *Server, address string, clients int, part []byte) []net.Conn {
	t.Helper()
	conns := make([]net.Conn, clients)
	for i := range conns {
		conns[i] = dial(t, address)
		write(t, conns[i], part)
		require.Eventually(t, func() bool { return len(server.snapshot()) == i+1 && unreadByServer(server) == 0 }, eventTimeout, time.Millisecond)
	}
	return conns
}

func unreadByServer(server *Server) (unread int) {
	for _, c := range server.snapshot() {
		unread += c.unreadBytes()
	}
	return unread
}

// completingHandler answers each statement at once.
type completingHandler struct{ nopHandler }

func (completingHandler) HandleStatement(c *Conn, stream uint32, _ Fields, _ []byte) bool {
	c.Answer(stream, CodeCompleted, nil)
	return true
}

// Guards against lost statements: clients that wrote large statements slowly used up the memory for frames, and other clients' connections
// were ended although their statements had arrived completely.
func TestCompleteStatementIsHandledDespiteSlowWriters(t *testing.T) {
	const memory = 256 << 10
	server := newTestServer(completingHandler{}, memory)
	address := listenAndServe(t, server)
	slow := largeFrame(1, 250_000)
	const part = 100_000
	slowClients := writeParts(t, server, address, maxTestConnections-1, slow[:part])
	sound := dial(t, address)
	write(t, sound, largeFrame(1, 40_000))
	answer := readFrame(t, bufio.NewReader(sound))
	assert.Equal(t, CodeCompleted, Code(answer.payload[0]))
	assert.LessOrEqual(t, frameBytes(server), int64(memory))

	for _, client := range slowClients { // each gets an answer once its statement is complete, and can send another one
		write(t, client, slow[part:], statementFrame(2))
		answers := bufio.NewReader(client)
		assert.Equal(t, uint32(1), readFrame(t, answers).stream)
		answer := readFrame(t, answers)
		assert.Equal(t, uint32(2), answer.stream)
		assert.Equal(t, CodeCompleted, Code(answer.payload[0]))
	}
	require.Eventually(t, func() bool { return frameBytes(server) == 0 }, eventTimeout, time.Millisecond)
}

// A statement for which no memory is left is rejected on its stream once it is complete, and a cancel frame after it is handled.
func TestStatementWithoutFrameMemoryIsRejected(t *testing.T) {
	server, handler, address := serveWithFrameMemory(t, 5000)
	client := dial(t, address)
	write(t, client, statementFrame(1), largeFrame(2, 100_000), cancelFrame(1), largeFrame(2, 100_000))
	await(t, handler.statements)
	answers := bufio.NewReader(client)
	rejection := readFrame(t, answers)
	assert.Equal(t, uint32(2), rejection.stream)
	assert.Equal(t, CodeRejected, Code(rejection.payload[0]))
	assert.Contains(t, string(rejection.payload), errNoFrameMemory.Error())
	assert.Equal(t, uint32(1), await(t, handler.cancelled))
	used := readFrame(t, answers)
	assert.Zero(t, used.stream, "stream 2 is not new, so its second statement has no answer of its own")
	assert.Empty(t, handler.statements)
	stats, _ := server.FlowControlStats()
	assert.Equal(t, int64(2), stats.SkippedFrames)
}

// Incomplete large frames stay within their memory, which is released when their connections end.
func TestIncompleteFramesStayWithinMemory(t *testing.T) {
	const memory = 600 << 10
	server, _, address := serveWithFrameMemory(t, memory)
	clients := writeParts(t, server, address, maxTestConnections, largeFrame(1, frameHeadBytes-minFrameLength+maxFrameLength)[:200_000])
	assert.LessOrEqual(t, frameBytes(server), int64(memory))
	assert.Positive(t, frameBytes(server))
	for _, client := range clients {
		client.Close()
	}
	require.Eventually(t, func() bool { return frameBytes(server) == 0 }, eventTimeout, time.Millisecond)
}

// A stalled client from which nothing is read gives back the memory of its incomplete frame.
func TestStalledClientReleasesFrameMemory(t *testing.T) {
	const memory = 256 << 10
	server, handler, address := serveWithFrameMemory(t, memory)
	stalled := writeParts(t, server, address, 1, largeFrame(1, 250_000)[:130_000])[0]
	conn := server.snapshot()[0]
	conn.mu.Lock()
	conn.stalled = true
	conn.mu.Unlock()
	write(t, stalled, []byte("x")) // the reader handles it and then waits
	require.Eventually(t, func() bool { return conn.unreadBytes() == 0 }, eventTimeout, time.Millisecond)
	sound := dial(t, address)
	write(t, sound, largeFrame(1, 100_000))
	assert.NotSame(t, conn, await(t, handler.statements))
}
