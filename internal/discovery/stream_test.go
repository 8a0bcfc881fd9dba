package discovery

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// minDrainGrace is the shortest drain grace period that may follow an event.
const minDrainGrace = 250 * time.Millisecond

// A stream stops delivering events in various ways, and the first new connections may deliver none either. An event must still be handled
// within maxNotificationDelay and the shortest drain grace period after it.
func TestWatchReplacesSilentStream(t *testing.T) {
	comments := sendRepeatedly(responseHead, ":\n\n", time.Second)
	next := sendRepeatedly(responseHead+eventText("5", "5"), ":\n\n", time.Second)
	silent := sendOnce("")
	partOfEvent := responseHead + ":\n\n" + eventText("5", "5")[:30]
	for _, c := range []struct {
		name    string
		scripts []script
	}{
		{"silent from the first byte", []script{silent, silent, silent, next}},
		{"silent after its header", []script{sendOnce(responseHead), sendOnce(responseHead), sendOnce(responseHead[:20]), next}},
		{"silent in an event, then from the first byte", []script{sendOnce(partOfEvent), silent, silent, next}},
		{"an event that arrives a byte at a time", []script{sendRepeatedly(partOfEvent, "x", 200*time.Millisecond), silent, next}},
		{"a header that arrives a byte at a time", []script{sendRepeatedly("HTTP/1.1 200 OK\r\nX: ", "x", 200*time.Millisecond), next}},
		{"comments and no events", []script{comments, next}},
		{"comments and no events, then silent", []script{comments, silent, next}},
		{"slow to respond on each connection", []script{respondAfter(3*time.Second, responseHead+eventText("5", "5"))}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, requested := serveScripts(t, c.scripts...)
			client, handled := newTestClient(address, 4)
			watch(t, client)
			require.Equal(t, "4", await(t, requested))
			began := time.Now() // from now on the feed has the event that this connection does not deliver
			select {
			case number := <-handled:
				assert.Equal(t, int64(5), number)
				t.Log("handled after", time.Since(began))
			case <-time.After(maxNotificationDelay + minDrainGrace):
				t.Error("the event was not handled within the notification delay and the drain grace period")
			}
		})
	}
}

// Guards against events that are handled late: while a new connection did not respond, the current one was not read.
func TestCurrentStreamIsReadWhileReplacementIsSilent(t *testing.T) {
	replacementRequested := make(chan struct{})
	current := func(conn net.Conn, closed <-chan struct{}) {
		io.WriteString(conn, responseHead)
		for {
			io.WriteString(conn, ":\n\n")
			select {
			case <-replacementRequested:
				io.WriteString(conn, eventText("5", "5"))
				<-closed
				return
			case <-time.After(time.Second):
			case <-closed:
				return
			}
		}
	}
	address, requested := serveScripts(t, current, sendOnce(""))
	client, handled := newTestClient(address, 4)
	watch(t, client)
	require.Equal(t, "4", await(t, requested))
	require.Equal(t, "4", await(t, requested), "the replacement")
	close(replacementRequested)
	assert.Equal(t, int64(5), await(t, handled))
}

// The timeout for the first line increases while the feed is slow to respond.
func TestFirstLineTimeout(t *testing.T) {
	pending := &pendingStreams{}
	for _, want := range []time.Duration{initialLineTimeout, initialLineTimeout * 3 / 2, silenceTimeout, silenceTimeout} {
		assert.Equal(t, want, pending.firstLineTimeout().Round(time.Microsecond))
		pending.emptyConnections++
	}
}

// A stream with comments and without events stays in use while no replacement connection can be opened.
func TestMonitoredConnKeepsStreamWithoutReplacement(t *testing.T) {
	in, out := net.Pipe()
	defer in.Close()
	attempts := 0
	conn := &monitoredConn{
		Conn:            out,
		lastProgress:    time.Now(),
		progressTimeout: silenceTimeout,
		headerRead:      true,
		bodyStarted:     true,
		lastEvent:       time.Now().Add(-eventTimeout),
		reading:         new(atomic.Bool),
		interrupted:     new(atomic.Bool),
		connectReplacement: func() bool {
			attempts++
			return attempts > 1
		},
	}
	read := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 10))
		read <- err
	}()
	go func() { io.WriteString(in, ":\n") }() // input that arrives in the meantime is read
	require.NoError(t, await(t, read))
	_, err := conn.Read(make([]byte, 10)) // the first attempt to open a replacement fails, the second succeeds
	require.ErrorIs(t, err, errReplaced)
	assert.Equal(t, 2, attempts)
}

// Guards against a feed that is connected to again every few seconds: comments that end with CR did not count as progress.
func TestLinesOfAnyEndAreProgress(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r", "\r\n"} {
		conn := &monitoredConn{progressTimeout: initialLineTimeout, headerRead: true}
		now := time.Now()
		conn.recordProgress([]byte(":"), now)
		assert.False(t, conn.bodyStarted, "an incomplete line")
		conn.recordProgress([]byte(lineEnd), now)
		assert.True(t, conn.bodyStarted, "%q", lineEnd)
		assert.Equal(t, now, conn.lastProgress, "%q", lineEnd)
		assert.Equal(t, silenceTimeout, conn.progressTimeout, "%q", lineEnd)
	}
}
