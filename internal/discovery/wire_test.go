package discovery

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

var update = flag.Bool("update", false, "rewrite the recorded results in testdata instead of comparing with them")

// describeEvent formats an event as a line, without the start times, which depend on the clock.
func describeEvent(event WatchEvent) string {
	text := fmt.Sprintf("%d revision %d complete %t", event.Number, event.Revision, event.Complete)
	for _, e := range event.Endpoints {
		text += fmt.Sprintf("; %q %q %q %q %d %d %s", e.Engine, e.Address, e.Zone, e.MachineType, e.Cell, e.State,
			strconv.FormatFloat(e.Weight, 'g', -1, 64))
	}
	return text
}

// errorText returns an error's text without the name of the Go type that encoding/json appends.
func errorText(err error) string {
	text, _, _ := strings.Cut(err.Error(), " of type ")
	return text
}

// playLines calls step for each line of a file. If step returns a non-empty text, the line must equal that text.
func playLines(t *testing.T, file string, step func(line string) string) {
	t.Helper()
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	lines := strings.Split(string(raw), "\n")
	for i, line := range lines {
		if line == "" || line[0] == '#' {
			continue
		}
		got := step(line)
		if got == "" {
			continue
		}
		if !*update {
			require.Equal(t, line, got, "line %d of %s", i+1, file)
		}
		lines[i] = got
	}
	if *update {
		require.NoError(t, os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o644))
	}
}

// TestEventTexts parses the events of testdata/events.txt. Each line "event JSON" is followed by the expected result: "change ...",
// "no list" or "error ...".
func TestEventTexts(t *testing.T) {
	raw := ""
	playLines(t, "testdata/events.txt", func(line string) string {
		if text, ok := strings.CutPrefix(line, "event "); ok {
			raw = text
			return ""
		}
		event, hasList, err := ParseEvent([]byte(raw))
		switch {
		case err != nil:
			return "error " + errorText(err)
		case !hasList:
			return fmt.Sprintf("no list %d", event.Number)
		}
		return "change " + describeEvent(event)
	})
}

// TestWireTranscripts replays the exchanges with a control feed in testdata/wire and compares them byte for byte. Each line of a transcript
// is a step:
//
//	last N              before all other steps: the number of the last handled event
//	known JSON          before all other steps: an event of the configuration
//	known error TEXT    the error for the last known event
//	request QUOTED      the next connection and its request; ADDRESS replaces the feed's host and port
//	write QUOTED        the feed writes to the latest connection
//	close               the feed closes the latest connection
//	take ...            the next change that the client handles
//	move [JSON]         the feed moves to a second address, with a known event
func TestWireTranscripts(t *testing.T) {
	files, err := filepath.Glob("testdata/wire/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			player := newWirePlayer(t)
			playLines(t, file, player.play)
		})
	}
}

// wirePlayer replays one transcript.
type wirePlayer struct {
	t          *testing.T
	client     *Client
	handled    chan WatchEvent
	listeners  [2]net.Listener // listeners at the addresses that the client watches one after the other
	current    net.Listener    // accepts the next request
	conn       net.Conn        // the latest connection
	watching   bool
	knownError string // the error for the latest known event
}

func newWirePlayer(t *testing.T) *wirePlayer {
	t.Helper()
	p := &wirePlayer{t: t, handled: make(chan WatchEvent, 100)}
	for i := range p.listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { listener.Close() })
		p.listeners[i] = listener
	}
	p.current = p.listeners[0]
	p.client = New(p.current.Addr().String(), time.Now(), p.handle, zap.NewNop())
	return p
}

func (p *wirePlayer) handle(event WatchEvent) { p.handled <- event }

// play executes a step. If the step describes an action of the router, play returns the line for the actual action.
func (p *wirePlayer) play(step string) string {
	p.t.Helper()
	name, rest, _ := strings.Cut(step, " ")
	switch name {
	case "last":
		last, err := strconv.ParseInt(rest, 10, 64)
		require.NoError(p.t, err)
		p.client.LastEventID = last
	case "known":
		if strings.HasPrefix(rest, "error") {
			return "known " + p.knownError
		}
		p.applyKnown(rest)
	case "request":
		return "request " + strconv.Quote(p.request())
	case "write":
		text, err := strconv.Unquote(rest)
		require.NoError(p.t, err)
		_, err = io.WriteString(p.conn, text)
		require.NoError(p.t, err)
	case "close":
		require.NoError(p.t, p.conn.Close())
	case "take":
		return "take " + describeEvent(await(p.t, p.handled))
	case "move":
		p.move(rest)
	default:
		p.t.Fatalf("unknown step %q", step)
	}
	return ""
}

func (p *wirePlayer) applyKnown(event string) {
	last, err := p.client.ApplyKnownEvents([]json.RawMessage{json.RawMessage(event)}, p.handle)
	p.client.LastEventID = max(p.client.LastEventID, last)
	p.knownError = ""
	if err != nil {
		p.knownError = "error " + errorText(err)
	}
}

func (p *wirePlayer) move(knownEvent string) {
	var events []json.RawMessage
	if knownEvent != "" {
		events = append(events, json.RawMessage(knownEvent))
	}
	p.current = p.listeners[1]
	p.client.SetAddress(p.current.Addr().String(), events)
}

// request accepts the next connection and reads its request. The first call starts the client's Watch.
func (p *wirePlayer) request() string {
	p.t.Helper()
	if !p.watching {
		p.watching = true
		watch(p.t, p.client)
	}
	deadline := time.Now().Add(testTimeout)
	require.NoError(p.t, p.current.(*net.TCPListener).SetDeadline(deadline))
	conn, err := p.current.Accept()
	require.NoError(p.t, err)
	p.t.Cleanup(func() { conn.Close() })
	p.conn = conn
	require.NoError(p.t, conn.SetDeadline(deadline))
	r := bufio.NewReader(conn)
	var text strings.Builder
	for !strings.HasSuffix(text.String(), "\r\n\r\n") {
		line, err := r.ReadString('\n')
		require.NoError(p.t, err)
		text.WriteString(line)
	}
	require.Zero(p.t, r.Buffered(), "no data follows the request")
	return strings.ReplaceAll(text.String(), p.current.Addr().String(), "ADDRESS")
}
