package fakes

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// respondAfterPollTimeout is the time after which a step of RespondAfter answers a poll with the status that there is no result yet.
const respondAfterPollTimeout = 100 * time.Millisecond

// Respond returns a step that answers with a status, a body and headers, which are pairs of name and value.
func Respond(status int, body string, headers ...string) Step {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

// RespondResult returns a step that answers with a result of one page.
func RespondResult(body string) Step {
	return Respond(http.StatusOK, body, "X-Batches", "1", "X-Gauges", "inflight:1;util:0.1")
}

// RespondPage returns a step that answers a call for any page with the body and the number of the page.
func RespondPage(body string) Step {
	return func(w http.ResponseWriter, r *http.Request) {
		page := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
		Respond(http.StatusOK, body, "X-Batch", page)(w, r)
	}
}

// RespondRaw returns a step that writes bytes unchanged to the connection and closes it.
func RespondRaw(bytes string) Step {
	return func(w http.ResponseWriter, _ *http.Request) {
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			io.WriteString(c, bytes)
			c.Close()
		}
	}
}

// ResetConnection is a step that closes the connection with a TCP reset.
func ResetConnection(w http.ResponseWriter, _ *http.Request) {
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Hang is a step that sends no answer until the caller closes the connection.
func Hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// RespondAfter returns a step that runs another step once a channel is closed, and until then answers that there is no result yet.
func RespondAfter(ready <-chan struct{}, then Step) Step {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-ready:
			then(w, r)
		case <-time.After(respondAfterPollTimeout):
			w.WriteHeader(http.StatusAccepted)
		}
	}
}
