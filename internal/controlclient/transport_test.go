package controlclient

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"bankledge/internal/configversion"
	"bankledge/internal/lease"
	"bankledge/internal/rules"
)

// peer is one connection at the group's end.
type peer struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func accept(t *testing.T, l net.Listener) *peer {
	t.Helper()
	conn, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	t.Cleanup(func() { conn.Close() })
	return &peer{t, conn, bufio.NewReader(conn)}
}

// request reads a request, byte for byte.
func (p *peer) request() string {
	p.t.Helper()
	var head strings.Builder
	for !strings.HasSuffix(head.String(), "\r\n\r\n") {
		line, err := p.reader.ReadString('\n')
		require.NoError(p.t, err)
		head.WriteString(line)
	}
	body := 0
	if m := regexp.MustCompile(`Content-Length: (\d+)`).FindStringSubmatch(head.String()); m != nil {
		body, _ = strconv.Atoi(m[1])
	}
	raw := make([]byte, body)
	for n := range raw {
		c, err := p.reader.ReadByte()
		require.NoError(p.t, err)
		raw[n] = c
	}
	return strings.ReplaceAll(head.String()+string(raw), p.LocalAddr().String(), "<group>")
}

func (p *peer) answer(text string) {
	p.t.Helper()
	_, err := p.Write([]byte(text))
	require.NoError(p.t, err)
}

func response(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// What a router's link writes to the group, byte for byte, and what it makes of the answers.
func TestLinkWire(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	group, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer group.Close()
	events := make(chan lease.ClientEvent, 100)
	spans := lease.DefaultDurations()
	spans.LeaseDuration = time.Minute // answers count for so long
	l := NewTransport([]string{"127.0.0.1:1", group.Addr().String()}, spans, func(e lease.ClientEvent) { events <- e }, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- l.Run(ctx) }()
	defer func() {
		cancel()
		assert.NoError(t, <-ended)
		l.Close()
	}()

	renewal := lease.Renewal{Name: "router-a", Incarnation: "i1", Seq: 7, Lineage: "abc", KnownVersion: 3, KnownHash: "h", DurationsKey: "term 2s, drift 0.01", RemainingMillis: 900, LastMessage: "a word"}
	l.Execute(lease.SendRenewal{Renewal: renewal, AddressIndex: 1})
	renewals := accept(t, group)
	body := `{"name":"router-a","incarnation":"i1","seq":7,"lineage":"abc","known":3,"hash":"h","spans":"term 2s, drift 0.01","term":900,"word":"a word"}`
	want := fmt.Sprintf("POST /v1/term HTTP/1.1\r\nHost: <group>\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	assert.Equal(t, want, renewals.request())
	renewals.answer(response("200 OK", `{"seq":7,"granted":true,"lineage":"abc","newest":3,"settled":2,"refused":"","leader":""}`))
	assert.Equal(t, lease.ReplyReceived{Reply: lease.Reply{Seq: 7, Granted: true, Lineage: "abc", Newest: 3, Activated: 2}}, <-events)
	for _, unfit := range []string{
		response("200 OK", `{"seq":6,"granted":true}`), response("503 Service Unavailable", "this process is busy, or ends\n"), response("200 OK", "{"), "no HTTP\r\n\r\n",
	} {
		renewals.Close()
		l.Execute(lease.SendRenewal{Renewal: renewal, AddressIndex: 1})
		renewals = accept(t, group)
		assert.Equal(t, want, renewals.request())
		renewals.answer(unfit)
		assert.Equal(t, lease.RenewalFailed{Seq: 7}, <-events, unfit)
	}
	l.Execute(lease.SendRenewal{Renewal: renewal, AddressIndex: 0})
	assert.Equal(t, lease.RenewalFailed{Seq: 7}, <-events, "nobody listens")

	l.Execute(lease.ReopenStream{AddressIndex: 3, AfterVersion: 12})
	stream := accept(t, group)
	assert.Equal(t, "GET /v1/versions/events HTTP/1.1\r\nHost: <group>\r\nAccept: text/event-stream\r\nLast-Event-ID: 12\r\n\r\n", stream.request())
	r := &rules.Rules{Routers: 2}
	require.NoError(t, r.Validate())
	v := configversion.New(nil, "abc", r, nil, "a note")
	stream.answer("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\nid: 1\ndata: {\"lineage\":\"abc\",\"settled\":0,\"version\":" + string(v.Encode()) + "}\n\n")
	assert.Equal(t, lease.VersionReceived{Version: v}, <-events)
	stream.answer("data: {\"lineage\":\"abc\",\"settled\":1}\n\n")
	assert.Equal(t, lease.VersionActivated{Lineage: "abc", Number: 1}, <-events)
	stream.answer("data: {\"version\":{\"number\":1}}\n\n")
	unfit, is := (<-events).(lease.InvalidVersionReceived)
	require.True(t, is)
	assert.EqualError(t, unfit.Err, "version: lineage: missing")
	assert.Equal(t, lease.StreamLost{}, <-events)
	l.Execute(lease.ReopenStream{AddressIndex: 1})
	stream = accept(t, group)
	assert.Contains(t, stream.request(), "Last-Event-ID: 0\r\n")
	stream.answer(response("503 Service Unavailable", "too many streams\n"))
	assert.Equal(t, lease.StreamLost{}, <-events)
}

// A connection that rests serves the next renewal.
func TestLinkKeepsConnection(t *testing.T) {
	group, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer group.Close()
	events := make(chan lease.ClientEvent, 1)
	l := NewTransport([]string{group.Addr().String()}, lease.DefaultDurations(), func(e lease.ClientEvent) { events <- e }, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- l.Run(ctx) }()
	defer func() {
		cancel()
		<-ended
		l.Close()
	}()
	var p *peer
	for seq := range uint64(3) {
		l.Execute(lease.SendRenewal{Renewal: lease.Renewal{Seq: seq}})
		if p == nil {
			p = accept(t, group)
		}
		p.request()
		p.answer(response("200 OK", fmt.Sprintf(`{"seq":%d}`, seq)))
		assert.Equal(t, lease.ReplyReceived{Reply: lease.Reply{Seq: seq}}, <-events)
	}
}

// What a router's control file may hold, and what is said of one that is not taken.
func TestLoadErrors(t *testing.T) {
	const addresses = `"addresses": ["127.0.0.1:7201"]`
	for text, says := range map[string]string{
		``:                                        "control: EOF",
		`{`:                                       "control: unexpected EOF",
		`{"unknown": 1}`:                          `control: json: unknown field "unknown"`,
		`{}`:                                      "control: addresses: 0, not from 1 to 16",
		`{"addresses": ["x"]}`:                    `control: addresses: "x" is not an address with a port`,
		`{"addresses": ["[::1]:x"]}`:              `control: addresses: "[::1]:x" is not an address with a port`,
		`{` + addresses + `, "most_gone": 1.5}`:   "control: most_gone: not from 0 to 1",
		`{` + addresses + `, "term_ms": 99}`:      "control: term: 99ms is not from 100ms to 1h0m0s",
		`{` + addresses + `, "term_ms": 200}`:     "control: renew: 400ms is not from 10ms to 200ms",
		`{` + addresses + `, "renew_ms": 1}`:      "control: renew: 1ms is not from 10ms to 2s",
		`{` + addresses + `, "answer_ms": 1}`:     "control: answer: 1ms is not from 10ms to 2s",
		`{` + addresses + `, "answer_ms": 1990}`:  "control: term: 2s, less drift, is under 4.78s: one answer that is lost would end it",
		`{` + addresses + `, "batch_ms": 1001}`:   "control: batch: 1.001s is not from 0s to 1s",
		`{` + addresses + `, "pause_ms": -1}`:     "control: pause: -1ms is not from 0s to 1s",
		`{` + addresses + `, "drift": 0.21}`:      "control: drift: 0.21 is not from 0 to 0.2",
		`{` + addresses + `, "lineage": "a"}`:     "",
		`{` + addresses + `, "term_ms": 3600000}`: "",
	} {
		path := filepath.Join(t.TempDir(), "control.json")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		f, err := LoadConfig(path)
		if says == "" {
			require.NoError(t, err, text)
			assert.Equal(t, []string{"127.0.0.1:7201"}, f.Addresses)
			continue
		}
		assert.EqualError(t, err, says, text)
	}
	_, err := LoadConfig("no/such/file")
	assert.EqualError(t, err, "control: open no/such/file: no such file or directory")
}
