package downstream

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"bankledge/internal/flowcontrol"
)

func TestParseFrame(t *testing.T) {
	whole := append(appendFrame(nil, frameStatement, 7, 2), "ab"...)
	length := func(n uint32) []byte { return append(binary.BigEndian.AppendUint32(nil, n), make([]byte, 16)...) }
	for _, c := range []struct {
		name string
		raw  []byte
		size int
		bad  bool
	}{
		{"whole", whole, 11, false},
		{"with the next one behind it", append(whole[:11:11], whole...), 11, false},
		{"nothing", nil, 0, false},
		{"part of a length", whole[:3], 0, false},
		{"part of a payload", whole[:10], 0, false},
		{"too short", length(minFrameLength - 1), 0, true},
		{"shortest", length(minFrameLength), 9, false},
		{"longest, not whole", length(maxFrameLength), 0, false},
		{"too long", length(maxFrameLength + 1), 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, size, err := parseFrame(c.raw)
			if c.bad {
				require.ErrorIs(t, err, ErrFraming)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, c.size, size)
			if c.size == 11 {
				assert.Equal(t, frame{frameStatement, 7, []byte("ab")}, f)
			}
		})
	}
}

func TestParseFields(t *testing.T) {
	for _, c := range []struct {
		name, raw string
		want      Fields
		rest, err string
	}{
		{"none", "\x00body", Fields{}, "body", ""},
		{"two", "\x02\x01c\x00\x02hi\x01d\x00\x00rest", Fields{"c": "hi", "d": ""}, "rest", ""},
		{"nothing at all", "", nil, "", "cut short"},
		{"no name", "\x01", nil, "", "cut short"},
		{"part of a name", "\x01\x05ab", nil, "", "cut short"},
		{"part of a size", "\x01\x01c\x00", nil, "", "cut short"},
		{"part of a value", "\x01\x01c\x00\x05hi", nil, "", "cut short"},
		{"one less than counted", "\x02\x01c\x00\x02hi", nil, "", "cut short"},
		{"twice", "\x02\x01c\x00\x00\x01c\x00\x00", nil, "", "twice"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, rest, err := parseFields([]byte(c.raw))
			if c.err != "" {
				require.ErrorContains(t, err, c.err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, c.want, got)
			assert.Equal(t, c.rest, string(rest))
		})
	}
}

func TestStreamsAreNewAndBounded(t *testing.T) {
	c := &Conn{openStreams: map[uint32]bool{}, usedOutOfOrder: map[uint32]bool{}}
	for _, s := range []struct {
		stream uint32
		isNew  bool
	}{{1, true}, {1, false}, {0, false}, {3, true}, {2, true}, {2, false}, {3, false}, {4_000_000_000, true}, {4, true}, {4_000_000_000, false}} {
		_, err := c.openStream(s.stream)
		assert.Equal(t, s.isNew, err == nil, "stream %d", s.stream)
	}
	assert.Equal(t, uint32(4), c.usedUpTo)
	for i := range uint32(10 * maxOutOfOrderStreams) {
		_, _ = c.openStream(10 + 2*i)
		require.LessOrEqual(t, len(c.usedOutOfOrder), maxOutOfOrderStreams)
	}
	why, err := c.openStream(3_000_000_000)
	assert.True(t, why == "too many open statements" && err == nil, "as many open as may be: %q", why)
	assert.Len(t, c.openStreams, maxOpenStatements)
}

func FuzzFrame(f *testing.F) {
	f.Add(append(appendFrame(nil, frameStatement, 1, 8), "\x01\x01c\x00\x02hi"...))
	f.Add([]byte(strings.Repeat("\xff", 12)))
	f.Fuzz(func(t *testing.T, raw []byte) {
		fr, size, err := parseFrame(raw)
		if err != nil || size == 0 {
			return
		}
		if _, rest, err := parseFields(fr.payload); err == nil && len(rest) > len(fr.payload) {
			t.Fatal("more came out than went in")
		}
	})
}

type nobody struct{}

func (nobody) HandleStatement(*Conn, uint32, Fields, []byte) bool { return true }
func (nobody) HandleCancel(*Conn, []uint32)                       {}
func (nobody) HandleBackpressure(*Conn, bool)                     {}
func (nobody) AbortOpenStatements(*Conn, string)                  {}
func (nobody) Ready() bool                                        { return true }

// Frames that are large and have not come whole share what room there is, and give it back.
func TestLargeFramesShareRoom(t *testing.T) {
	const room = maxFrameLength + 100
	f := New(nobody{}, 10, room, flowcontrol.DeriveLimits(64, 10), zap.NewNop())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Serve(ctx, listener) }()
	begin := func() net.Conn {
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = c.Write(appendFrame(nil, frameStatement, 1, maxFrameLength-minFrameLength))
		require.NoError(t, err)
		return c
	}
	first := begin()
	defer first.Close()
	require.Eventually(t, func() bool { return f.frameMemory.Load() < room }, 10*time.Second, time.Millisecond)
	second := begin()
	defer second.Close()
	said, err := io.ReadAll(second)
	require.NoError(t, err)
	assert.Contains(t, string(said), "no memory left for the frame")
	first.Close()
	require.Eventually(t, func() bool { return f.frameMemory.Load() == room }, 10*time.Second, time.Millisecond)
	cancel()
	listener.Close()
	require.NoError(t, <-ended)
}
