package discovery

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var errTestStream = errors.New("stream failed")

// controlledStream is a stream that the test opens or fails.
type controlledStream struct {
	result chan error
	closed <-chan struct{}
}

// newControlledStreams returns a pendingStreams and a channel of the streams that it opens.
func newControlledStreams(t *testing.T) (*pendingStreams, <-chan controlledStream) {
	opening := make(chan controlledStream, 100)
	pending := newPendingStreams(func(ctx context.Context, _ streamRequest) (*openedStream, error) {
		controlled := controlledStream{result: make(chan error, 1), closed: ctx.Done()}
		opening <- controlled
		select {
		case err := <-controlled.result:
			if err != nil {
				return nil, err
			}
			conn, _ := net.Pipe()
			return &openedStream{conn: &monitoredConn{Conn: conn}}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}, func() {})
	t.Cleanup(pending.stop)
	return pending, opening
}

// Guards against a feed that is never read, because each of its connections was closed before the feed responded: the oldest connection
// is kept, for longer and longer, while others are opened.
func TestSlowStreamIsKeptWhileOthersAreOpened(t *testing.T) {
	pending, opening := newControlledStreams(t)
	start := time.Now()
	now := start
	var open []controlledStream
	kept := time.Duration(0)
	for now.Sub(start) < 4*maxOldestWait {
		now = pending.nextOpenAt
		if now.IsZero() {
			now = start
		}
		pending.openIfDue(t.Context(), now, streamRequest{})
		open = append(open, await(t, opening))
		require.LessOrEqual(t, len(pending.pending), maxPending)
		require.LessOrEqual(t, pending.nextOpenAt.Sub(now), silenceTimeout, "others are opened all the time")
		kept = max(kept, now.Sub(pending.pending[0].openedAt))
	}
	assert.GreaterOrEqual(t, kept, maxOldestWait)
	stillOpen := 0
	for _, stream := range open {
		select {
		case <-stream.closed:
		default:
			stillOpen++
		}
	}
	assert.Equal(t, maxPending, stillOpen)
}

// The first stream that delivers a line is taken, and the others are closed. After a failure another one is opened.
func TestFirstStreamWithALineIsTaken(t *testing.T) {
	pending, opening := newControlledStreams(t)
	now := time.Now()
	assert.Zero(t, pending.openIfDue(t.Context(), now, streamRequest{}))
	slow := await(t, opening)
	now = now.Add(initialLineTimeout)
	assert.Equal(t, 1, pending.openIfDue(t.Context(), now, streamRequest{}))
	failing := await(t, opening)

	failing.result <- errTestStream
	await(t, pending.changed)
	opened, retryDelay, err := pending.takeOpened(now)
	assert.Nil(t, opened)
	assert.Zero(t, retryDelay)
	require.ErrorIs(t, err, errTestStream)
	pending.openIfDue(t.Context(), now, streamRequest{})
	third := await(t, opening)

	slow.result <- nil
	await(t, pending.changed)
	opened, _, err = pending.takeOpened(now)
	require.NoError(t, err)
	require.NotNil(t, opened)
	opened.close()
	await(t, third.closed)
	assert.Empty(t, pending.pending)
	assert.Equal(t, initialLineTimeout, pending.firstLineTimeout())
}
