package discovery

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const (
	// told is when an event counts as told, whether or not it arrived; drained is the shortest grace for a drain behind it that is asked for.
	told, drained = 7 * time.Second, 250 * time.Millisecond

	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
)

// scripted is a control feed of which each connection follows the next part of a script, the last one ever again.
func scripted(t *testing.T, parts ...func(c net.Conn, gone <-chan struct{})) (address string, asked chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	asked = make(chan string, 100)
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			part := parts[min(n, len(parts)-1)]
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for line := ""; line != "\r\n"; {
					if line, err = r.ReadString('\n'); err != nil {
						return
					}
					if id, ok := strings.CutPrefix(line, "Last-Event-ID: "); ok {
						asked <- strings.TrimSpace(id)
					}
				}
				gone := make(chan struct{})
				go func() { r.ReadByte(); close(gone) }()
				part(c, gone)
			}()
		}
	}()
	return l.Addr().String(), asked
}

// says writes text and nothing more; comments goes on with a comment each second; trickles with a byte of a line that never ends.
func says(text string) func(net.Conn, <-chan struct{}) {
	return func(c net.Conn, gone <-chan struct{}) { io.WriteString(c, text); <-gone }
}

func goesOn(text, with string, every time.Duration) func(net.Conn, <-chan struct{}) {
	return func(c net.Conn, gone <-chan struct{}) {
		io.WriteString(c, text)
		for {
			select {
			case <-time.After(every):
				io.WriteString(c, with)
			case <-gone:
				return
			}
		}
	}
}

// However a watch stops telling, and if the first new one tells nothing either, an event is known before it counts as told and a drain
// grace behind it has passed.
func TestAWatchThatTellsNothing(t *testing.T) {
	comments := goesOn(streamHead, ":\n\n", time.Second)
	next := goesOn(streamHead+event("5", "5"), ":\n\n", time.Second)
	silent, half := says(""), streamHead+":\n\n"+event("5", "5")[:30]
	for _, c := range []struct {
		name  string
		parts []func(net.Conn, <-chan struct{})
	}{
		{"silent from the first byte", []func(net.Conn, <-chan struct{}){silent, silent, silent, next}},
		{"silent after its head", []func(net.Conn, <-chan struct{}){says(streamHead), says(streamHead), says(streamHead[:20]), next}},
		{"silent in an event, then from the first byte", []func(net.Conn, <-chan struct{}){says(half), silent, silent, next}},
		{"a byte at a time", []func(net.Conn, <-chan struct{}){goesOn(half, "x", 200*time.Millisecond), silent, next}},
		{"a head that trickles", []func(net.Conn, <-chan struct{}){goesOn("HTTP/1.1 200 OK\r\nX: ", "x", 200*time.Millisecond), next}},
		{"comments and no events", []func(net.Conn, <-chan struct{}){comments, next}},
		{"comments and no events, then silent", []func(net.Conn, <-chan struct{}){comments, silent, next}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, asked := scripted(t, c.parts...)
			took := make(chan int64, 10)
			f := &Client{Address: address, LastEventID: 4, Log: zap.NewNop(), OnEvent: func(c WatchEvent) { took <- c.Number }}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- f.Watch(ctx) }()
			require.Equal(t, "4", <-asked)
			began := time.Now() // the event that it will not be told of is in the feed from here on
			select {
			case n := <-took:
				assert.Equal(t, int64(5), n)
				t.Log("known after", time.Since(began))
			case <-time.After(told + drained):
				t.Error("not known when it counts as told and the grace is over")
			}
			cancel()
			require.NoError(t, <-ended)
		})
	}
}

// A feed that comments as it should and has nothing to tell keeps its connection while another cannot be had; one that is slow to begin is
// given ever more time.
func TestAWatchThatIsFine(t *testing.T) {
	f := &Client{}
	for _, want := range []time.Duration{firstLineTimeout, firstLineTimeout * 3 / 2, silenceTimeout, silenceTimeout} {
		assert.Equal(t, want, f.firstLineTimeout().Round(time.Microsecond))
		f.emptyConnections++
	}
	in, out := net.Pipe()
	defer in.Close()
	tries := 0
	a := &liveConn{Conn: out, lastProgress: time.Now(), progressTimeout: silenceTimeout, headerRead: true, bodyStarted: true, lastEvent: time.Now().Add(-eventTimeout), connectReplacement: func() bool { tries++; return tries > 1 }, reading: new(atomic.Bool)}
	read := make(chan error, 1)
	go func() { _, err := a.Read(make([]byte, 10)); read <- err }()
	go func() { io.WriteString(in, ":\n") }() // what comes meanwhile is taken
	require.NoError(t, <-read)
	_, err := a.Read(make([]byte, 10)) // no other connection is to be had at first, then one is
	require.ErrorIs(t, err, errReplaced)
	assert.Equal(t, 2, tries)
}
