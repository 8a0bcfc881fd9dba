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

// minDrainGrace is the shortest drain grace that an event may be followed by.
const minDrainGrace = 250 * time.Millisecond

// However a stream stops bringing events, and if the first new connection brings none either, an event is handled before it counts as
// notified and a drain grace behind it has passed.
func TestWatchReplacesSilentStream(t *testing.T) {
	comments := repeats(responseHead, ":\n\n", time.Second)
	next := repeats(responseHead+eventText("5", "5"), ":\n\n", time.Second)
	silent := sends("")
	partOfEvent := responseHead + ":\n\n" + eventText("5", "5")[:30]
	for _, c := range []struct {
		name    string
		scripts []script
	}{
		{"silent from the first byte", []script{silent, silent, silent, next}},
		{"silent after its header", []script{sends(responseHead), sends(responseHead), sends(responseHead[:20]), next}},
		{"silent in an event, then from the first byte", []script{sends(partOfEvent), silent, silent, next}},
		{"a byte at a time", []script{repeats(partOfEvent, "x", 200*time.Millisecond), silent, next}},
		{"a header that trickles", []script{repeats("HTTP/1.1 200 OK\r\nX: ", "x", 200*time.Millisecond), next}},
		{"comments and no events", []script{comments, next}},
		{"comments and no events, then silent", []script{comments, silent, next}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, requested := serveScripts(t, c.scripts...)
			client, handled := newTestClient(address, 4)
			watch(t, client)
			require.Equal(t, "4", await(t, requested))
			began := time.Now() // the event that this connection will not bring is in the feed from here on
			select {
			case number := <-handled:
				assert.Equal(t, int64(5), number)
				t.Log("handled after", time.Since(began))
			case <-time.After(maxNotificationDelay + minDrainGrace):
				t.Error("not handled when it counts as notified and the grace is over")
			}
		})
	}
}

// The time limit for the first line increases for a feed that is slow to begin.
func TestFirstLineTimeout(t *testing.T) {
	client := &Client{}
	for _, want := range []time.Duration{initialLineTimeout, initialLineTimeout * 3 / 2, silenceTimeout, silenceTimeout} {
		assert.Equal(t, want, client.firstLineTimeout().Round(time.Microsecond))
		client.emptyConnections++
	}
}

// A stream with comments and without events stays in use while no other connection can be opened.
func TestLiveConnKeepsStreamWithoutReplacement(t *testing.T) {
	in, out := net.Pipe()
	defer in.Close()
	attempts := 0
	conn := &liveConn{
		Conn:            out,
		lastProgress:    time.Now(),
		progressTimeout: silenceTimeout,
		headerRead:      true,
		bodyStarted:     true,
		lastEvent:       time.Now().Add(-eventTimeout),
		reading:         new(atomic.Bool),
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
	go func() { io.WriteString(in, ":\n") }() // what arrives meanwhile is read
	require.NoError(t, await(t, read))
	_, err := conn.Read(make([]byte, 10)) // no other connection can be made at first, then one can
	require.ErrorIs(t, err, errReplaced)
	assert.Equal(t, 2, attempts)
}
