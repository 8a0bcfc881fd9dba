package downstream

import (
	"bufio"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/invariant"
)

// A second answer on a stream is recorded and not sent to the client.
func TestSecondAnswerIsDropped(t *testing.T) {
	server, handler, address := serve(t)
	client := dial(t, address)
	r := bufio.NewReader(client)
	write(t, client, statementFrame(1))
	conn := await(t, handler.statements)
	conn.Answer(1, CodeCompleted, nil)
	assert.Equal(t, uint32(1), readFrame(t, r).stream)
	require.Eventually(t, func() bool { return !conn.hasOpenStreams() }, eventTimeout, time.Millisecond) // the write of the answer has returned
	assert.Zero(t, server.Violations.Total())
	conn.Answer(1, CodeAborted, nil)
	assert.Equal(t, int64(1), server.Violations.Count(invariant.OneAnswer))
	write(t, client, appendFrame(nil, frameReadinessQuery, 0, 0)) // the reply must be the next frame
	assert.Equal(t, frameReadinessReply, readFrame(t, r).kind)
}

// Closing a connection with an unanswered statement is recorded as a violation if the router closes it, but not if the client does.
func TestLostStatementIsRecorded(t *testing.T) {
	for reason, recorded := range map[closeReason]int64{closeEvicted: 1, closeIdle: 1, closeByClient: 0} {
		t.Run(string(reason), func(t *testing.T) {
			server, handler, address := serve(t)
			client := dial(t, address)
			write(t, client, statementFrame(1))
			conn := await(t, handler.statements)
			conn.setCloseReason(reason)
			require.NoError(t, conn.raw.Close())
			assert.Equal(t, uint32(1), await(t, handler.cancelled))
			assert.Equal(t, recorded, server.Violations.Count(invariant.NoLostRequest))
		})
	}
}

// A statement that arrives while its client is being disconnected as too slow is rejected. It was not handled, so a retry is harmless.
func TestStatementOfSlowClientIsRejected(t *testing.T) {
	_, handler, address := serve(t)
	client := dial(t, address)
	write(t, client, statementFrame(1))
	conn := await(t, handler.statements)
	conn.mu.Lock()
	conn.disconnectedAt = time.Now()
	conn.mu.Unlock()
	write(t, client, statementFrame(2))
	got := readFrame(t, bufio.NewReader(client))
	assert.Equal(t, frameAnswer, got.kind)
	assert.Equal(t, uint32(2), got.stream)
	assert.Equal(t, CodeRejected, Code(got.payload[0]))
	assert.Empty(t, handler.statements)
}
