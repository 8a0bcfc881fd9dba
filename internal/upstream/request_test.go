package upstream

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against memory that is not accounted: each attempt copied the statement's text, however large, into its request.
func TestLargeBodyIsNotCopied(t *testing.T) {
	for _, size := range []int{maxCopiedBody, maxCopiedBody + 1, 240_000} {
		body := bytes.Repeat([]byte("x"), size)
		sent := formatRequest(http.MethodPost, startPath, "host", body, headerField{"A", "b"})
		assert.Equal(t, size > maxCopiedBody, len(sent.body) > 0)
		if len(sent.body) > 0 {
			assert.Same(t, &body[0], &sent.body[0])
		}
		router, engine := net.Pipe()
		received := make(chan []byte, 1)
		go func() {
			all, _ := io.ReadAll(engine)
			received <- all
		}()
		written, err := sent.writeTo(router)
		require.NoError(t, err)
		assert.True(t, written)
		router.Close()
		assert.Equal(t, "POST /x HTTP/1.1\r\nHost: host\r\nA: b\r\n\r\n"+string(body), string(<-received))
	}
}
