package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
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

var update = flag.Bool("update", false, "rewrite what the router does in testdata")

// changeText writes a change as a line, without the start times that are worked out by the clock.
func changeText(c WatchEvent) string {
	text := fmt.Sprintf("%d revision %d complete %t", c.Number, c.Revision, c.Complete)
	for _, m := range c.Endpoints {
		text += fmt.Sprintf("; %q %q %q %q %d %d %s", m.Engine, m.Address, m.Zone, m.MachineType, m.Cell, m.State,
			strconv.FormatFloat(m.Weight, 'g', -1, 64))
	}
	return text
}

// errorText is an error without the name of the Go type that encoding/json puts at its end.
func errorText(err error) string {
	text, _, _ := strings.Cut(err.Error(), " of type ")
	return text
}

// playLines runs a step for each line of a file; what a step returns, if not empty, is what the line has to be.
func playLines(t *testing.T, file string, step func(line string) string) {
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	lines := strings.Split(string(raw), "\n")
	for i, line := range lines {
		if line == "" || line[0] == '#' {
			continue
		}
		if got := step(line); *update && got != "" {
			lines[i] = got
		} else if got != "" {
			require.Equal(t, line, got, "line %d of %s", i+1, file)
		}
	}
	if *update {
		require.NoError(t, os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o644))
	}
}

// TestEventTexts reads the events of testdata/events.txt. A line "event JSON" is followed by what it is read as: "change ...", "no list"
// or "error ...".
func TestEventTexts(t *testing.T) {
	raw := ""
	playLines(t, "testdata/events.txt", func(line string) string {
		if text, ok := strings.CutPrefix(line, "event "); ok {
			raw = text
			return ""
		}
		c, held, err := ParseEvent([]byte(raw))
		switch {
		case err != nil:
			return "error " + errorText(err)
		case !held:
			return fmt.Sprintf("no list %d", c.Number)
		}
		return "change " + changeText(c)
	})
}

// TestWireTranscripts plays the exchanges of testdata/wire with a control feed, byte for byte. A line of a transcript is a step:
//
//	last N              before all else: the number of the last event that was taken
//	known JSON          before all else: an event of the configuration
//	known error TEXT    why the last of them cannot be taken
//	request QUOTED      the next connection and its request; ADDRESS stands for the feed's host and port
//	write QUOTED        the feed writes to the latest connection
//	close               the feed closes it
//	take ...            the change that is taken next
//	move [JSON]         the feed goes on at a second address, with an event that is known
func TestWireTranscripts(t *testing.T) {
	files, err := filepath.Glob("testdata/wire/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			p := &wirePlay{t: t, took: make(chan WatchEvent, 100)}
			for i := range p.places {
				var err error
				p.places[i], err = net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				t.Cleanup(func() { p.places[i].Close() })
			}
			p.feed = New(p.places[0].Addr().String(), time.Now(), func(c WatchEvent) { p.took <- c }, zap.NewNop())
			playLines(t, file, p.step)
		})
	}
}

// wirePlay plays one transcript.
type wirePlay struct {
	t       *testing.T
	feed    *Client
	places  [2]net.Listener
	at      int // the place where the next request is awaited
	took    chan WatchEvent
	conn    net.Conn
	follows bool
	known   string // why the last known event could not be taken
}

// step plays a step, and returns what the step should have been if it tells of something that the router does.
func (p *wirePlay) step(line string) string {
	t := p.t
	name, rest, _ := strings.Cut(line, " ")
	switch name {
	case "last":
		n, err := strconv.ParseInt(rest, 10, 64)
		require.NoError(t, err)
		p.feed.LastEventID = n
	case "known":
		if strings.HasPrefix(rest, "error") {
			return "known " + p.known
		}
		last, err := p.feed.ApplyKnownEvents([]json.RawMessage{json.RawMessage(rest)}, func(c WatchEvent) { p.took <- c })
		p.feed.LastEventID = max(p.feed.LastEventID, last)
		p.known = ""
		if err != nil {
			p.known = "error " + errorText(err)
		}
	case "request":
		p.follow()
		return "request " + strconv.Quote(p.request())
	case "write":
		text, err := strconv.Unquote(rest)
		require.NoError(t, err)
		_, err = p.conn.Write([]byte(text))
		require.NoError(t, err)
	case "close":
		require.NoError(t, p.conn.Close())
	case "take":
		select {
		case c := <-p.took:
			return "take " + changeText(c)
		case <-time.After(30 * time.Second):
			t.Fatal("no change was taken")
		}
	case "move":
		p.at = 1
		var events []json.RawMessage
		if rest != "" {
			events = append(events, json.RawMessage(rest))
		}
		p.feed.SetAddress(p.places[1].Addr().String(), events)
	default:
		t.Fatalf("unknown step %q", line)
	}
	return ""
}

// follow begins to follow the feed, once.
func (p *wirePlay) follow() {
	if p.follows {
		return
	}
	p.follows = true
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.feed.Watch(ctx) }()
	p.t.Cleanup(func() {
		cancel()
		require.NoError(p.t, <-ended)
	})
}

// request accepts the next connection and reads its request.
func (p *wirePlay) request() string {
	place := p.places[p.at]
	require.NoError(p.t, place.(*net.TCPListener).SetDeadline(time.Now().Add(30*time.Second)))
	conn, err := place.Accept()
	require.NoError(p.t, err)
	p.t.Cleanup(func() { conn.Close() })
	p.conn = conn
	require.NoError(p.t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	reader, text := bufio.NewReader(conn), ""
	for !strings.HasSuffix(text, "\r\n\r\n") {
		line, err := reader.ReadString('\n')
		require.NoError(p.t, err)
		text += line
	}
	require.Zero(p.t, reader.Buffered(), "nothing comes behind a request")
	return strings.ReplaceAll(text, place.Addr().String(), "ADDRESS")
}
