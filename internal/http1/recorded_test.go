package http1

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var recordAnswers = flag.Bool("record-answers", false, "write testdata/answers.txt instead of comparing with it")

const (
	answersFile = "testdata/answers.txt"
	bodyLimit   = 64 // bytes
)

// recordedInputs returns valid and invalid responses. Each is the complete input of a connection, which then ends.
func recordedInputs() []string {
	const start = "HTTP/1.1 200 OK\r\n"
	const chunks = start + "Transfer-Encoding: chunked\r\n\r\n"
	return []string{
		start + "content-LENGTH: 5\r\n\r\nhello",
		start + "Content-Length: 0\r\n\r\n",
		start + "Content-Length:\t5 \r\n\r\nhello and more",
		start + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
		start + "Content-Length: 1\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		start + "A: 1\r\na: 2\r\nContent-Length: 0\r\n\r\n",
		start + "A:\r\nContent-Length: 0\r\n\r\n",
		start + "Connection: CLOSE\r\nContent-Length: 1\r\n\r\nx",
		start + "Connection: keep-alive\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.0 503 No\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 304 Same\r\n\r\n",
		"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + start + "Content-Length: 1\r\n\r\nx",
		strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 16) + start + "Content-Length: 0\r\n\r\n",
		strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 17) + start + "Content-Length: 0\r\n\r\n",
		chunks + "0\r\n\r\n",
		chunks + "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nT: 1\r\n\r\n",
		chunks + " A \r\n0123456789\r\n000\r\n\r\n",
		chunks + "40\r\n" + strings.Repeat("x", 64) + "\r\n0\r\n\r\n",
		chunks + "41\r\n" + strings.Repeat("x", 65) + "\r\n0\r\n\r\n",
		chunks + "zz\r\n",
		chunks + "-1\r\n",
		chunks + "\r\n",
		chunks + "1\r\nxy\r\n0\r\n\r\n",
		chunks + "1\r\nx",
		chunks + "1\r\nx0\r\n\r\n",
		chunks + strings.Repeat("1", 300),
		chunks + "1;" + strings.Repeat("x", 254) + "\r\nx\r\n0\r\n\r\n",
		chunks + "1;" + strings.Repeat("x", 255) + "\r\nx\r\n0\r\n\r\n",
		chunks + "0\r\n" + strings.Repeat("T: 1\r\n", 64) + "\r\n",
		chunks + "0\r\n" + strings.Repeat("T: 1\r\n", 65) + "\r\n",
		chunks + "5\r\nhel",
		chunks + "5",
		start + "Content-Length: 64\r\n\r\n" + strings.Repeat("x", 64),
		start + "Content-Length: 65\r\n\r\n" + strings.Repeat("x", 65),
		start + "Content-Length: 3000000000\r\n\r\nx",
		start + "Content-Length: 99999999999999999999\r\n\r\nx",
		start + "Content-Length: 5, 5\r\n\r\nhello",
		start + "Content-Length: -1\r\n\r\n",
		start + "Content-Length: +1\r\n\r\nx",
		start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
		start + "Transfer-Encoding: gzip\r\n\r\n",
		start + "Transfer-Encoding: gzip, chunked\r\n\r\n",
		start + "\r\nhello",
		start + "Connection: close\r\n\r\nhello",
		start + "what\r\n\r\n",
		start + ": x\r\n\r\n",
		start + "a b: x\r\n\r\n",
		start + " folded: x\r\n\r\n",
		start + "Content-Le",
		start + "Content-Length: 5\r\n\r\nhel",
		start + "A: " + strings.Repeat("x", 16<<10) + "\r\n\r\n",
		strings.Repeat("x", 16<<10),
		"",
		"\r\n\r\n",
		"so what\r\n\r\n",
		"HTTP/2 200 OK\r\n\r\n",
		"HTTP/1.1 20 OK\r\n\r\n",
		"HTTP/1.1 099 OK\r\n\r\n",
		"HTTP/1.1 2000 OK\r\n\r\n",
		"HTTP/1.1 +20 OK\r\n\r\n",
		"http/1.1 200 OK\r\n\r\n",
	}
}

// describeResponse reads a response and describes the result, including the complete text of an error.
func describeResponse(input string) string {
	reader := NewReader(iotest.OneByteReader(strings.NewReader(input)))
	header, body, err := reader.ReadResponse(bodyLimit)
	shown := input
	if len(shown) > 400 {
		shown = fmt.Sprintf("%s... (%d bytes)", shown[:100], len(shown))
	}
	return fmt.Sprintf("%q\n  status %d, close %t, body %q, error: %v, malformed: %t\n", shown, header.Status, header.Close, body, err, errors.Is(err, ErrMalformed))
}

func TestRecordedAnswers(t *testing.T) {
	var described strings.Builder
	for _, input := range recordedInputs() {
		described.WriteString(describeResponse(input))
	}
	if *recordAnswers {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(answersFile, []byte(described.String()), 0o644))
		return
	}
	recorded, err := os.ReadFile(answersFile)
	require.NoError(t, err)
	assert.Equal(t, string(recorded), described.String())
}
