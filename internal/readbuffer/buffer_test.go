package readbuffer

import (
	"bytes"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestBuffer(t *testing.T) {
	for _, c := range []struct {
		name          string
		size, maxSize int
		discard       int // bytes discarded at a time, once there are as many
		err           error
	}{
		{"small pieces", 10_000, initialSize, 7, nil},
		{"grows as needed", 100_000, 200_000, 100_000, nil},
		{"compacts in place, so that the rest always fits", 90_000, initialSize, initialSize - 1, nil},
		{"larger than the maximum size", 100_000, 50_000, 100_000, ErrFull},
	} {
		t.Run(c.name, func(t *testing.T) {
			want := bytes.Repeat([]byte("0123456789"), c.size/10)
			in := iotest.HalfReader(bytes.NewReader(want))
			b := New(c.maxSize)
			var got []byte
			for len(got) < len(want) {
				if n := min(c.discard, len(want)-len(got)); len(b.Bytes()) >= n {
					got = append(got, b.Bytes()[:n]...)
					b.Discard(n)
					continue
				}
				if _, err := b.Fill(in); err != nil {
					require.ErrorIs(t, err, c.err)
					return
				}
				require.LessOrEqual(t, len(b.data), c.maxSize)
			}
			require.NoError(t, c.err)
			assert.Equal(t, want, got)
			assert.LessOrEqual(t, len(b.data), maxRetainedSize, "a large buffer is released")
		})
	}
}

// A buffer grows to what can be read, at least to twice its size, and no further than its content needs.
func TestGrownSize(t *testing.T) {
	b := New(100 * initialSize)
	b.Grow(initialSize)
	b.end = initialSize
	for _, c := range []struct{ available, content, want int }{
		{0, 100 * initialSize, 2 * initialSize},
		{0, initialSize + 1, initialSize + 1},
		{10 * initialSize, 100 * initialSize, 11 * initialSize},
		{10 * initialSize, 5 * initialSize, 5 * initialSize},
		{1000 * initialSize, 1000 * initialSize, 100 * initialSize},
	} {
		assert.Equal(t, c.want, b.GrownSize(c.available, c.content))
	}
}
