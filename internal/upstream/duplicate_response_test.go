package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"bankledge/decision"
)

// serveConnections creates a script for each connection, by the connection's number, and calls it for each request with
// the request's number on that connection. It writes what the script returns. Numbers are counted from 0.
func serveConnections(listener net.Listener, newScript func(connection int) func(request *http.Request, number int) string) {
	for connection := 0; ; connection++ {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		script := newScript(connection)
		go func() {
			defer socket.Close()
			reader := bufio.NewReader(socket)
			for number := 0; ; number++ {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				io.Copy(io.Discard, request.Body)
				io.WriteString(socket, script(request, number))
			}
		}()
	}
}

// resultResponse returns a response whose result contains the ID of the statement that a request is about.
func resultResponse(request *http.Request) string {
	statement := request.Header.Get(headerStatementID)
	if parts := strings.Split(request.URL.Path, "/"); len(parts) > 2 {
		statement = parts[2]
	}
	return "HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 6\r\n\r\nof-" + statement + "\n\n"
}

// A duplicate of a response arrives after the next request of the same attempt and is mistaken for the response to it. The
// actual response is still to arrive on that connection, and must not become the result of another statement.
func TestDuplicateStatusIsNotUsedForAnotherAttempt(t *testing.T) {
	const header = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n"
	duplicates := map[string]string{
		"no progress": header + "\r\n",
		"progress":    header + "X-How: done\r\nX-Num: 0.3\r\n\r\n",
	}
	for name, duplicate := range duplicates {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener := listenOnLoopback(t)
			go serveConnections(listener, func(connection int) func(*http.Request, int) string {
				delayed := "" // the response to the previous request
				return func(request *http.Request, _ int) string {
					if connection > 0 {
						return resultResponse(request)
					}
					if delayed == "" && request.Method == http.MethodPost {
						return duplicate
					}
					response := delayed
					if response == "" {
						response = duplicate // the duplicate of the start's response
					}
					delayed = resultResponse(request)
					return response
				}
			})
			results := make(resultRecorder, 2)
			client := newTestClient(t.Context(), results, 4, testTimeout, listener.Addr().String())
			for _, statement := range []decision.StatementID{"A", "B"} {
				client.StartAttempt(AttemptRequest{Statement: statement, Engine: "e", Text: []byte("select"), Deadline: oneMinuteFromNow()})
				assert.Equal(t, string(statement)+" of-"+string(statement)+"\n\n", receive(t, results))
				awaitReusableIdle(t, client)
			}
		})
	}
}

// A duplicate of an engine's response that a statement never ran arrives after the next start on the same connection. It
// must not be mistaken for the response to that start: the engine runs that statement, which would be retried and run twice.
func TestDuplicateNeverRanIsNotUsedForAnotherAttempt(t *testing.T) {
	const neverRan = "HTTP/1.1 503 Service Unavailable\r\nX-Unrun: 1\r\nContent-Length: 0\r\n\r\n"
	const result = "HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 4\r\n\r\none\n"
	listener := listenOnLoopback(t)
	go serveConnections(listener, func(connection int) func(*http.Request, int) string {
		return func(_ *http.Request, number int) string {
			switch {
			case connection > 0:
				return result
			case number > 0:
				return neverRan + result
			}
			return neverRan
		}
	})
	ends := make(endRecorder, 2)
	client := newTestClient(t.Context(), ends, 4, testTimeout, listener.Addr().String())
	client.StartAttempt(AttemptRequest{Statement: "A", Engine: "e", Text: []byte("select"), Deadline: oneMinuteFromNow()})
	assert.Equal(t, decision.Overloaded, receive(t, ends).Outcome)
	awaitReusableIdle(t, client)
	client.StartAttempt(AttemptRequest{Statement: "B", Engine: "e", Text: []byte("update"), Deadline: oneMinuteFromNow()})
	assert.Equal(t, decision.Completed, receive(t, ends).Outcome)
}
