package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
	"bankledge/internal/invariant"
)

// engineScript returns the response to a request on the connection with the given number, counted from 1; "" closes the
// connection.
type engineScript func(engine *persistentEngine, method string, connection int) string

// persistentEngine is an engine that continues to run an attempt when its listener or its connections are closed.
type persistentEngine struct {
	listener       net.Listener
	script         engineScript
	requests       chan string   // the methods of the received requests
	startReceived  chan struct{} // closed by scripts
	cancelReceived chan struct{} // closed on the first cancellation
	cancelOnce     sync.Once
	serving        sync.WaitGroup

	mu          sync.Mutex
	connections []net.Conn
	running     bool
	lastRequest time.Time
}

func startPersistentEngine(t *testing.T, script engineScript) *persistentEngine {
	t.Helper()
	engine := &persistentEngine{
		listener:       listenOnLoopback(t),
		script:         script,
		requests:       make(chan string, 1000),
		startReceived:  make(chan struct{}),
		cancelReceived: make(chan struct{}),
	}
	engine.serving.Go(engine.accept)
	t.Cleanup(func() {
		engine.listener.Close()
		engine.closeConnections()
		engine.serving.Wait()
	})
	return engine
}

func (e *persistentEngine) accept() {
	for {
		socket, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.connections = append(e.connections, socket)
		number := len(e.connections)
		e.mu.Unlock()
		e.serving.Go(func() { e.serve(socket, number) })
	}
}

func (e *persistentEngine) serve(socket net.Conn, number int) {
	reader := bufio.NewReader(socket)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		response := e.script(e, request.Method, number)
		e.recordRequest(request.Method, response)
		e.requests <- request.Method
		if response == "" {
			socket.Close()
			return
		}
		io.WriteString(socket, response)
	}
}

func (e *persistentEngine) recordRequest(method, response string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch method {
	case http.MethodPost:
		e.running = true
		e.lastRequest = time.Now()
	case http.MethodGet:
		e.lastRequest = time.Now()
	case http.MethodDelete:
		e.running = e.running && response != cancelledResponse
		e.cancelOnce.Do(func() { close(e.cancelReceived) })
	}
}

func (e *persistentEngine) closeConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, socket := range e.connections {
		socket.Close()
	}
}

func (e *persistentEngine) hasStarted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.lastRequest.IsZero()
}

// stillRuns reports whether the attempt was started and was neither cancelled nor dropped for lack of requests.
func (e *persistentEngine) stillRuns() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running && time.Since(e.lastRequest) < engineRetention
}

func (e *persistentEngine) awaitRequest(t *testing.T, method string) {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case received := <-e.requests:
			if received == method {
				return
			}
		case <-timeout:
			t.Fatalf("no %s was received", method)
		}
	}
}

// stopListening waits until the attempt has been polled and then closes the listener.
func (e *persistentEngine) stopListening(t *testing.T) {
	t.Helper()
	e.awaitRequest(t, http.MethodGet)
	e.listener.Close()
}

// holdPolls responds like an engine without progress, which holds each poll for a while.
func holdPolls(_ *persistentEngine, method string, _ int) string {
	switch method {
	case http.MethodDelete:
		return cancelledResponse
	case http.MethodGet:
		time.Sleep(pollHoldTime / 5)
	}
	return noProgressResponse
}

// A statement may be started on another engine once its attempt is reported as ended, so the first engine must no longer
// run the attempt, whichever end is reported. Each case is one way in which an attempt ends at an engine that would otherwise
// continue to run it.
func TestEndedAttemptsDoNotRun(t *testing.T) {
	cases := map[string]struct {
		script  engineScript
		act     func(t *testing.T, engine *persistentEngine, client *Client, attempt *Attempt)
		outcome decision.Outcome
	}{
		"cancelled at an engine that no longer listens": {
			script: holdPolls,
			act: func(t *testing.T, engine *persistentEngine, _ *Client, attempt *Attempt) {
				engine.stopListening(t)
				attempt.Cancel()
			},
			outcome: decision.Cancelled,
		},
		"cancelled at an engine that no longer listens and is not listed": {
			script: holdPolls,
			act: func(t *testing.T, engine *persistentEngine, client *Client, attempt *Attempt) {
				engine.stopListening(t)
				client.RemoveEngine("e")
				attempt.Cancel()
			},
			outcome: decision.Cancelled,
		},
		"connections break at an engine that no longer listens": {
			script: holdPolls,
			act: func(t *testing.T, engine *persistentEngine, _ *Client, _ *Attempt) {
				engine.stopListening(t)
				engine.closeConnections()
			},
			outcome: decision.ConnectionReset,
		},
		"the address passes to another engine and the connections are closed": {
			script: holdPolls,
			act: func(t *testing.T, engine *persistentEngine, client *Client, _ *Attempt) {
				engine.awaitRequest(t, http.MethodGet)
				client.UpdateEngine("other", engine.listener.Addr().String(), true)
				engine.closeConnections()
			},
			outcome: decision.ConnectionReset,
		},
		"the start arrives after its cancellation": {
			script: func(engine *persistentEngine, method string, connection int) string {
				if method == http.MethodPost {
					close(engine.startReceived)
					<-engine.cancelReceived
				}
				return holdPolls(engine, method, connection)
			},
			act: func(_ *testing.T, engine *persistentEngine, _ *Client, attempt *Attempt) {
				<-engine.startReceived
				attempt.Cancel()
			},
			outcome: decision.Cancelled,
		},
		"an end that the protocol does not define": {
			script: func(engine *persistentEngine, method string, connection int) string {
				if method == http.MethodGet {
					return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
				}
				return holdPolls(engine, method, connection)
			},
			outcome: decision.Errored,
		},
		"the cancellation is answered by a server that does not know the attempt": {
			script: func(engine *persistentEngine, method string, connection int) string {
				if method == http.MethodDelete && connection < 4 {
					return "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
				}
				return holdPolls(engine, method, connection)
			},
			act: func(t *testing.T, engine *persistentEngine, _ *Client, attempt *Attempt) {
				engine.awaitRequest(t, http.MethodGet)
				attempt.Cancel()
			},
			outcome: decision.Cancelled,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engine := startPersistentEngine(t, test.script)
			ctx, cancel := context.WithCancel(t.Context())
			ends := make(endRecorder, 10)
			client := newTestClient(ctx, ends, 20, time.Second, engine.listener.Addr().String())
			attempt := client.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Text: []byte("select"), Deadline: oneMinuteFromNow()})
			if test.act != nil {
				test.act(t, engine, client, attempt)
			}
			ended := receive(t, ends)
			require.Eventually(t, engine.hasStarted, testTimeout, time.Millisecond) // the start has arrived at the engine
			assert.False(t, engine.stillRuns(), "the engine still runs the attempt")
			assert.Equal(t, test.outcome, ended.Outcome)
			cancel()
			require.NoError(t, client.Run(ctx))
			assert.Zero(t, client.ConnectionsInUse(), "all connections are released")
			assert.Empty(t, ends, "the end is reported once")
		})
	}
}

// An end with an invalid confirmation is counted as a violation and reported only once a valid confirmation exists.
func TestUnconfirmedEndIsNotReported(t *testing.T) {
	for name, test := range map[string]struct {
		confirmation EndConfirmation
		violations   int64
		cancelled    bool // whether a cancellation is sent before the end is reported
	}{
		"reported as expired, but a request was sent just now":      {ConfirmedByExpiry, 1, true},
		"reported as not sent, but sent":                            {ConfirmedNotSent, 1, true},
		"reported at shutdown, but the client is not shutting down": {UnconfirmedAtShutdown, 1, true},
		"reported by the engine":                                    {ConfirmedByEngine, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			engine := startPersistentEngine(t, holdPolls)
			ends := make(endRecorder, 1)
			client := newTestClient(t.Context(), ends, 4, time.Second, engine.listener.Addr().String())
			attempt := newAttempt(t.Context(), client, AttemptRequest{Statement: "1"})
			close(attempt.startResolved)
			attempt.startWritten.Store(true)
			attempt.lastRequest.store(client.clockOrigin, time.Now())
			client.pool.attemptStarted("e")
			attempt.reportEnd(attemptEnd{outcome: decision.Cancelled, confirmation: test.confirmation})
			assert.Equal(t, decision.Cancelled, receive(t, ends).Outcome)
			assert.Equal(t, test.violations, client.Violations.Count(invariant.ConfirmedAttemptEnd))
			assert.Equal(t, test.cancelled, isClosed(engine.cancelReceived), "whether a cancellation was sent to the engine")
		})
	}
}
