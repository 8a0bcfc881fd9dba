package http1

import (
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const okStatusLine = "HTTP/1.1 200 OK\r\n"

func TestReadResponse(t *testing.T) {
	for _, c := range []struct {
		name, in, body, err string
		status              int
		close               bool
	}{
		{"with a length", okStatusLine + "content-LENGTH: 5\r\n\r\nhello", "hello", "", 200, false},
		{"empty", okStatusLine + "Content-Length: 0\r\n\r\n", "", "", 200, false},
		{"chunked", okStatusLine + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nT: 1\r\n\r\n", "hello", "", 200, false},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", "", "", 204, false},
		{"a body that ends with the connection", okStatusLine + "Connection: Close\r\n\r\nhello", "", "without an end", 200, true},
		{"the last response before the connection closes", okStatusLine + "Connection: Close\r\nContent-Length: 5\r\n\r\nhello", "hello", "", 200, true},
		{"a length beyond the limit with a short body", okStatusLine + "Content-Length: 3000000000\r\n\r\nx", "", "over 64 bytes", 200, false},
		{"a length that is not a number", okStatusLine + "Content-Length: 5, 5\r\n\r\nhello", "", "length", 200, false},
		{"too many interim responses", strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 30) + okStatusLine + "Content-Length: 0\r\n\r\n", "", "interim", 0, false},
		{"after an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + okStatusLine + "Content-Length: 1\r\n\r\nx", "x", "", 200, false},
		{"HTTP/1.0", "HTTP/1.0 503 No\r\nContent-Length: 0\r\n\r\n", "", "", 503, true},
		{"truncated in the header", okStatusLine + "Content-Le", "", "EOF", 0, false},
		{"truncated in the body", okStatusLine + "Content-Length: 5\r\n\r\nhel", "", "EOF", 200, false},
		{"truncated in a chunk", okStatusLine + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel", "", "EOF", 200, false},
		{"body over the limit", okStatusLine + "Content-Length: 99\r\n\r\n" + strings.Repeat("x", 99), "", "over 64 bytes", 200, false},
		{"header over the limit", okStatusLine + "A: " + strings.Repeat("x", maxHeaderBytes) + "\r\n\r\n", "", "headers over", 0, false},
		{"not HTTP", "so what\r\n\r\n", "", "status line", 0, false},
		{"status of two digits", "HTTP/1.1 20 OK\r\n\r\n", "", "status line", 0, false},
		{"a header with no colon", okStatusLine + "what\r\n\r\n", "", "header line", 0, false},
		{"two lengths", okStatusLine + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx", "", "two lengths", 0, false},
		{"a length below 0", okStatusLine + "Content-Length: -1\r\n\r\n", "", "length", 200, false},
		{"an unknown coding", okStatusLine + "Transfer-Encoding: gzip\r\n\r\n", "", "transfer coding", 200, false},
		{"an invalid chunk size", okStatusLine + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "", "chunk size", 200, false},
		{"a chunk line over the limit", okStatusLine + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1", 300), "", "chunk line", 200, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			header, body, err := NewReader(iotest.OneByteReader(strings.NewReader(c.in))).ReadResponse(64)
			if c.err != "" {
				require.ErrorContains(t, err, c.err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, c.status, header.Status)
			assert.Equal(t, c.close, header.Close)
			assert.Equal(t, c.body, string(body))
		})
	}
}

func TestReadConsecutiveResponses(t *testing.T) {
	r := NewReader(strings.NewReader(okStatusLine + "Content-Length: 1\r\n\r\na" + okStatusLine + "X: y\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n" +
		okStatusLine + "Content-Length: 1\r\n\r\nc"))
	for _, want := range []string{"a", "b", "c"} {
		_, body, err := r.ReadResponse(64)
		require.NoError(t, err)
		assert.Equal(t, want, string(body))
	}
	assert.False(t, r.Buffered())
}

func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{okStatusLine + "Content-Length: 1\r\n\r\na", okStatusLine + "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n", "HTTP/1.1 204 \r\n\r\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, in string) {
		_, body, err := NewReader(strings.NewReader(in)).ReadResponse(64)
		if err == nil && len(body) > 64 {
			t.Fatalf("body of %d bytes exceeds the limit", len(body))
		}
	})
}
