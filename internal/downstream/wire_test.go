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

// wireHandler is a handler that passes its calls to a transcript, as text.
type wireHandler struct {
	events    chan string
	conns     chan *Conn
	ready     chan bool
	abortOpen []uint32 // streams that an abort of what is open answers
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

// TestWireTranscripts plays the exchanges of testdata/wire, byte for byte. A line of a transcript is a step:
//
//	send HEX [*N]        the client writes bytes, so many times
//	receive HEX          the client reads one frame, which must be these bytes
//	eof                  the client reads the end of the connection
//	closewrite           the client ends its direction of the connection
//	connect, small       the client makes another connection; small: with a small receive buffer
//	ready BOOL           what the next question for readiness is answered
//	event TEXT           the next call of the handler
//	answer N CODE BODY   the handler answers a stream of the latest connection; BODY is a quoted string, and *N repeats it
//	closestream N        the handler ends a stream that needs no answer
//	aborts N...          streams that the handler aborts when it is asked to abort what is open
//	drain                the server stops taking new statements
//	limits ...           before all else: bytes for large frames, bytes of answers, a reader's grace and window
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
			player := &wirePlayer{t: t}
			for i, line := range lines {
				step, comment, commented := strings.Cut(line, " #")
				step = strings.TrimSpace(step)
				if step == "" || step[0] == '#' {
					continue
				}
				got := player.play(step)
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

// wirePlayer plays one transcript.
type wirePlayer struct {
	t       *testing.T
	server  *Server
	handler *wireHandler
	address string
	client  net.Conn // the latest
	conn    *Conn    // of the latest statement
}

// play plays a step. If it is one of what the server does, it returns what the step should have been.
func (p *wirePlayer) play(step string) string {
	p.t.Helper()
	name, rest, _ := strings.Cut(step, " ")
	if name == "limits" {
		p.serveWithLimits(strings.Fields(rest))
		return ""
	}
	if p.server == nil {
		p.serve(1<<20, flowcontrol.DeriveLimits(64, maxTestConnections))
	}
	if p.client == nil && name != "connect" {
		p.connect(false)
	}
	switch name {
	case "send":
		p.send(rest)
	case "receive":
		return "receive " + p.receive()
	case "eof":
		n, err := p.client.Read(make([]byte, 1))
		assert.Zero(p.t, n)
		require.ErrorIs(p.t, err, io.EOF)
	case "closewrite":
		closeWrite(p.client)
	case "connect":
		p.connect(rest == "small")
	case "ready":
		p.handler.ready <- rest == "true"
	case "event":
		return "event " + p.event()
	case "answer":
		p.answer(rest)
	case "closestream":
		p.conn.CloseStream(uint32(p.number(rest)))
	case "aborts":
		for _, stream := range strings.Fields(rest) {
			p.handler.abortOpen = append(p.handler.abortOpen, uint32(p.number(stream)))
		}
	case "drain":
		p.server.StartDraining()
	default:
		p.t.Fatalf("unknown step %q", step)
	}
	return ""
}

func (p *wirePlayer) serveWithLimits(words []string) {
	limits := flowcontrol.DeriveLimits(64, maxTestConnections)
	limits.AnswerBytes = int64(p.number(words[1]))
	limits.ReadGrace = p.duration(words[2])
	limits.ReadWindow = p.duration(words[3])
	p.serve(int64(p.number(words[0])), limits)
}

func (p *wirePlayer) serve(frameMemory int64, limits flowcontrol.Limits) {
	p.handler = &wireHandler{
		events: make(chan string, 100),
		conns:  make(chan *Conn, 100),
		ready:  make(chan bool, 100),
	}
	p.server = New(p.handler, maxTestConnections, frameMemory, limits, zap.NewNop())
	p.address = listenAndServe(p.t, p.server)
}

func (p *wirePlayer) connect(smallBuffer bool) {
	if smallBuffer {
		p.client = dialSmallBuffer(p.t, p.address)
	} else {
		p.client = dial(p.t, p.address)
	}
	require.NoError(p.t, p.client.SetDeadline(time.Now().Add(6*eventTimeout)))
}

func (p *wirePlayer) send(text string) {
	text, times := p.cutRepetition(text)
	raw, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	require.NoError(p.t, err)
	write(p.t, p.client, bytes.Repeat(raw, times))
}

func (p *wirePlayer) answer(text string) {
	words := strings.SplitN(text, " ", 3)
	quoted, times := p.cutRepetition(words[2])
	body, err := strconv.Unquote(quoted)
	require.NoError(p.t, err)
	p.conn.Answer(uint32(p.number(words[0])), Code(p.number(words[1])), []byte(strings.Repeat(body, times)))
}

// event returns the next call of the handler.
func (p *wirePlayer) event() string {
	event := await(p.t, p.handler.events)
	if strings.HasPrefix(event, "statement") {
		p.conn = await(p.t, p.handler.conns)
	}
	return event
}

// receive reads one frame and returns it in hex: its length, its type, its stream, and its payload, of which a long one is cut to
// its beginning and its size.
func (p *wirePlayer) receive() string {
	p.t.Helper()
	head := make([]byte, frameHeadBytes)
	_, err := io.ReadFull(p.client, head)
	require.NoError(p.t, err)
	payload := make([]byte, binary.BigEndian.Uint32(head)-minFrameLength)
	_, err = io.ReadFull(p.client, payload)
	require.NoError(p.t, err)
	text := fmt.Sprintf("%x %x %x", head[:4], head[4], head[5:])
	switch {
	case len(payload) > 1000:
		for _, b := range payload[2:] {
			require.Equal(p.t, payload[2], b)
		}
		return fmt.Sprintf("%s %x %x and so on, %d", text, payload[:2], payload[2:3], len(payload))
	case len(payload) > 1:
		return fmt.Sprintf("%s %x %x %q", text, payload[:1], payload[1:2], payload[2:])
	}
	require.Empty(p.t, payload)
	return text
}

// cutRepetition cuts "TEXT * N" into its parts; N is 1 if it is left out.
func (p *wirePlayer) cutRepetition(text string) (string, int) {
	text, times, repeated := strings.Cut(text, "*")
	if !repeated {
		return text, 1
	}
	return strings.TrimSpace(text), p.number(times)
}

func (p *wirePlayer) number(text string) int {
	p.t.Helper()
	n, err := strconv.Atoi(strings.TrimSpace(text))
	require.NoError(p.t, err)
	return n
}

func (p *wirePlayer) duration(text string) time.Duration {
	p.t.Helper()
	d, err := time.ParseDuration(text)
	require.NoError(p.t, err)
	return d
}
