package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"bankledge/decision"
)

const (
	patience = 10 * time.Second // for what must happen

	noProgressResponse = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	cancelledResponse  = "HTTP/1.1 204 No Content\r\n\r\n"
)

// receive returns the next value of a channel, and fails the test if there is none in time.
func receive[T any](t *testing.T, channel <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-channel:
	case <-time.After(patience):
		t.Fatal("it did not happen")
	}
	return value
}

// endRecorder is a listener that keeps the ends of attempts.
type endRecorder chan decision.AttemptEnded

func (r endRecorder) AttemptProgressed(decision.AttemptProgress)              {}
func (r endRecorder) AttemptEnded(ended decision.AttemptEnded, result []byte) { r <- ended }
func (r endRecorder) HealthCheckEnded(decision.HealthCheckEnded)              {}

// resultRecorder is a listener that keeps the attempts' statements and results, separated by a space.
type resultRecorder chan string

func (r resultRecorder) AttemptProgressed(decision.AttemptProgress) {}
func (r resultRecorder) AttemptEnded(ended decision.AttemptEnded, result []byte) {
	r <- string(ended.Statement) + " " + string(result)
}
func (r resultRecorder) HealthCheckEnded(decision.HealthCheckEnded) {}

func listenOnLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	return listener
}

// newTestClient returns a client whose attempts end with ctx, which knows an engine "e" at an address.
func newTestClient(ctx context.Context, listener Listener, maxConnections int, connectTimeout time.Duration, address string) *Client {
	client := New(ctx, listener, maxConnections, time.Minute, connectTimeout, zap.NewNop())
	client.UpdateEngine("e", address, true)
	return client
}

// newAttempt returns an attempt at the engine "e" that no goroutine runs.
func newAttempt(ctx context.Context, client *Client, request AttemptRequest) *Attempt {
	request.Engine = "e"
	ctx, cancel := context.WithCancel(ctx)
	return &Attempt{
		client:         client,
		AttemptRequest: request,
		resourcePath:   "/x/" + string(request.Statement),
		address:        client.pool.addressOf("e"),
		createdAt:      time.Now(),
		ctx:            ctx,
		cancel:         cancel,
		startResolved:  make(chan struct{}),
		endConfirmed:   make(chan struct{}),
	}
}

func inAMinute() time.Time { return time.Now().Add(time.Minute) }

// awaitRest waits until an idle connection to the engine "e", if there is one, may be used again.
func awaitRest(t *testing.T, client *Client) {
	t.Helper()
	require.Eventually(t, func() bool {
		client.pool.mu.Lock()
		defer client.pool.mu.Unlock()
		idle := client.pool.idle["e"]
		return len(idle) == 0 || time.Since(idle[0].idleSince) > 2*minRestTime
	}, patience, time.Millisecond)
}

// serveAtOnce answers each request on a listener at once, without progress, and returns the first four bytes of each.
func serveAtOnce(t *testing.T, listener net.Listener) <-chan string {
	t.Helper()
	requests := make(chan string, 1000)
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAtOnce(socket, requests)
		}
	}()
	t.Cleanup(func() { listener.Close() })
	return requests
}

func answerAtOnce(socket net.Conn, requests chan<- string) {
	defer socket.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := socket.Read(buffer)
		if err != nil {
			return
		}
		method := string(buffer[:n])[:4]
		requests <- method
		status := "202 -"
		if method == "DELE" {
			status = "204 -"
		}
		io.WriteString(socket, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
	}
}
