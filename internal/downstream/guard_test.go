package downstream

import (
	"bufio"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/invariant"
)

// A second answer on a stream is counted and does not come to the client.
func TestASecondAnswerIsNotSent(t *testing.T) {
	f, k, address := serve(t)
	c := dial(t, address)
	r := bufio.NewReader(c)
	_, err := c.Write(frameOf(1))
	require.NoError(t, err)
	conn := await(t, k.took)
	conn.Answer(1, CodeCompleted, nil)
	assert.Equal(t, uint32(1), readFrame(t, r).stream)
	require.Eventually(t, func() bool { return !conn.hasOpenStreams() }, patience, time.Millisecond) // its write has returned
	assert.Zero(t, f.Violations.Total())
	conn.Answer(1, CodeAborted, nil)
	assert.Equal(t, int64(1), f.Violations.Recorded(invariant.OneAnswer))
	_, err = c.Write(appendFrame(nil, frameReadinessQuery, 0, 0)) // what comes next is the answer to that
	require.NoError(t, err)
	assert.Equal(t, byte(frameReadinessReply), readFrame(t, r).kind)
}

// A connection that this side closes while a request on it is owed an answer is counted, but for one that its client has closed.
func TestACloseThatLosesARequestIsCounted(t *testing.T) {
	for why, counted := range map[closeReason]int64{closeEvicted: 1, closeIdle: 1, closeByClient: 0} {
		f, k, address := serve(t)
		c := dial(t, address)
		_, err := c.Write(frameOf(1))
		require.NoError(t, err)
		conn := await(t, k.took)
		conn.setCloseReason(why)
		require.NoError(t, conn.raw.Close())
		assert.Equal(t, uint32(1), await(t, k.left))
		assert.Equal(t, counted, f.Violations.Recorded(invariant.NoLostRequest), why)
	}
}
