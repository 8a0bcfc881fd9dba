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
	testTimeout = 10 * time.Second // limits the wait for expected events

	noProgressResponse = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	cancelledResponse  = "HTTP/1.1 204 No Content\r\n\r\n"
)

// receive returns the next value of a channel, and fails the test if none arrives within testTimeout.
func receive[T any](t *testing.T, channel <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-channel:
	case <-time.After(testTimeout):
		t.Fatal("nothing was received before the test timeout")
	}
	return value
}

// endRecorder is a Listener that records the ends of attempts.
type endRecorder chan decision.AttemptEnded

func (r endRecorder) AttemptProgressed(decision.AttemptProgress)              {}
func (r endRecorder) AttemptEnded(ended decision.AttemptEnded, result []byte) { r <- ended }
func (r endRecorder) HealthCheckEnded(decision.HealthCheckEnded)              {}

// resultRecorder is a Listener that records each attempt's statement and result, separated by a space.
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

// newTestClient returns a client whose attempts end when ctx is done. The engine "e" is listed at the given address.
func newTestClient(ctx context.Context, listener Listener, maxConnections int, connectTimeout time.Duration, address string) *Client {
	client := New(ctx, listener, maxConnections, time.Minute, connectTimeout, zap.NewNop())
	client.UpdateEngine("e", address, true)
	return client
}

// newAttempt returns an attempt at the engine "e" without a goroutine that runs it.
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

func oneMinuteFromNow() time.Time { return time.Now().Add(time.Minute) }

// awaitReusableIdle waits until the idle connection to the engine "e", if there is one, may be reused.
func awaitReusableIdle(t *testing.T, client *Client) {
	t.Helper()
	require.Eventually(t, func() bool {
		client.pool.mu.Lock()
		defer client.pool.mu.Unlock()
		idle := client.pool.idle["e"]
		return len(idle) == 0 || time.Since(idle[0].idleSince) > 2*minIdleBeforeReuse
	}, testTimeout, time.Millisecond)
}

// serveImmediately responds to each request on a listener at once, without progress. The returned channel receives the first
// four bytes of each request.
func serveImmediately(t *testing.T, listener net.Listener) <-chan string {
	t.Helper()
	requests := make(chan string, 1000)
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go respondImmediately(socket, requests)
		}
	}()
	t.Cleanup(func() { listener.Close() })
	return requests
}

func respondImmediately(socket net.Conn, requests chan<- string) {
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
