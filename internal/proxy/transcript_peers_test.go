package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/textproto"
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

const exchangeTimeout = 20 * time.Second // limit for one step of an exchange

// Frame kinds of the protocol.
const (
	frameReadyQuery = 1
	frameStatement  = 7
	frameCancel     = 9
)

// transcript records the bytes that one peer of the router sends and receives, in order. Repeated polls are recorded once.
type transcript struct {
	mu    sync.Mutex
	lines []string
}

func (p *transcript) add(direction string, raw []byte, keepRepeats bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	line := fmt.Sprintf("%s %q", direction, raw)
	if keepRepeats || !slices.Contains(p.lines, line) {
		p.lines = append(p.lines, line)
	}
}

func (p *transcript) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n") + "\n"
}

// timeLimit matches the header with the remaining milliseconds of an attempt, which differ between runs.
var timeLimit = regexp.MustCompile(`(X-Limit-Ms: )[1-9][0-9]*`)

// httpPeer is an HTTP server that records the bytes of each request and responds with scripted bytes.
type httpPeer struct {
	transcript
	listener net.Listener
	answer   func(method, path string, to net.Conn) (keepOpen bool)
	conns    sync.WaitGroup
	open     context.Context // ends when the peer is closed
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

// readRequest reads the raw bytes of one request, headers and body.
func readRequest(from *bufio.Reader) (raw []byte, method, path string, err error) {
	size := 0
	for {
		line, err := from.ReadBytes('\n')
		if err != nil {
			return nil, "", "", err
		}
		if raw == nil {
			words := strings.Fields(string(line))
			method = words[0]
			path = words[1]
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

// reply returns the raw bytes of an HTTP response.
func reply(status int, body string, fields ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n", status)
	for _, field := range fields {
		head += field + "\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// hang as a scripted response leaves the request unanswered.
const hang = ""

// newEnginePeer returns an engine that responds to each call as the script says for its method and the path after the id. The last
// response of a list is repeated.
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

// newFeedPeer returns a control feed and the channel of the events that it sends.
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

// routerUnderTest is a router that runs in the test process.
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
	router := proxy.New(cfg, zap.NewNop())
	go func() {
		defer close(r.ended)
		r.err = router.Run(ctx, nil, nil)
	}()
	r.address = (<-router.Serving()).String()
	t.Cleanup(func() {
		cancel()
		<-r.ended
		assert.NoError(t, r.err)
	})
	return r
}

// clientPeer is a client connection that records the bytes of each frame.
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
	require.NoError(t, conn.SetDeadline(time.Now().Add(exchangeTimeout)))
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

// receiveEnd requires that the router closes the connection.
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

// awaitReady queries readiness until the router is ready; only the last query and its reply are recorded.
func awaitReady(t *testing.T, r *routerUnderTest) *clientPeer {
	t.Helper()
	for began := time.Now(); time.Since(began) < exchangeTimeout; time.Sleep(time.Millisecond) {
		c := connect(t, r)
		c.send(fakes.Frame(frameReadyQuery, 0, "\x00"))
		if payload := c.receive(); payload[0] == 20 {
			return c
		}
		c.conn.Close()
	}
	t.Fatal("the router is not ready")
	return nil
}

// await waits until a request with this method has been recorded.
func (p *httpPeer) await(t *testing.T, method string) {
	t.Helper()
	require.Eventually(t, func() bool { return strings.Contains(p.String(), `> "`+method) }, exchangeTimeout, time.Millisecond)
}
