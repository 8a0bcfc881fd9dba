package controlclient

import (
	"bufio"
	"context"
	"fmt"
	"net"
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

// groupConn is the group's end of a connection.
type groupConn struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func accept(t *testing.T, listener net.Listener) *groupConn {
	t.Helper()
	conn, err := listener.Accept()
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	t.Cleanup(func() { conn.Close() })
	return &groupConn{t, conn, bufio.NewReader(conn)}
}

// request reads a request and returns its bytes, with the group's address replaced by a placeholder.
func (c *groupConn) request() string {
	c.t.Helper()
	var head strings.Builder
	for !strings.HasSuffix(head.String(), "\r\n\r\n") {
		line, err := c.reader.ReadString('\n')
		require.NoError(c.t, err)
		head.WriteString(line)
	}
	body := 0
	if m := regexp.MustCompile(`Content-Length: (\d+)`).FindStringSubmatch(head.String()); m != nil {
		body, _ = strconv.Atoi(m[1])
	}
	raw := make([]byte, body)
	for n := range raw {
		b, err := c.reader.ReadByte()
		require.NoError(c.t, err)
		raw[n] = b
	}
	return strings.ReplaceAll(head.String()+string(raw), c.LocalAddr().String(), "<group>")
}

func (c *groupConn) respond(text string) {
	c.t.Helper()
	_, err := c.Write([]byte(text))
	require.NoError(c.t, err)
}

func response(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// fixture is a running transport with two addresses, of which only the second one has a listener.
type fixture struct {
	transport *Transport
	group     net.Listener
	events    chan lease.ClientEvent
}

// newFixture starts a transport, which is stopped at the end of the test. The test fails if the transport leaks a goroutine.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	leakOption := goleak.IgnoreCurrent()
	group, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	events := make(chan lease.ClientEvent, 100)
	durations := lease.DefaultDurations()
	durations.LeaseDuration = time.Minute // long, so that replies do not time out
	transport := NewTransport([]string{"127.0.0.1:1", group.Addr().String()}, durations, func(e lease.ClientEvent) { events <- e }, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- transport.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
		transport.Close()
		group.Close()
		goleak.VerifyNone(t, leakOption)
	})
	return &fixture{transport: transport, group: group, events: events}
}

// Compares the bytes of a renewal, and the events that the transport delivers for valid, invalid and missing replies.
func TestTransportRenewalWire(t *testing.T) {
	f := newFixture(t)
	renewal := lease.Renewal{Name: "router-a", Incarnation: "i1", Seq: 7, Lineage: "abc", KnownVersion: 3, KnownHash: "h", DurationsKey: "term 2s, drift 0.01", RemainingMillis: 900, LastMessage: "a word"}
	f.transport.Execute(lease.SendRenewal{Renewal: renewal, AddressIndex: 1})
	renewals := accept(t, f.group)
	body := `{"name":"router-a","incarnation":"i1","seq":7,"lineage":"abc","known":3,"hash":"h","spans":"term 2s, drift 0.01","term":900,"word":"a word"}`
	want := fmt.Sprintf("POST /v1/term HTTP/1.1\r\nHost: <group>\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	assert.Equal(t, want, renewals.request())
	reply := `{"seq":7,"granted":true,"lineage":"abc","newest":3,"settled":2,"refused":"","leader":""}`
	renewals.respond(fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(reply), reply))
	assert.Equal(t, lease.ReplyReceived{Reply: lease.Reply{Seq: 7, Granted: true, Lineage: "abc", Newest: 3, Activated: 2}}, <-f.events)
	for _, invalid := range []string{
		response("200 OK", `{"seq":6,"granted":true}`), response("503 Service Unavailable", "this process is busy, or ends\n"), response("200 OK", "{"), "no HTTP\r\n\r\n",
	} {
		f.transport.Execute(lease.SendRenewal{Renewal: renewal, AddressIndex: 1})
		renewals = accept(t, f.group)
		assert.Equal(t, want, renewals.request())
		renewals.respond(invalid)
		assert.Equal(t, lease.RenewalFailed{Seq: 7}, <-f.events, invalid)
	}
	f.transport.Execute(lease.SendRenewal{Renewal: renewal, AddressIndex: 0})
	assert.Equal(t, lease.RenewalFailed{Seq: 7}, <-f.events, "no listener")
}

// Compares the bytes that open a stream of versions, and the events that the transport delivers for its content and its end. An earlier
// renewal has left an idle connection, which the stream does not use.
func TestTransportStreamWire(t *testing.T) {
	f := newFixture(t)
	f.transport.Execute(lease.SendRenewal{Renewal: lease.Renewal{Seq: 1}, AddressIndex: 1})
	renewals := accept(t, f.group)
	renewals.request()
	renewals.respond(response("200 OK", `{"seq":1}`))
	assert.Equal(t, lease.ReplyReceived{Reply: lease.Reply{Seq: 1}}, <-f.events)

	f.transport.Execute(lease.ReopenStream{AddressIndex: 3, AfterVersion: 12})
	stream := accept(t, f.group)
	assert.Equal(t, "GET /v1/versions/events HTTP/1.1\r\nHost: <group>\r\nAccept: text/event-stream\r\nLast-Event-ID: 12\r\n\r\n", stream.request())
	r := &rules.Rules{Routers: 2}
	require.NoError(t, r.Validate())
	v := configversion.New(nil, "abc", r, nil, "a note")
	stream.respond("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\nid: 1\ndata: {\"lineage\":\"abc\",\"settled\":0,\"version\":" + string(v.Encode()) + "}\n\n")
	assert.Equal(t, lease.VersionReceived{Version: v}, <-f.events)
	stream.respond("data: {\"lineage\":\"abc\",\"settled\":1}\n\n")
	assert.Equal(t, lease.VersionActivated{Lineage: "abc", Number: 1}, <-f.events)
	stream.respond("data: {\"version\":{\"number\":1}}\n\n")
	invalid, ok := (<-f.events).(lease.InvalidVersionReceived)
	require.True(t, ok)
	assert.EqualError(t, invalid.Err, "version: lineage: missing")
	assert.Equal(t, lease.StreamLost{}, <-f.events)
	f.transport.Execute(lease.ReopenStream{AddressIndex: 1})
	stream = accept(t, f.group)
	assert.Contains(t, stream.request(), "Last-Event-ID: 0\r\n")
	stream.respond(response("503 Service Unavailable", "too many streams\n"))
	assert.Equal(t, lease.StreamLost{}, <-f.events)
}

// Renewals reuse the idle connection.
func TestTransportKeepsConnection(t *testing.T) {
	group, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer group.Close()
	events := make(chan lease.ClientEvent, 1)
	transport := NewTransport([]string{group.Addr().String()}, lease.DefaultDurations(), func(e lease.ClientEvent) { events <- e }, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- transport.Run(ctx) }()
	defer func() {
		cancel()
		<-ended
		transport.Close()
	}()
	var conn *groupConn
	for seq := range uint64(3) {
		transport.Execute(lease.SendRenewal{Renewal: lease.Renewal{Seq: seq}})
		if conn == nil {
			conn = accept(t, group)
		}
		conn.request()
		conn.respond(response("200 OK", fmt.Sprintf(`{"seq":%d}`, seq)))
		assert.Equal(t, lease.ReplyReceived{Reply: lease.Reply{Seq: seq}}, <-events)
	}
}
