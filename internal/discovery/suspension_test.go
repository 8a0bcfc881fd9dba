package discovery

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// connectPair returns both ends of a connection over loopback.
func connectPair(t *testing.T) (client *net.TCPConn, feed net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { dialled.Close() })
	feed, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { feed.Close() })
	return dialled.(*net.TCPConn), feed
}

// When the router resumes after a suspension, the deadline of a read has passed and data that the feed sent in the meantime is unread. The
// data must be read and the connection kept.
func TestReadAfterDeadlineReadsWhatHasArrived(t *testing.T) {
	client, feed := connectPair(t)
	_, err := feed.Write([]byte(eventText("5", "5")))
	require.NoError(t, err)
	watcher := &Client{}
	watcher.conn.Store(client)
	watcher.reading.Store(true)
	require.Eventually(t, watcher.HasUnreadEvents, testTimeout, time.Millisecond)
	stream := &monitoredConn{
		Conn:            client,
		lastProgress:    time.Now().Add(-time.Minute),
		progressTimeout: silenceTimeout,
		headerRead:      true,
		bodyStarted:     true,
		lastEvent:       time.Now().Add(-time.Minute),
		reading:         &watcher.reading,
		interrupted:     &watcher.replacementOpened,
	}
	received := make([]byte, 1000)
	n, err := stream.Read(received)
	require.NoError(t, err)
	assert.Equal(t, eventText("5", "5"), string(received[:n]))

	stream.lastProgress = time.Now().Add(-time.Minute)
	_, err = stream.Read(received)
	assert.Error(t, err, "no data has arrived: the feed is silent")
}

// HasUnreadEvents reports whether the feed has sent data that the router has not handled. Without a connection this is unknown and the
// result is true; callers wait only for a limited time.
func TestHasUnreadEvents(t *testing.T) {
	client, feed := connectPair(t)
	watcher := &Client{}
	assert.True(t, watcher.HasUnreadEvents(), "no connection")
	watcher.conn.Store(client)
	assert.True(t, watcher.HasUnreadEvents(), "the client is handling what it has read")
	watcher.reading.Store(true)
	assert.False(t, watcher.HasUnreadEvents())
	_, err := feed.Write([]byte(":\n"))
	require.NoError(t, err)
	require.Eventually(t, watcher.HasUnreadEvents, testTimeout, time.Millisecond)
	client.Close()
	assert.True(t, watcher.HasUnreadEvents(), "closed")
}
