package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
)

// Frame types of the client protocol.
const (
	frameReadinessQuery = 1
	frameReadinessReply = 2
	frameDraining       = 3
	frameStatement      = 7
	frameAnswer         = 8
	frameCancel         = 9
)

// Codes of an answer.
const (
	codeCompleted byte = 20
	codeRejected  byte = 50
	codeAborted   byte = 51
)

// engine is a scripted engine.
type engine struct{ *fakes.Engine }

type step = fakes.Step

var (
	respond, respondResult, respondPage, respondRaw, respondAfter = fakes.Respond, fakes.RespondResult, fakes.RespondPage, fakes.RespondRaw, fakes.RespondAfter
	resetConnection, hang                                         = step(fakes.ResetConnection), step(fakes.Hang)
)

func newEngine(t *testing.T, id string, script map[string][]step) *engine {
	t.Helper()
	e := &engine{fakes.NewEngine(id, script)}
	t.Cleanup(e.Close)
	return e
}

// await waits for a call that begins with the given text and returns it.
func (e *engine) await(t *testing.T, call string) string {
	t.Helper()
	for timeout := time.After(testTimeout); ; {
		select {
		case received := <-e.Calls():
			if strings.HasPrefix(received, call) {
				return received
			}
		case <-timeout:
			t.Fatalf("engine %s never received %s", e.ID, call)
		}
	}
}

// hasStarted reports whether the engine received a request since the last call of hasStarted or await.
func (e *engine) hasStarted() bool {
	for {
		select {
		case call := <-e.Calls():
			if strings.HasPrefix(call, "POST") {
				return true
			}
		default:
			return false
		}
	}
}

func member(e *engine, phase string) string {
	return fakes.Member(e.ID, e.Server.Listener.Addr().String(), phase)
}

func activeMembers(engines []*engine) (members []string) {
	for _, e := range engines {
		members = append(members, member(e, "active"))
	}
	return members
}

func newControl(t *testing.T) *fakes.ControlFeed {
	t.Helper()
	feed := fakes.NewControlFeed()
	t.Cleanup(feed.Close)
	return feed
}

// watchEvent returns an event of the control feed.
func watchEvent(number int, members ...string) string {
	return fmt.Sprintf("id: %d\ndata: {\"n\":%d,\"members\":{\"members\":[%s]}}\n\n", number, number, strings.Join(members, ","))
}

// client is a connection to a router.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func dial(t *testing.T, r *routerProcess) *client {
	t.Helper()
	c, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return &client{c, t, bufio.NewReader(c)}
}

func (c *client) send(kind byte, stream uint32, payload string) {
	c.t.Helper()
	_, err := c.Write(fakes.Frame(kind, stream, payload))
	require.NoError(c.t, err)
}

// frame is a frame that a client received. The code is that of an answer or a readiness reply, and the body that of an answer.
type frame struct {
	kind   byte
	stream uint32
	code   byte
	body   string
}

func answer(stream uint32, code byte, body string) frame {
	return frame{kind: frameAnswer, stream: stream, code: code, body: body}
}

func (c *client) tryRead() (frame, error) {
	received, err := fakes.ReadFrame(c.reader)
	return frame{kind: received.Kind, stream: received.Stream, code: received.Code, body: received.Body}, err
}

func (c *client) read() frame {
	c.t.Helper()
	f, err := c.tryRead()
	require.NoError(c.t, err)
	return f
}

// readAnswer skips frames until it reads an answer.
func (c *client) readAnswer() frame {
	c.t.Helper()
	for {
		if f := c.read(); f.kind == frameAnswer {
			return f
		}
	}
}

func (c *client) expect(want frame) {
	c.t.Helper()
	assert.Equal(c.t, want, c.read())
}

// statement returns the payload of a statement. changes are pairs of a field and its value, where "-" removes the field.
func statement(workload string, n int, changes ...string) string {
	fields := map[string]string{"c": workload, "i": fmt.Sprintf("%016x", n), "d": "5000", "t": "acme", "h": "20.0", "heap_mb": "8"}
	for i := 0; i < len(changes); i += 2 {
		name, value := changes[i], changes[i+1]
		fields[name] = value
		if value == "-" {
			delete(fields, name)
		}
	}
	return fakes.Payload(fields, fmt.Sprintf("SELECT * FROM sales_%d.orders", n))
}
