package downstream

import (
	"encoding/binary"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParseFrame(t *testing.T) {
	complete := append(appendFrame(nil, frameStatement, 7, 2), "ab"...)
	withLength := func(n uint32) []byte { return append(binary.BigEndian.AppendUint32(nil, n), make([]byte, 16)...) }
	for _, c := range []struct {
		name    string
		raw     []byte
		size    int
		invalid bool
	}{
		{"complete", complete, 11, false},
		{"followed by the next frame", append(complete[:11:11], complete...), 11, false},
		{"empty input", nil, 0, false},
		{"part of a length", complete[:3], 0, false},
		{"part of a payload", complete[:10], 0, false},
		{"too short", withLength(minFrameLength - 1), 0, true},
		{"shortest", withLength(minFrameLength), 9, false},
		{"longest, incomplete", withLength(maxFrameLength), 0, false},
		{"too long", withLength(maxFrameLength + 1), 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, size, err := parseFrame(c.raw)
			if c.invalid {
				require.ErrorIs(t, err, errFraming)
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
	duplicate := &duplicateFieldError{"c"}
	for _, c := range []struct {
		name, raw string
		want      Fields
		rest      string
		err       error
	}{
		{"no fields", "\x00body", Fields{}, "body", nil},
		{"two fields", "\x02\x01c\x00\x02hi\x01d\x00\x00rest", Fields{"c": "hi", "d": ""}, "rest", nil},
		{"empty payload", "", nil, "", errFieldsTruncated},
		{"no name", "\x01", nil, "", errFieldsTruncated},
		{"part of a name", "\x01\x05ab", nil, "", errFieldsTruncated},
		{"part of a value length", "\x01\x01c\x00", nil, "", errFieldsTruncated},
		{"part of a value", "\x01\x01c\x00\x05hi", nil, "", errFieldsTruncated},
		{"fewer fields than counted", "\x02\x01c\x00\x02hi", nil, "", errFieldsTruncated},
		{"duplicate field", "\x02\x01c\x00\x00\x01c\x00\x00", nil, "", duplicate},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, rest, err := parseFields([]byte(c.raw))
			if c.err != nil {
				assert.Equal(t, c.err, err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, c.want, got)
			assert.Equal(t, c.rest, string(rest))
		})
	}
}

func FuzzFrame(f *testing.F) {
	f.Add(append(appendFrame(nil, frameStatement, 1, 8), "\x01\x01c\x00\x02hi"...))
	f.Add([]byte(strings.Repeat("\xff", 12)))
	f.Fuzz(func(t *testing.T, raw []byte) {
		parsed, size, err := parseFrame(raw)
		if err != nil || size == 0 {
			return
		}
		if _, rest, err := parseFields(parsed.payload); err == nil && len(rest) > len(parsed.payload) {
			t.Fatal("the rest is longer than the payload")
		}
	})
}
