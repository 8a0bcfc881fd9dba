package downstream

import (
	"bytes"
	"context"
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
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"bankledge/internal/flowcontrol"
)

var update = flag.Bool("update", false, "rewrite the received frames of testdata/wire")

// wireEvents is a handler that hands all it is told to a transcript, as text.
type wireEvents struct {
	events    chan string
	conns     chan *Conn
	ready     chan bool
	abortOpen []uint32 // streams that an abort of what is open answers
}

func (w *wireEvents) Ready() bool { return <-w.ready }

func (w *wireEvents) HandleStatement(c *Conn, stream uint32, fields Fields, text []byte) bool {
	w.conns <- c
	told := string(text)
	if len(told) > 100 {
		told = fmt.Sprintf("%s and so on, %d", told[:1], len(told))
	}
	w.events <- fmt.Sprintf("statement %d %q %q", stream, map[string]string(fields), told)
	return string(text) != "unfit"
}

func (w *wireEvents) HandleCancel(_ *Conn, streams []uint32) {
	slices.Sort(streams)
	w.events <- fmt.Sprintf("cancel %d", streams)
}

func (w *wireEvents) HandleBackpressure(_ *Conn, stalled bool) {}

func (w *wireEvents) AbortOpenStatements(c *Conn, why string) {
	for _, stream := range w.abortOpen {
		c.Answer(stream, CodeAborted, []byte(why))
	}
	w.events <- "abort " + strconv.Quote(why)
}

// TestWireTranscripts plays the exchanges of testdata/wire, byte for byte. A line of a transcript is a step:
//
//	send HEX [*N]        the client writes bytes, so many times
//	receive HEX          the client reads one frame, which must be these bytes
//	eof                  the client reads the end of the connection
//	closewrite           the client ends its direction of the connection
//	connect, small       the client makes another connection; small: with a small receive buffer
//	ready BOOL           what the next question for readiness is answered
//	event TEXT           what the handler is told next
//	answer N CODE BODY   the handler answers a stream of the latest connection; BODY is a quoted string, and *N repeats it
//	closestream N        the handler ends a stream for which no answer is owed
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
			p := &wirePlay{t: t}
			for i, line := range lines {
				step, comment, _ := strings.Cut(line, " #")
				if step = strings.TrimSpace(step); step == "" || step[0] == '#' {
					continue
				}
				if got := p.step(step); *update && got != "" {
					lines[i] = got
					if comment != "" {
						lines[i] += " #" + comment
					}
				} else if got != "" {
					require.Equal(t, step, got, "line %d of %s", i+1, file)
				}
			}
			if *update {
				require.NoError(t, os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o644))
			}
		})
	}
}

// wirePlay plays one transcript.
type wirePlay struct {
	t       *testing.T
	server  *Server
	handler *wireEvents
	address string
	client  net.Conn
	conn    *Conn
}

// step plays a step, and returns what the step should have been if it tells of something that the server does.
func (p *wirePlay) step(line string) string {
	t := p.t
	t.Helper()
	name, rest, _ := strings.Cut(line, " ")
	if p.server == nil {
		limits, room := flowcontrol.DeriveLimits(64, 10), int64(1<<20)
		if name == "limits" {
			words := strings.Fields(rest)
			room, limits.AnswerBytes = int64(p.number(words[0])), int64(p.number(words[1]))
			var err error
			limits.ReadGrace, err = time.ParseDuration(words[2])
			require.NoError(t, err)
			limits.ReadWindow, err = time.ParseDuration(words[3])
			require.NoError(t, err)
		}
		p.serve(room, limits)
		if name == "limits" {
			return ""
		}
	}
	if p.client == nil && name != "connect" {
		p.connect(false)
	}
	switch words := strings.Fields(rest); name {
	case "send":
		text, times, repeated := strings.Cut(rest, "*")
		n := 1
		if repeated {
			n = p.number(times)
		}
		raw, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
		require.NoError(t, err)
		_, err = p.client.Write(bytes.Repeat(raw, n))
		require.NoError(t, err)
	case "receive":
		return "receive " + p.receive()
	case "eof":
		n, err := p.client.Read(make([]byte, 1))
		assert.Zero(t, n)
		require.ErrorIs(t, err, io.EOF)
	case "closewrite":
		require.NoError(t, p.client.(*net.TCPConn).CloseWrite())
	case "connect":
		p.connect(rest == "small")
	case "ready":
		p.handler.ready <- rest == "true"
	case "event":
		got := await(t, p.handler.events)
		if strings.HasPrefix(got, "statement") {
			p.conn = await(t, p.handler.conns)
		}
		return "event " + got
	case "answer":
		quoted, times, repeated := strings.Cut(strings.Join(words[2:], " "), "*")
		body, err := strconv.Unquote(strings.TrimSpace(quoted))
		require.NoError(t, err)
		if repeated {
			body = strings.Repeat(body, p.number(times))
		}
		p.conn.Answer(uint32(p.number(words[0])), Code(p.number(words[1])), []byte(body))
	case "closestream":
		p.conn.CloseStream(uint32(p.number(rest)))
	case "aborts":
		for _, stream := range words {
			p.handler.abortOpen = append(p.handler.abortOpen, uint32(p.number(stream)))
		}
	case "drain":
		p.server.StartDraining()
	default:
		t.Fatalf("unknown step %q", line)
	}
	return ""
}

func (p *wirePlay) serve(room int64, limits flowcontrol.Limits) {
	p.handler = &wireEvents{events: make(chan string, 100), conns: make(chan *Conn, 100), ready: make(chan bool, 100)}
	p.server = New(p.handler, 10, room, limits, zap.NewNop())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(p.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.server.Serve(ctx, listener) }()
	p.t.Cleanup(func() {
		cancel()
		listener.Close()
		require.NoError(p.t, <-ended)
	})
	p.address = listener.Addr().String()
}

func (p *wirePlay) connect(small bool) {
	dialer := net.Dialer{}
	if small { // else its kernel takes in what it does not read
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2048) })
		}
	}
	client, err := dialer.Dial("tcp", p.address)
	require.NoError(p.t, err)
	p.t.Cleanup(func() { client.Close() })
	require.NoError(p.t, client.SetDeadline(time.Now().Add(6*patience)))
	p.client = client
}

// receive reads one frame and returns it in hex: its length, its type, its stream, and its payload, of which a long one is cut to
// its beginning and its size.
func (p *wirePlay) receive() string {
	p.t.Helper()
	raw := make([]byte, 9)
	_, err := io.ReadFull(p.client, raw)
	require.NoError(p.t, err)
	payload := make([]byte, binary.BigEndian.Uint32(raw)-5)
	_, err = io.ReadFull(p.client, payload)
	require.NoError(p.t, err)
	text := fmt.Sprintf("%x %x %x", raw[:4], raw[4], raw[5:])
	if len(payload) > 1000 {
		for _, b := range payload[2:] {
			require.Equal(p.t, payload[2], b)
		}
		return fmt.Sprintf("%s %x %x and so on, %d", text, payload[:2], payload[2:3], len(payload))
	}
	if len(payload) > 0 {
		text += fmt.Sprintf(" %x", payload[:1])
	}
	if len(payload) > 1 {
		text += fmt.Sprintf(" %x %q", payload[1:2], payload[2:])
	}
	return text
}

func (p *wirePlay) number(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	require.NoError(p.t, err)
	return n
}
