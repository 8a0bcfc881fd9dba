package discovery

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const (
	// testTimeout limits the wait for expected events. It is much longer than they take in a passing test.
	testTimeout = 30 * time.Second

	responseHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

	member = `{"id":"e1","host_port":"127.0.0.1:9","locality":"z","flavor":"k","cell":2,"phase":"active","size":4}`
)

// eventText returns an event of the control feed with one engine.
func eventText(id, number string) string {
	return "id: " + id + "\ndata: {\"n\":" + number + ",\"members\":{\"members\":[" + member + "]}}\n\n"
}

// newTestClient returns a client that has handled the events up to lastEventID, and a channel of the numbers of events that it handles.
func newTestClient(address string, lastEventID int64) (*Client, <-chan int64) {
	handled := make(chan int64, 10)
	return &Client{
		address:     address,
		LastEventID: lastEventID,
		log:         zap.NewNop(),
		onEvent:     func(event WatchEvent) { handled <- event.Number },
	}, handled
}

// watch runs the client's Watch until the test ends.
func watch(t *testing.T, client *Client) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- client.Watch(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
}

// script is the behaviour of a control feed on one connection, after the request, until the client closes the connection.
type script func(conn net.Conn, closed <-chan struct{})

// sendOnce returns a script that writes a text and nothing more.
func sendOnce(text string) script { return sendRepeatedly(text, "", testTimeout) }

// sendRepeatedly returns a script that writes a text and then periodically another one.
func sendRepeatedly(text, periodic string, every time.Duration) script {
	return func(conn net.Conn, closed <-chan struct{}) {
		io.WriteString(conn, text)
		for {
			select {
			case <-time.After(every):
				io.WriteString(conn, periodic)
			case <-closed:
				return
			}
		}
	}
}

// respondAfter returns a script that writes a text after a delay.
func respondAfter(delay time.Duration, text string) script {
	return func(conn net.Conn, closed <-chan struct{}) {
		select {
		case <-time.After(delay):
			io.WriteString(conn, text)
			<-closed
		case <-closed:
		}
	}
}

// serveScripts starts a control feed. Each connection follows the next script; further connections follow the last one. It returns the
// feed's address and a channel of the Last-Event-ID of each request.
func serveScripts(t *testing.T, scripts ...script) (address string, requested <-chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	ids := make(chan string, 100)
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScript(conn, scripts[min(n, len(scripts)-1)], ids)
		}
	}()
	return listener.Addr().String(), ids
}

func serveScript(conn net.Conn, run script, requested chan<- string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if id, ok := strings.CutPrefix(line, "Last-Event-ID: "); ok {
			requested <- strings.TrimSpace(id)
		}
		if line == "\r\n" {
			break
		}
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		r.ReadByte()
	}()
	run(conn, closed)
}

func await[T any](t *testing.T, events <-chan T) (event T) {
	t.Helper()
	select {
	case event = <-events:
	case <-time.After(testTimeout):
		t.Fatal("nothing was received before the test timeout")
	}
	return event
}
