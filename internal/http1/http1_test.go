package http1

import (
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const ok = "HTTP/1.1 200 OK\r\n"

func TestAnswer(t *testing.T) {
	for _, c := range []struct {
		name, in, body, err string
		status              int
		close               bool
	}{
		{"with a length", ok + "content-LENGTH: 5\r\n\r\nhello", "hello", "", 200, false},
		{"empty", ok + "Content-Length: 0\r\n\r\n", "", "", 200, false},
		{"chunked", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nT: 1\r\n\r\n", "hello", "", 200, false},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", "", "", 204, false},
		{"until the end", ok + "Connection: Close\r\n\r\nhello", "", "without an end", 200, true},
		{"the last before the end", ok + "Connection: Close\r\nContent-Length: 5\r\n\r\nhello", "hello", "", 200, true},
		{"a claim beyond the limit, of which little comes", ok + "Content-Length: 3000000000\r\n\r\nx", "", "over 64 bytes", 200, false},
		{"a length that is no number", ok + "Content-Length: 5, 5\r\n\r\nhello", "", "length", 200, false},
		{"interim answers without end", strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 30) + ok + "Content-Length: 0\r\n\r\n", "", "interim", 0, false},
		{"after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 1\r\n\r\nx", "x", "", 200, false},
		{"old", "HTTP/1.0 503 No\r\nContent-Length: 0\r\n\r\n", "", "", 503, true},
		{"cut in the head", ok + "Content-Le", "", "EOF", 0, false},
		{"cut in the body", ok + "Content-Length: 5\r\n\r\nhel", "", "EOF", 200, false},
		{"cut in a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel", "", "EOF", 200, false},
		{"body over the limit", ok + "Content-Length: 99\r\n\r\n" + strings.Repeat("x", 99), "", "over 64 bytes", 200, false},
		{"head over the limit", ok + "A: " + strings.Repeat("x", maxHeaderBytes) + "\r\n\r\n", "", "headers over", 0, false},
		{"no HTTP", "so what\r\n\r\n", "", "status line", 0, false},
		{"status of two digits", "HTTP/1.1 20 OK\r\n\r\n", "", "status line", 0, false},
		{"a header with no colon", ok + "what\r\n\r\n", "", "header line", 0, false},
		{"two lengths", ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx", "", "two lengths", 0, false},
		{"a length below 0", ok + "Content-Length: -1\r\n\r\n", "", "length", 200, false},
		{"an unknown coding", ok + "Transfer-Encoding: gzip\r\n\r\n", "", "transfer coding", 200, false},
		{"an odd chunk size", ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "", "chunk size", 200, false},
		{"an endless chunk line", ok + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1", 300), "", "chunk line", 200, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			head, body, err := NewReader(iotest.OneByteReader(strings.NewReader(c.in))).ReadResponse(64)
			if c.err != "" {
				require.ErrorContains(t, err, c.err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, c.status, head.Status)
			assert.Equal(t, c.close, head.Close)
			assert.Equal(t, c.body, string(body))
		})
	}
}

func TestAnswersFollowOneAnother(t *testing.T) {
	r := NewReader(strings.NewReader(ok + "Content-Length: 1\r\n\r\na" + ok + "X: y\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n" +
		ok + "Content-Length: 1\r\n\r\nc"))
	for _, want := range []string{"a", "b", "c"} {
		_, body, err := r.ReadResponse(64)
		require.NoError(t, err)
		assert.Equal(t, want, string(body))
	}
	assert.False(t, r.Buffered())
}

func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{ok + "Content-Length: 1\r\n\r\na", ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n", "HTTP/1.1 204 \r\n\r\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, in string) {
		_, body, err := NewReader(strings.NewReader(in)).ReadResponse(64)
		if err == nil && len(body) > 64 {
			t.Fatalf("%d bytes of body", len(body))
		}
	})
}
