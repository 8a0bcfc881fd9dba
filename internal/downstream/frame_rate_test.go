package downstream

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against late answers to all clients: one client that sent cancel frames at full speed occupied the router's core.
func TestCancelFramesAreReadAtALimitedRate(t *testing.T) {
	const frames = 10_000
	server, handler, address := serve(t)
	client := dial(t, address)
	began := time.Now()
	write(t, client, statementFrame(1), bytes.Repeat(cancelFrame(7), frames), cancelFrame(1), appendFrame(nil, frameReadinessQuery, 0, 0))
	await(t, handler.statements)
	assert.Equal(t, uint32(1), await(t, handler.cancelled), "a cancel of an open statement is handled")
	assert.Equal(t, frameReadinessReply, readFrame(t, bufio.NewReader(client)).kind)
	assert.Greater(t, time.Since(began), 500*time.Millisecond)
	stats, _ := server.FlowControlStats()
	assert.Positive(t, stats.ReadDelays)
}

// A client that cancels some statements is not slowed down.
func TestFewCancelFramesAreNotDelayed(t *testing.T) {
	server, handler, address := serve(t)
	client := dial(t, address)
	for stream := uint32(1); stream <= 100; stream++ {
		write(t, client, statementFrame(stream), cancelFrame(stream))
		conn := await(t, handler.statements)
		await(t, handler.cancelled)
		conn.CloseStream(stream)
	}
	stats, _ := server.FlowControlStats()
	assert.Zero(t, stats.ReadDelays)
}
