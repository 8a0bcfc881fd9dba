package downstream

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"bankledge/internal/flowcontrol"
)

var update = flag.Bool("update", false, "rewrite the received frames of testdata/wire")

// wireHandler reports its calls as the text of transcript events.
type wireHandler struct {
	events    chan string
	conns     chan *Conn
	ready     chan bool
	abortOpen []uint32 // streams that AbortOpenStatements answers
}

func (w *wireHandler) Ready() bool { return <-w.ready }

func (w *wireHandler) HandleStatement(c *Conn, stream uint32, fields Fields, text []byte) bool {
	w.conns <- c
	shown := string(text)
	if len(shown) > 100 {
		shown = fmt.Sprintf("%s and so on, %d", shown[:1], len(shown))
	}
	w.events <- fmt.Sprintf("statement %d %q %q", stream, map[string]string(fields), shown)
	return string(text) != "unfit"
}

func (w *wireHandler) HandleCancel(_ *Conn, streams []uint32) {
	slices.Sort(streams)
	w.events <- fmt.Sprintf("cancel %d", streams)
}

func (w *wireHandler) HandleBackpressure(_ *Conn, stalled bool) {}

func (w *wireHandler) AbortOpenStatements(c *Conn, reason string) {
	for _, stream := range w.abortOpen {
		c.Answer(stream, CodeAborted, []byte(reason))
	}
	w.events <- "abort " + strconv.Quote(reason)
}

// TestWireTranscripts runs the transcripts in testdata/wire and compares all bytes. Each line of a transcript is a step:
//
//	send HEX [*N]        the client writes the bytes, N times
//	receive HEX          the client reads one frame, which must be these bytes
//	eof                  the client reads the end of the stream
//	closewrite           the client closes its sending direction of the connection
//	connect [small]      the client opens another connection; small: with a small receive buffer
//	ready BOOL           the result of the next call of Ready
//	event TEXT           the next call of the handler, which must have this text
//	answer N CODE BODY   the handler answers stream N of the connection of the latest statement; BODY is a quoted string, which *N repeats
//	closestream N        the handler closes stream N without an answer
//	aborts N...          the streams that AbortOpenStatements answers
//	drain                the server starts draining
//	limits ...           frame memory, Limits.AnswerBytes, ReadGrace and ReadWindow; allowed as the first step only
func TestWireTranscripts(t *testing.T) {
	files, err := filepath.Glob("testdata/wire/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			raw, err := os.ReadFile(file)
			require.NoError(t, err)
			lines := strings.Split(string(raw), "\n")
			runner := &transcriptRunner{t: t}
			for i, line := range lines {
				step, comment, commented := strings.Cut(line, " #")
				step = strings.TrimSpace(step)
				if step == "" || step[0] == '#' {
					continue
				}
				got := runner.runStep(step)
				if got == "" {
					continue
				}
				if !*update {
					require.Equal(t, step, got, "line %d of %s", i+1, file)
				}
				lines[i] = got
				if commented {
					lines[i] += " #" + comment
				}
			}
			if *update {
				require.NoError(t, os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o644))
			}
		})
	}
}

// transcriptRunner runs the steps of one transcript.
type transcriptRunner struct {
	t       *testing.T
	server  *Server
	handler *wireHandler
	address string
	client  net.Conn // the latest
	conn    *Conn    // of the latest statement
}

// runStep runs a step. If the step expects an output of the server, it returns the step with the actual output.
func (r *transcriptRunner) runStep(step string) string {
	r.t.Helper()
	name, rest, _ := strings.Cut(step, " ")
	if name == "limits" {
		r.serveWithLimits(strings.Fields(rest))
		return ""
	}
	if r.server == nil {
		r.serve(1<<20, flowcontrol.DeriveLimits(64, maxTestConnections))
	}
	if r.client == nil && name != "connect" {
		r.connect(false)
	}
	switch name {
	case "send":
		r.send(rest)
	case "receive":
		return "receive " + r.receive()
	case "eof":
		n, err := r.client.Read(make([]byte, 1))
		assert.Zero(r.t, n)
		require.ErrorIs(r.t, err, io.EOF)
	case "closewrite":
		closeWrite(r.client)
	case "connect":
		r.connect(rest == "small")
	case "ready":
		r.handler.ready <- rest == "true"
	case "event":
		return "event " + r.event()
	case "answer":
		r.answer(rest)
	case "closestream":
		r.conn.CloseStream(uint32(r.number(rest)))
	case "aborts":
		for _, stream := range strings.Fields(rest) {
			r.handler.abortOpen = append(r.handler.abortOpen, uint32(r.number(stream)))
		}
	case "drain":
		r.server.StartDraining()
	default:
		r.t.Fatalf("unknown step %q", step)
	}
	return ""
}

func (r *transcriptRunner) serveWithLimits(words []string) {
	limits := flowcontrol.DeriveLimits(64, maxTestConnections)
	limits.AnswerBytes = int64(r.number(words[1]))
	limits.ReadGrace = r.duration(words[2])
	limits.ReadWindow = r.duration(words[3])
	r.serve(int64(r.number(words[0])), limits)
}

func (r *transcriptRunner) serve(frameMemory int64, limits flowcontrol.Limits) {
	r.handler = &wireHandler{
		events: make(chan string, 100),
		conns:  make(chan *Conn, 100),
		ready:  make(chan bool, 100),
	}
	limits.FrameBytes = frameMemory
	r.server = New(r.handler, maxTestConnections, limits, zap.NewNop())
	r.address = listenAndServe(r.t, r.server)
}

func (r *transcriptRunner) connect(smallBuffer bool) {
	if smallBuffer {
		r.client = dialSmallBuffer(r.t, r.address)
	} else {
		r.client = dial(r.t, r.address)
	}
	require.NoError(r.t, r.client.SetDeadline(time.Now().Add(6*eventTimeout)))
}

func (r *transcriptRunner) send(text string) {
	text, times := r.cutRepetition(text)
	raw, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	require.NoError(r.t, err)
	write(r.t, r.client, bytes.Repeat(raw, times))
}

func (r *transcriptRunner) answer(text string) {
	words := strings.SplitN(text, " ", 3)
	quoted, times := r.cutRepetition(words[2])
	body, err := strconv.Unquote(quoted)
	require.NoError(r.t, err)
	r.conn.Answer(uint32(r.number(words[0])), Code(r.number(words[1])), []byte(strings.Repeat(body, times)))
}

// event waits for the next call of the handler and returns its text.
func (r *transcriptRunner) event() string {
	event := await(r.t, r.handler.events)
	if strings.HasPrefix(event, "statement") {
		r.conn = await(r.t, r.handler.conns)
	}
	return event
}

// receive reads one frame and returns its length, type, stream and payload as text. A payload of more than 1000 bytes, whose body must
// repeat one byte, is shortened to its beginning and its size.
func (r *transcriptRunner) receive() string {
	r.t.Helper()
	head := make([]byte, frameHeadBytes)
	_, err := io.ReadFull(r.client, head)
	require.NoError(r.t, err)
	payload := make([]byte, binary.BigEndian.Uint32(head)-minFrameLength)
	_, err = io.ReadFull(r.client, payload)
	require.NoError(r.t, err)
	text := fmt.Sprintf("%x %x %x", head[:4], head[4], head[5:])
	switch {
	case len(payload) > 1000:
		for _, b := range payload[2:] {
			require.Equal(r.t, payload[2], b)
		}
		return fmt.Sprintf("%s %x %x and so on, %d", text, payload[:2], payload[2:3], len(payload))
	case len(payload) > 1:
		return fmt.Sprintf("%s %x %x %q", text, payload[:1], payload[1:2], payload[2:])
	}
	require.Empty(r.t, payload)
	return text
}

// cutRepetition splits "TEXT * N" into TEXT and N. N is 1 if it is left out.
func (r *transcriptRunner) cutRepetition(text string) (string, int) {
	text, times, repeated := strings.Cut(text, "*")
	if !repeated {
		return text, 1
	}
	return strings.TrimSpace(text), r.number(times)
}

func (r *transcriptRunner) number(text string) int {
	r.t.Helper()
	n, err := strconv.Atoi(strings.TrimSpace(text))
	require.NoError(r.t, err)
	return n
}

func (r *transcriptRunner) duration(text string) time.Duration {
	r.t.Helper()
	d, err := time.ParseDuration(text)
	require.NoError(r.t, err)
	return d
}
