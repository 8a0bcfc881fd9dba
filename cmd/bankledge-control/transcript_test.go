package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "overwrite the recordings under testdata instead of comparing with them")

// transcript records exchanges with a control group and compares them with a file under testdata. Values that differ from run to run are
// replaced by placeholders; everything else is compared byte for byte.
type transcript struct {
	t         *testing.T
	text      strings.Builder
	addresses map[string]string // address -> its placeholder in the recording
	tokens    map[string]string // hash, lineage or id -> its placeholder in the recording
}

func newTranscript(t *testing.T) *transcript {
	return &transcript{t: t, addresses: map[string]string{}, tokens: map[string]string{}}
}

var (
	hexToken = regexp.MustCompile(`\b([0-9a-f]{64}|[0-9a-f]{32}|[0-9a-f]{16}|[0-9a-f]{12})\b`)
	// encoding/json's errors about a value of the wrong type contain names of Go types, which the recordings do not compare.
	goType   = regexp.MustCompile(`(Go value of type |of type |Go struct field )[\w.\[\]*]*?\b[A-Z]\w*`)
	variable = regexp.MustCompile(`"(disk_bytes|left|ago|term)":\d+`)
	date     = regexp.MustCompile(`(?m)^Date: .*$`)
	length   = regexp.MustCompile(`(?m)^Content-Length: \d+`)
	elapsed  = regexp.MustCompile(`after [\d.]+m?s`)
	table    = regexp.MustCompile(` {2,}`)
	protobuf = regexp.MustCompile("proto:[ \u00a0]")
)

// normalize replaces values that differ from run to run by placeholders; equal values have the same placeholder throughout the recording.
func (r *transcript) normalize(text string) string {
	for address, name := range r.addresses {
		text = strings.ReplaceAll(text, address, name)
	}
	text = hexToken.ReplaceAllStringFunc(text, func(token string) string {
		if r.tokens[token] == "" {
			r.tokens[token] = fmt.Sprintf("<%d-hex-%d>", len(token), len(r.tokens)+1)
		}
		return r.tokens[token]
	})
	if variable.MatchString(text) || protobuf.MatchString(text) { // protobuf's error texts contain one of two kinds of space, depending on the build
		text = length.ReplaceAllString(text, "Content-Length: <length>")
	}
	text = variable.ReplaceAllString(text, `"$1":<number>`)
	text = goType.ReplaceAllString(text, "$1<type>")
	text = date.ReplaceAllString(text, "Date: <date>")
	text = elapsed.ReplaceAllString(text, "after <duration>")
	return protobuf.ReplaceAllString(text, "proto: ")
}

func (r *transcript) appendLine(format string, args ...any) {
	r.text.WriteString(r.normalize(fmt.Sprintf(format, args...)) + "\n")
}

// compare compares the recording with the file, or overwrites the file if -update is set.
func (r *transcript) compare(name string) {
	r.t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(r.t, os.WriteFile(path, []byte(r.text.String()), 0o644))
		return
	}
	raw, err := os.ReadFile(path)
	require.NoError(r.t, err)
	want, got := strings.Split(string(raw), "\n"), strings.Split(r.text.String(), "\n")
	for i := range max(len(want), len(got)) {
		if i >= len(want) || i >= len(got) || want[i] != got[i] {
			r.t.Fatalf("%s:%d: differs from the recording:\nwant %q\ngot  %q", path, i+1, want[min(i, len(want)):min(i+3, len(want))], got[min(i, len(got)):min(i+3, len(got))])
		}
	}
}

// connection is an HTTP connection whose responses are read as raw bytes.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

// send writes a request and returns the head of the response.
func (r *transcript) send(address, request, headers, body string) (*connection, string) {
	r.t.Helper()
	conn, err := net.DialTimeout("tcp", address, 10*time.Second)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { conn.Close() })
	require.NoError(r.t, conn.SetDeadline(time.Now().Add(60*time.Second)))
	_, err = fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: group\r\n%sContent-Length: %d\r\n\r\n%s", request, headers, len(body), body)
	require.NoError(r.t, err)
	c := &connection{conn, bufio.NewReader(conn)}
	var head strings.Builder
	for !strings.HasSuffix(head.String(), "\r\n\r\n") {
		line, err := c.reader.ReadString('\n')
		require.NoError(r.t, err, request)
		head.WriteString(line)
	}
	return c, strings.ReplaceAll(head.String(), "\r\n", "\n")
}

// exchange sends a request and returns the head and the body of the response, without replacing any values.
func (r *transcript) exchange(address, request, headers, body string) (head, response string) {
	r.t.Helper()
	conn, head := r.send(address, request, headers, body)
	defer conn.Close()
	size := 0
	if match := regexp.MustCompile(`Content-Length: (\d+)`).FindStringSubmatch(head); match != nil {
		size, _ = strconv.Atoi(match[1])
	}
	raw := make([]byte, size)
	_, err := io.ReadFull(conn.reader, raw)
	require.NoError(r.t, err, request)
	return head, string(raw)
}

// recordExchange records an exchange and returns the body of the response.
func (r *transcript) recordExchange(address, request, body string) string {
	r.t.Helper()
	return r.recordExchangeWithHeaders(address, request, "", body)
}

func (r *transcript) recordExchangeWithHeaders(address, request, headers, body string) string {
	r.t.Helper()
	head, response := r.exchange(address, request, headers, body)
	sent := strconv.Quote(body)
	if len(body) > 3000 {
		sent = fmt.Sprintf("(%d bytes)", len(body))
	}
	r.appendLine("%s\n%s%s\n%s%s", request, headers, sent, head, response)
	return response
}

// stream records the head and the first line of a stream of versions. The returned function records its next event.
func (r *transcript) stream(address, after string) (next func()) {
	r.t.Helper()
	headers := ""
	if after != "" {
		headers = "Last-Event-ID: " + after + "\r\n"
	}
	conn, head := r.send(address, "GET /v1/versions/events", headers, "")
	body := bufio.NewReader(httputil.NewChunkedReader(conn.reader))
	first, err := body.ReadString('\n')
	require.NoError(r.t, err)
	r.appendLine("GET /v1/versions/events\n%s%s%q", headers, head, first)
	return func() {
		r.t.Helper()
		for event := ""; ; {
			line, err := body.ReadString('\n')
			require.NoError(r.t, err)
			switch {
			case line == "\n" && event != "":
				r.appendLine("event\n%s", event)
				return
			case line != "\n" && !strings.HasPrefix(line, ":"):
				event += line
			}
		}
	}
}

// command records the combined output of a command and its exit code.
func (r *transcript) command(g *testGroup, code int, at []string, args ...string) {
	r.t.Helper()
	g.t.Setenv("COLUMNS", "80")
	out := g.commandAt(code, at, args...)
	out = regexp.MustCompile(`(?m)^(router-\S+ +\d+ +)[\d.]+m?s( +)[\d.]+m?s`).ReplaceAllString(out, "$1<duration>$2<duration>")
	out = strings.ReplaceAll(out, g.dir, "<dir>")
	r.appendLine("$ bankledge-control %s\n%s(exit %d)\n", strings.ReplaceAll(strings.Join(args, " "), g.dir, "<dir>"), table.ReplaceAllString(out, "  "), code)
}
