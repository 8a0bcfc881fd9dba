package upstream

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"bankledge/decision"
)

var recordTranscripts = flag.Bool("record-transcripts", false, "write testdata/transcripts.txt instead of comparing with it")

const transcriptsFile = "testdata/transcripts.txt"

// transcript is a Listener that records, in order, its own calls and the requests that a scripted engine receives.
type transcript struct {
	engineAddress string

	mu       sync.Mutex
	lines    []string
	finished chan struct{} // closed when the attempt or the health check ends
}

func (r *transcript) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

func (r *transcript) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.lines, "\n") + "\n"
}

var outcomeLabels = map[decision.Outcome]string{decision.Completed: "completed", decision.Errored: "errored", decision.TimedOut: "timed out",
	decision.ConnectionReset: "reset", decision.ConnectFailed: "not connected", decision.NotSent: "never sent", decision.Overloaded: "full", decision.Cancelled: "cancelled"}

func (r *transcript) AttemptProgressed(progress decision.AttemptProgress) {
	r.add("  noted: statement=%s number=%d engine=%s kind=%d value=%v", progress.Statement, progress.Attempt, progress.Engine, progress.Kind, progress.Value)
}

func (r *transcript) AttemptEnded(ended decision.AttemptEnded, result []byte) {
	r.add("  ended: statement=%s number=%d engine=%s %s, load report:%s, result %q", ended.Statement, ended.Attempt, ended.Engine,
		outcomeLabels[ended.Outcome], loadReportText(ended.Report), abbreviate(string(result)))
	close(r.finished)
}

func (r *transcript) HealthCheckEnded(ended decision.HealthCheckEnded) {
	r.add("  health check ended: engine=%s %s, load report:%s", ended.Engine, outcomeLabels[ended.Outcome], loadReportText(ended.Report))
	close(r.finished)
}

func loadReportText(report *decision.LoadReport) string {
	if report == nil {
		return " none"
	}
	text := ""
	for field := range decision.NumLoadReportFields {
		if value, known := report.Get(field); known {
			text += fmt.Sprintf(" %d=%v", field, value)
		}
	}
	return text
}

func abbreviate(text string) string {
	if len(text) > 200 {
		return fmt.Sprintf("%s...%s (%d bytes)", text[:20], text[len(text)-20:], len(text))
	}
	return text
}

// scriptedResponse is how the engine handles one request.
type scriptedResponse struct {
	onReceipt        func()          // called after the request was recorded
	waitFor          <-chan struct{} // if set, the response is written after this is closed
	raw              string          // the bytes of the response
	closesConnection bool            // the connection is closed after the response
}

// scriptedEngine responds to requests in the order in which they are received, regardless of their connection.
type scriptedEngine struct {
	listener net.Listener
	recorded *transcript
	script   []scriptedResponse
	serving  sync.WaitGroup

	mu          sync.Mutex
	sockets     []net.Conn
	connections int // number of connections on which a request was received
	requests    int
}

func serveScript(t *testing.T, listener net.Listener, recorded *transcript, script []scriptedResponse) {
	t.Helper()
	engine := &scriptedEngine{listener: listener, recorded: recorded, script: script}
	engine.serving.Go(engine.accept)
	t.Cleanup(engine.close)
}

func (e *scriptedEngine) close() {
	e.listener.Close()
	e.mu.Lock()
	for _, socket := range e.sockets {
		socket.Close()
	}
	e.mu.Unlock()
	e.serving.Wait()
}

func (e *scriptedEngine) accept() {
	for {
		socket, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.sockets = append(e.sockets, socket)
		e.mu.Unlock()
		e.serving.Go(func() { e.serve(socket) })
	}
}

func (e *scriptedEngine) serve(socket net.Conn) {
	defer socket.Close()
	var received strings.Builder
	reader := bufio.NewReader(io.TeeReader(socket, &received))
	connection := 0 // its number; 0: no request was received on it yet
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		response := e.record(received.String(), &connection)
		received.Reset()
		if response.onReceipt != nil {
			response.onReceipt()
		}
		if response.waitFor != nil {
			<-response.waitFor
		}
		if _, err := io.WriteString(socket, response.raw); err != nil || response.closesConnection {
			return
		}
	}
}

// record records a request and returns the response to it.
func (e *scriptedEngine) record(request string, connection *int) scriptedResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *connection == 0 {
		e.connections++
		*connection = e.connections
	}
	e.recorded.add("connection %d: %s", *connection, normalise(request, e.recorded.engineAddress))
	response := scriptedResponse{raw: "HTTP/1.1 500 Unscripted\r\nContent-Length: 0\r\n\r\n"}
	if e.requests < len(e.script) {
		response = e.script[e.requests]
	}
	e.requests++
	return response
}

// normalise replaces the parts that differ between runs: the engine's address and the remaining milliseconds.
func normalise(request, address string) string {
	request = strings.ReplaceAll(request, address, "ENGINE")
	if before, after, found := strings.Cut(request, "X-Limit-Ms: "); found {
		digits := strings.IndexByte(after, '\r')
		request = before + "X-Limit-Ms: MS" + after[digits:]
	}
	return fmt.Sprintf("%q", request)
}

const (
	noLength           = "Content-Length: 0\r\n\r\n"
	acceptedStatusLine = "HTTP/1.1 202 Accepted\r\n"
	noContentResponse  = "HTTP/1.1 204 No Content\r\n\r\n"
	firstProgress      = acceptedStatusLine + "X-How: done\r\nX-Num: 0.25\r\n" + noLength
	secondProgress     = acceptedStatusLine + "X-How: done\r\nX-Num: 0.5\r\n" + noLength
)

func page(fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
}

func emptyResponse(statusAndFields string) string {
	return "HTTP/1.1 " + statusAndFields + "\r\n" + noLength
}

// transcriptCase is one attempt or one health check at a scripted engine.
type transcriptCase struct {
	name        string
	healthCheck bool
	timeLeft    time.Duration // time until the attempt's deadline; 0: a minute
	unreachable bool
	cancelAt    int // number of the request on whose receipt the attempt is cancelled, from 1; 0: none
	script      []string
	holdAt      int // number of the request whose response is delayed until the end, from 1; 0: none
}

const closeMarker = "\x00" // suffix of a response after which the engine closes the connection

func transcriptCases() []transcriptCase {
	result := page("X-Batches: 1\r\n", "row\n")
	cases := []transcriptCase{
		{name: "result of one page", script: []string{result}},
		{name: "result of one page with a load report", script: []string{page("X-Batches: 1\r\nX-Gauges: inflight:7;util:0.61;queue:2;x1:0.2\r\n", "row\n")}},
		{name: "empty result", script: []string{page("X-Batches: 1\r\n", "")}},
		{name: "notes and three pages", script: []string{firstProgress, secondProgress,
			acceptedStatusLine + "X-How: spills\r\nX-Num: 96\r\n" + noLength, acceptedStatusLine + "X-How: waits\r\nX-Num: 2\r\n" + noLength,
			page("X-Batches: 3\r\n", "a\n"), page("X-Batch: 1\r\n", "b\n"), page("X-Batch: 2\r\n", "c\n")}},
		{name: "a poll is repeated on another connection when its own breaks", script: []string{firstProgress, closeMarker, secondProgress, result}},
		{name: "a poll is repeated when its answer breaks off", script: []string{firstProgress, acceptedStatusLine + "Content-" + closeMarker, result}},
		{name: "a poll is repeated when its answer is garbled", script: []string{firstProgress, "so what\r\n\r\n", result}},
		{name: "a poll is repeated when its result is too large", script: []string{firstProgress, page("X-Batches: 1\r\n", strings.Repeat("x", 6000)+"\n"), result}},
		{name: "a poll is repeated when its result has no end", script: []string{firstProgress, "HTTP/1.1 200 OK\r\nX-Batches: 1\r\n\r\nrow\n" + closeMarker, result}},
		{name: "a poll is repeated when its result ends within a row", script: []string{firstProgress, page("X-Batches: 1\r\n", "ro"), result}},
		{name: "a poll is repeated when its status is unknown", script: []string{firstProgress, emptyResponse("418 Odd"), result}},
		{name: "a poll is repeated when the result has no count of pages", script: []string{firstProgress, page("", "row\n"), result}},
		{name: "rows behind which more has come must come twice", script: []string{firstProgress, result + "x", result}},
		{name: "a page is repeated when it is not the awaited one", script: []string{page("X-Batches: 2\r\n", "a\n"), page("X-Batch: 2\r\n", "c\n"), page("X-Batch: 1\r\n", "b\n")}},
		{name: "a page is repeated when its connection breaks", script: []string{page("X-Batches: 2\r\n", "a\n"), closeMarker, page("X-Batch: 1\r\n", "b\n")}},
		{name: "a page that the engine has dropped", script: []string{page("X-Batches: 2\r\n", "a\n"), emptyResponse("500 Gone"), noContentResponse}},
		{name: "pages beyond the limit of a result", script: func() []string {
			full := strings.Repeat("x", 5999) + "\n"
			script := []string{page("X-Batches: 9\r\n", full)}
			for number := range 8 {
				script = append(script, page(fmt.Sprintf("X-Batch: %d\r\n", number+1), full))
			}
			return append(script, noContentResponse)
		}()},
		{name: "the connection breaks before the start is answered", script: []string{closeMarker, result}},
		{name: "the answer to the start is garbled", script: []string{"so what\r\n\r\n", result}},
		{name: "no answer is of any use", script: append(strings.Split(strings.Repeat("so what\r\n\r\n|", 18), "|")[:18], noContentResponse)},
		{name: "the attempt is cancelled", script: []string{firstProgress, closeMarker, noContentResponse}, holdAt: 2, cancelAt: 2},
		{name: "the attempt is cancelled and the engine knows it no longer", script: []string{firstProgress, closeMarker, emptyResponse("500 Gone")}, holdAt: 2, cancelAt: 2},
		{name: "the cancellation is repeated until it is confirmed", script: []string{firstProgress, closeMarker, emptyResponse("404 No"), noContentResponse}, holdAt: 2, cancelAt: 2},
		{name: "the attempt's time is up", script: []string{firstProgress, closeMarker, noContentResponse}, holdAt: 2, timeLeft: 500 * time.Millisecond},
		{name: "the attempt has no time left", timeLeft: time.Nanosecond},
		{name: "the engine is unreachable", unreachable: true},
		{name: "health check with a load report", healthCheck: true, script: []string{page("X-Gauges: inflight:3;util:0.5\r\n", "")}},
		{name: "health check without a load report", healthCheck: true, script: []string{page("", "")}},
		{name: "health check is answered with an error", healthCheck: true, script: []string{emptyResponse("503 No\r\nX-Gauges: inflight:9")}},
		{name: "health check is garbled", healthCheck: true, script: []string{"so what\r\n\r\n"}},
		{name: "health check breaks", healthCheck: true, script: []string{closeMarker}},
		{name: "health check hangs", healthCheck: true, script: []string{""}, holdAt: 1},
		{name: "health check does not connect", healthCheck: true, unreachable: true},
	}
	for _, head := range []string{"500 Error", "500 Error\r\nX-Unrun: 1", "503 Full\r\nX-Unrun: 1", "503 Full", "503 Full\r\nX-Unrun: 0", "504 Late\r\nX-Unrun: 1",
		"504 Late", "500 Error\r\nX-Gauges: inflight:4"} {
		cases = append(cases,
			transcriptCase{name: fmt.Sprintf("start answered with %q", head), script: []string{emptyResponse(head), noContentResponse}},
			transcriptCase{name: fmt.Sprintf("poll answered with %q", head), script: []string{firstProgress, emptyResponse(head), noContentResponse}})
	}
	for _, head := range []string{"418 Odd", "200 OK", "200 OK\r\nX-Batches: 0", "200 OK\r\nX-Batches: 4097", "404 No", "301 Moved", "429 Slow\r\nX-Unrun: 1"} {
		cases = append(cases, transcriptCase{name: fmt.Sprintf("start answered with %q", head), script: []string{emptyResponse(head), result}})
	}
	return cases
}

func (c transcriptCase) run(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	recorded := &transcript{engineAddress: listener.Addr().String(), finished: make(chan struct{})}
	cancelled := make(chan func(), 1)
	script := make([]scriptedResponse, len(c.script))
	for i, raw := range c.script {
		raw, closesConnection := strings.CutSuffix(raw, closeMarker)
		script[i] = scriptedResponse{raw: raw, closesConnection: closesConnection}
		if c.holdAt == i+1 {
			script[i].waitFor = recorded.finished
		}
		if c.cancelAt == i+1 {
			script[i].onReceipt = func() { (<-cancelled)() }
		}
	}
	if c.unreachable {
		listener.Close()
	} else {
		serveScript(t, listener, recorded, script)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	client := New(ctx, recorded, 8, time.Minute, time.Second, zap.NewNop())
	client.UpdateEngine("engine-1", listener.Addr().String(), true)
	if c.healthCheck {
		client.CheckHealth("engine-1")
	} else {
		timeLeft := c.timeLeft
		if timeLeft == 0 {
			timeLeft = time.Minute
		}
		attempt := client.StartAttempt(AttemptRequest{Statement: "statement-1", Attempt: 2, Engine: "engine-1", Workload: "lookup", Text: []byte("select 'ä'\n"),
			Deadline: time.Now().Add(timeLeft)})
		cancelled <- attempt.Cancel
	}
	select {
	case <-recorded.finished:
	case <-time.After(20 * time.Second):
		t.Fatalf("the attempt or health check did not end; recorded so far:\n%s", recorded.text())
	}
	text := recorded.text()
	stop()
	require.NoError(t, client.Run(ctx))
	assert.Zero(t, client.ConnectionsInUse(), "all connections are released")
	return text
}

// TestTranscripts compares complete exchanges with a scripted engine, and the listener's calls, with the recorded ones.
func TestTranscripts(t *testing.T) {
	const heading = "== "
	if *recordTranscripts {
		var text strings.Builder
		for _, c := range transcriptCases() {
			text.WriteString(heading + c.name + "\n" + c.run(t))
		}
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(transcriptsFile, []byte(text.String()), 0o644))
		return
	}
	file, err := os.ReadFile(transcriptsFile)
	require.NoError(t, err)
	recorded := map[string]string{}
	for section := range strings.SplitSeq(strings.TrimPrefix(string(file), heading), "\n"+heading) {
		name, text, _ := strings.Cut(section, "\n")
		recorded[name] = strings.TrimSuffix(text, "\n") + "\n"
	}
	cases := transcriptCases()
	assert.Len(t, recorded, len(cases))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, recorded[c.name], c.run(t))
		})
	}
}
