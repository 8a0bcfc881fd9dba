package fakes

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// respondAfterPoll is how long a step of RespondAfter holds a poll before it says that there is no result yet.
const respondAfterPoll = 100 * time.Millisecond

// Respond answers with a status, a body and headers, which are pairs of name and value.
func Respond(status int, body string, headers ...string) Step {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

// RespondResult answers with a result of one page.
func RespondResult(body string) Step {
	return Respond(http.StatusOK, body, "X-Batches", "1", "X-Gauges", "inflight:1;util:0.1")
}

// RespondPage answers any page with its number.
func RespondPage(body string) Step {
	return func(w http.ResponseWriter, r *http.Request) {
		page := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
		Respond(http.StatusOK, body, "X-Batch", page)(w, r)
	}
}

// RespondRaw writes bytes as they are and closes the connection.
func RespondRaw(bytes string) Step {
	return func(w http.ResponseWriter, _ *http.Request) {
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			io.WriteString(c, bytes)
			c.Close()
		}
	}
}

// ResetConnection closes the connection with a TCP reset.
func ResetConnection(w http.ResponseWriter, _ *http.Request) {
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Hang says nothing until the other side ends the connection.
func Hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// RespondAfter answers with a step once a channel is closed; until then there is no result.
func RespondAfter(ready <-chan struct{}, then Step) Step {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-ready:
			then(w, r)
		case <-time.After(respondAfterPoll):
			w.WriteHeader(http.StatusAccepted)
		}
	}
}
