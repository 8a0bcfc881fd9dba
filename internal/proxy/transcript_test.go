package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"bankledge/internal/fakes"
	"bankledge/internal/proxy"
	"bankledge/internal/settings"
)

var update = flag.Bool("update", false, "write the transcripts anew instead of comparing with them")

const patience = 20 * time.Second // for one step of an exchange

// The kinds of frame, by the protocol's numbers.
const (
	frameReadyAsked = 1
	frameReadyTold  = 2
	frameNoMore     = 3
	frameStatement  = 7
	frameAnswer     = 8
	frameLeft       = 9
)

// transcript is what one peer of the router saw, in its order. Repeats of a call that is asked again by the clock count once.
type transcript struct {
	mu    sync.Mutex
	lines []string
}

func (p *transcript) add(direction string, raw []byte, repeats bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	line := fmt.Sprintf("%s %q", direction, raw)
	if repeats || !slices.Contains(p.lines, line) {
		p.lines = append(p.lines, line)
	}
}

func (p *transcript) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n") + "\n"
}

// timeLimit is the header that tells an engine how many milliseconds are left, which differs from run to run.
var timeLimit = regexp.MustCompile(`(X-Limit-Ms: )[1-9][0-9]*`)

// httpPeer is an HTTP server that notes the bytes of each request and writes the bytes that its script has for it.
type httpPeer struct {
	transcript
	listener net.Listener
	answer   func(method, path string, to net.Conn) (goOn bool)
	conns    sync.WaitGroup
	open     context.Context // ends with the peer
}

func newHTTPPeer(t *testing.T, answer func(p *httpPeer, method, path string, to net.Conn) bool) *httpPeer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	open, closeConns := context.WithCancel(context.Background())
	p := &httpPeer{listener: listener, open: open}
	p.answer = func(method, path string, to net.Conn) bool { return answer(p, method, path, to) }
	p.conns.Go(p.accept)
	t.Cleanup(func() {
		closeConns()
		listener.Close()
		p.conns.Wait()
	})
	return p
}

func (p *httpPeer) address() string { return p.listener.Addr().String() }

func (p *httpPeer) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.conns.Go(func() {
			defer conn.Close()
			defer context.AfterFunc(p.open, func() { conn.Close() })()
			p.serve(conn)
		})
	}
}

func (p *httpPeer) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		raw, method, path, err := readRequest(reader)
		if err != nil {
			return
		}
		raw = bytes.ReplaceAll(raw, []byte(p.address()), []byte("ADDRESS"))
		p.add(">", timeLimit.ReplaceAll(raw, []byte("${1}TIME")), method == "POST")
		if !p.answer(method, path, conn) {
			return
		}
	}
}

// readRequest reads one request as its bytes are, headers and body.
func readRequest(from *bufio.Reader) (raw []byte, method, path string, err error) {
	size := 0
	for {
		line, err := from.ReadBytes('\n')
		if err != nil {
			return nil, "", "", err
		}
		if raw == nil {
			words := strings.Fields(string(line))
			method, path = words[0], words[1]
		}
		raw = append(raw, line...)
		if name, value, ok := strings.Cut(strings.TrimSpace(string(line)), ":"); ok && textproto.CanonicalMIMEHeaderKey(name) == "Content-Length" {
			if size, err = strconv.Atoi(strings.TrimSpace(value)); err != nil {
				return nil, "", "", err
			}
		}
		if len(bytes.TrimSpace(line)) == 0 {
			break
		}
	}
	body := make([]byte, size)
	_, err = io.ReadFull(from, body)
	return append(raw, body...), method, path, err
}

// reply is an HTTP answer.
func reply(status int, body string, fields ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n", status)
	for _, field := range fields {
		head += field + "\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// hang answers nothing.
const hang = ""

// newEnginePeer answers each call by its method and what follows the id in its path, the last answer ever again.
func newEnginePeer(t *testing.T, script map[string][]string) *httpPeer {
	t.Helper()
	var mu sync.Mutex
	return newHTTPPeer(t, func(p *httpPeer, method, path string, to net.Conn) bool {
		call := method
		if parts := strings.Split(path, "/"); len(parts) > 3 {
			call += " " + parts[3]
		}
		mu.Lock()
		answers := script[call]
		if len(answers) > 1 {
			script[call] = answers[1:]
		}
		mu.Unlock()
		if len(answers) == 0 || answers[0] == hang {
			<-p.open.Done()
			return false
		}
		_, err := io.WriteString(to, answers[0])
		return err == nil
	})
}

// newFeedPeer is a control feed that tells the events that it is given.
func newFeedPeer(t *testing.T) (*httpPeer, chan<- string) {
	t.Helper()
	events := make(chan string, 1)
	peer := newHTTPPeer(t, func(p *httpPeer, _, _ string, to net.Conn) bool {
		io.WriteString(to, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n")
		for {
			event := ":\n"
			select {
			case event = <-events:
			case <-time.After(time.Second):
			case <-p.open.Done():
				return false
			}
			if _, err := io.WriteString(to, event); err != nil {
				return false
			}
		}
	})
	return peer, events
}

// routerUnderTest is a router in this process.
type routerUnderTest struct {
	address string
	stop    context.CancelFunc
	ended   chan struct{}
	err     error
}

func startRouter(t *testing.T, feed string, settingsText string, members ...string) *routerUnderTest {
	t.Helper()
	cfg, err := settings.ParseConfig(fakes.Config(feed, settingsText, 64, 256, members...))
	require.NoError(t, err)
	r := &routerUnderTest{ended: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	g := proxy.New(cfg, zap.NewNop())
	go func() {
		defer close(r.ended)
		r.err = g.Run(ctx, nil, nil)
	}()
	r.address = (<-g.Serving()).String()
	t.Cleanup(func() {
		cancel()
		<-r.ended
		assert.NoError(t, r.err)
	})
	return r
}

// clientPeer is a client's connection that notes the bytes of each frame.
type clientPeer struct {
	transcript
	t    *testing.T
	conn net.Conn
	from *bufio.Reader
}

func connect(t *testing.T, r *routerUnderTest) *clientPeer {
	t.Helper()
	conn, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(patience)))
	return &clientPeer{t: t, conn: conn, from: bufio.NewReader(conn)}
}

func (c *clientPeer) send(raw []byte) {
	c.t.Helper()
	c.add(">", raw, true)
	_, err := c.conn.Write(raw)
	require.NoError(c.t, err)
}

// receive reads one frame and returns its payload.
func (c *clientPeer) receive() []byte {
	c.t.Helper()
	raw := make([]byte, 4)
	_, err := io.ReadFull(c.from, raw)
	require.NoError(c.t, err)
	raw = append(raw, make([]byte, binary.BigEndian.Uint32(raw))...)
	_, err = io.ReadFull(c.from, raw[4:])
	require.NoError(c.t, err)
	c.add("<", raw, true)
	return raw[9:]
}

// receiveEnd expects the connection's end.
func (c *clientPeer) receiveEnd() {
	c.t.Helper()
	_, err := c.from.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
	c.add("<", []byte("end"), true)
}

func (c *clientPeer) exchange(raw []byte) {
	c.t.Helper()
	c.send(raw)
	c.receive()
}

// awaitReady asks until the router is ready; only the last question and its answer are noted.
func awaitReady(t *testing.T, r *routerUnderTest) *clientPeer {
	t.Helper()
	for began := time.Now(); time.Since(began) < patience; time.Sleep(time.Millisecond) {
		c := connect(t, r)
		c.send(fakes.Frame(frameReadyAsked, 0, "\x00"))
		if payload := c.receive(); payload[0] == 20 {
			return c
		}
		c.conn.Close()
	}
	t.Fatal("the router is not ready")
	return nil
}

// field is a name and a value of a statement.
type field struct{ name, value string }

// statement is a frame; changes replace the value of a field, add a field, or take one away (value "-").
func statement(stream uint32, workload string, changes ...field) []byte {
	fields := []field{{"c", workload}, {"i", fmt.Sprintf("%016x", 0xabc0+stream)}, {"d", "9000"}, {"t", "acme"}, {"h", "5.5"}, {"heap_mb", "8"}}
	for _, change := range changes {
		at := slices.IndexFunc(fields, func(f field) bool { return f.name == change.name })
		switch {
		case at < 0:
			fields = append(fields, change)
		case change.value == "-":
			fields = slices.Delete(fields, at, at+1)
		default:
			fields[at] = change
		}
	}
	return fakes.Frame(frameStatement, stream, encode(fields, fmt.Sprintf("select a from sales_1.b where id = %d", stream)))
}

func encode(fields []field, text string) string {
	payload := []byte{byte(len(fields))}
	for _, f := range fields {
		payload = append(append(payload, byte(len(f.name))), f.name...)
		payload = append(binary.BigEndian.AppendUint16(payload, uint16(len(f.value))), f.value...)
	}
	return string(payload) + text
}

const (
	oneRow    = "a\tb\n"
	onePage   = "X-Batches: 1"
	report    = "X-Gauges: inflight:1;util:0.1"
	neverRan  = "X-Unrun: 1"
	halfDone  = "X-How: done"
	halfValue = "X-Num: 0.5"
)

var (
	accepted = reply(202, "", halfDone, halfValue)
	complete = reply(200, oneRow, onePage, report)
)

// recordedSettings have one member group, and the workloads lookup (idempotent) and load (at most once).
const recordedSettings = `{"bounds":{"mayCancel":true,"mayProbe":false,"maxAttempts":5,"maxOpen":1000,"connectTimeout":2000000,"idleClose":15000000},
	"classes":[{"name":"lookup","idempotency":"idempotent","objective":2000000,"deadline":9000000,"gain":1,"lateShare":0.5},
		{"name":"load","idempotency":"at_most_once","objective":2000000,"deadline":9000000,"gain":1,"lateShare":0.5}],
	"discovery":"pushed","extra":{"cpuOfKind":[8],"ramOfKindMb":[32000],"threadsByClass":[1,2],"waitsForLoads":[false,false],
		"writesTables":[false,true],"onShortage":"page"},
	"feedback":{"fields":["concurrent","load_share"],"via":"inline"},"guarantees":{"drainGrace":1000000},
	"machineTypes":["k"],"orgs":[{"name":"acme","quotaPerS":1000}],"tick":1000,"zone":"z"}`

// unfitFrames are all that a client may send and have rejected, each with a stream of its own.
func unfitFrames() (frames [][]byte) {
	stream := uint32(1)
	add := func(frame func(stream uint32) []byte) {
		frames = append(frames, frame(stream))
		stream++
	}
	for _, change := range []field{
		{"c", "odd"}, {"c", "-"}, {"t", "odd"}, {"t", "-"}, {"i", "-"}, {"i", "123"}, {"i", "0123456789abcd\r\n"}, {"d", "-"}, {"d", "0"}, {"d", "-1"},
		{"d", "Inf"}, {"d", "x"}, {"d", "86400001"}, {"h", "-1"}, {"h", "0"}, {"h", "x"}, {"h", "1e9"}, {"heap_mb", "NaN"}, {"heap_mb", ""},
		{"heap_mb", "128001"}, {"r", "maybe"}, {"r", "0"},
	} {
		add(func(stream uint32) []byte { return statement(stream, "lookup", change) })
	}
	fields := []field{{"c", "lookup"}, {"i", "00000000000000aa"}, {"d", "9000"}, {"t", "acme"}}
	for _, text := range []string{"", " \n", "\xff", "a\x00b"} {
		add(func(stream uint32) []byte { return fakes.Frame(frameStatement, stream, encode(fields, text)) })
	}
	for _, payload := range []string{"", "\x01", "\x01\x01c\x00\x09x", "\x02\x01c\x00\x01x\x01c\x00\x01y"} {
		add(func(stream uint32) []byte { return fakes.Frame(frameStatement, stream, payload) })
	}
	for _, kind := range []byte{0, 2, 3, 8, 77} {
		add(func(stream uint32) []byte { return fakes.Frame(kind, stream, "x") })
	}
	return append(frames, statement(0, "lookup"), statement(1, "lookup")) // streams that are not new
}

// exchanges are whole exchanges; each returns the peers whose transcripts are compared, in their order.
var exchanges = map[string]func(t *testing.T) []fmt.Stringer{
	"served": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {complete, reply(200, oneRow+oneRow, onePage), reply(200, "", onePage)}})
		c, _ := startWithEngine(t, engine)
		c.exchange(statement(1, "lookup"))
		c.exchange(statement(2, "load", field{"h", "-"}, field{"heap_mb", "-"}))
		c.exchange(statement(3, "lookup", field{"r", "1"}))
		c.exchange(fakes.Frame(frameReadyAsked, 0, "\x00"))
		return []fmt.Stringer{c, engine}
	},
	"served in pages after a wait": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {accepted}, "GET 0": {reply(200, oneRow, "X-Batches: 3", report)},
			"GET 1": {reply(200, oneRow, "X-Batch: 1")}, "GET 2": {reply(200, "c\td\n", "X-Batch: 2")}})
		c, _ := startWithEngine(t, engine)
		c.exchange(statement(1, "load"))
		return []fmt.Stringer{c, engine}
	},
	"attempted again": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {reply(500, ""), complete, reply(503, "", neverRan), complete}})
		c, _ := startWithEngine(t, engine)
		c.exchange(statement(1, "lookup"))
		c.exchange(statement(2, "load"))
		return []fmt.Stringer{c, engine}
	},
	"failed": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {reply(500, ""), accepted, reply(200, oneRow, "X-Batches: 2")}, "GET 0": {reply(500, "")},
			"GET 1": {reply(500, "")}, "DELETE": {reply(204, "")}})
		c, _ := startWithEngine(t, engine)
		for stream := range uint32(3) {
			c.exchange(statement(stream+1, "load"))
		}
		return []fmt.Stringer{c, engine}
	},
	"unfit": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {complete}})
		c, _ := startWithEngine(t, engine)
		for _, frame := range unfitFrames() {
			c.exchange(frame)
		}
		c.exchange(statement(100, "lookup"))
		c.exchange(statement(101, "lookup", field{"i", fmt.Sprintf("%016x", 0xabc0+100)})) // an id that was answered
		c.exchange(statement(100, "lookup"))                                               // a stream used again
		c.exchange(fakes.Frame(frameReadyAsked, 7, "\x00"))
		return []fmt.Stringer{c, engine}
	},
	"framing lost": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {complete}})
		short, r := startWithEngine(t, engine)
		short.exchange([]byte{0, 0, 0, 4, 7, 0, 0, 0})
		short.receiveEnd()
		long := connect(t, r)
		long.exchange([]byte{0xff, 0, 0, 0, 7})
		long.receiveEnd()
		return []fmt.Stringer{short, long, engine}
	},
	"cancelled by a frame": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {accepted, complete}, "GET 0": {hang}, "DELETE": {reply(204, "")}})
		c, _ := startWithEngine(t, engine)
		c.send(statement(1, "load"))
		engine.await(t, "GET")
		c.send(fakes.Frame(frameLeft, 1, ""))
		engine.await(t, "DELETE")
		c.exchange(statement(2, "lookup"))
		return []fmt.Stringer{c, engine}
	},
	"expired": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {accepted}, "GET 0": {hang}, "DELETE": {reply(204, "")}})
		c, _ := startWithEngine(t, engine)
		c.exchange(statement(1, "load", field{"d", "1500"}))
		engine.await(t, "DELETE")
		return []fmt.Stringer{c, engine}
	},
	"no engine and then one by the control feed": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {complete}})
		feed, events := newFeedPeer(t)
		c := connect(t, startRouter(t, feed.address(), recordedSettings))
		c.exchange(fakes.Frame(frameReadyAsked, 0, "\x00"))
		c.exchange(statement(1, "lookup", field{"d", "300"})) // nothing ran: rejected
		c.send(statement(2, "lookup"))
		events <- fmt.Sprintf("id: 2\ndata: {\"n\":2,\"members\":{\"members\":[%s]}}\n\n", fakes.Member("e", engine.address(), "active"))
		c.receive()
		return []fmt.Stringer{c, feed, engine}
	},
	"graceful shutdown": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {accepted, complete}, "GET 0": {hang}, "DELETE": {reply(204, "")}})
		c, r := startWithEngine(t, engine)
		c.send(statement(1, "load"))
		engine.await(t, "GET")
		r.stop()
		c.receive()
		late := connect(t, r)
		late.receive()
		late.exchange(fakes.Frame(frameReadyAsked, 0, "\x00"))
		late.exchange(statement(1, "odd"))
		late.exchange(statement(2, "lookup"))
		c.receive() // its time is up
		<-r.ended
		c.receiveEnd()
		late.receiveEnd()
		return []fmt.Stringer{c, late, engine}
	},
}

// startWithEngine starts a router that knows one engine and is ready.
func startWithEngine(t *testing.T, engine *httpPeer) (*clientPeer, *routerUnderTest) {
	t.Helper()
	feed, _ := newFeedPeer(t)
	r := startRouter(t, feed.address(), recordedSettings, fakes.Member("e", engine.address(), "active"))
	return awaitReady(t, r), r
}

// await waits until a call of this method has come.
func (p *httpPeer) await(t *testing.T, method string) {
	t.Helper()
	require.Eventually(t, func() bool { return strings.Contains(p.String(), `> "`+method) }, patience, time.Millisecond)
}

// What clients and engines see of the router on the wire, byte for byte but for addresses.
func TestTranscripts(t *testing.T) {
	for name, exchange := range exchanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var got strings.Builder
			for _, peer := range exchange(t) {
				fmt.Fprintf(&got, "%s\n", peer)
			}
			path := filepath.Join("testdata", "transcripts", strings.ReplaceAll(name, " ", "_")+".txt")
			if *update {
				require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
				require.NoError(t, os.WriteFile(path, []byte(got.String()), 0o644))
			}
			want, err := os.ReadFile(path)
			require.NoError(t, err)
			assert.Equal(t, string(want), got.String())
		})
	}
}
