package downstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestOpenStream(t *testing.T) {
	c := newConn(nil, nil, nil, time.Now())
	for _, s := range []struct {
		stream uint32
		isNew  bool
	}{
		{1, true},
		{1, false},
		{0, false},
		{3, true},
		{2, true},
		{2, false},
		{3, false},
		{4_000_000_000, true},
		{4, true},
		{4_000_000_000, false},
	} {
		err := c.openStream(s.stream)
		if s.isNew {
			require.NoError(t, err, "stream %d", s.stream)
			continue
		}
		var used *streamUsedError
		require.ErrorAs(t, err, &used)
		assert.Equal(t, s.stream, used.stream)
	}
	assert.Equal(t, uint32(4), c.usedStreams.upTo)
	for i := range uint32(10 * maxOutOfOrderStreams) {
		_ = c.openStream(10 + 2*i)
		require.LessOrEqual(t, len(c.usedStreams.outOfOrder), maxOutOfOrderStreams)
	}
	require.ErrorIs(t, c.openStream(3_000_000_000), errTooManyOpen)
	assert.Len(t, c.openStreams, maxOpenStatements)
}
