//go:build review

package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pollHold      = 250 * time.Millisecond
	queryLifetime = 2 * time.Second // of a query that nobody asks for
)

// engine is a stand-in of an sql engine. It runs each statement for a fixed time and keeps to the protocol.
type engine struct {
	w    *world
	id   string
	l    net.Listener
	work time.Duration

	mu      sync.Mutex
	queries map[string]*query
	starts  []start

	repeater
}

// start is one POST that an engine has received.
type start struct {
	id    string
	first time.Time // of its first byte
}

// query is a statement that an engine has been sent.
type query struct {
	done    chan struct{} // closed when it ends, is deleted or is dropped
	asked   time.Time
	deleted bool
	result  string
}

func (w *world) startEngine(id string, work time.Duration) (*engine, error) {
	l, err := w.listen()
	if err != nil {
		return nil, err
	}
	e := &engine{w: w, id: id, l: l, work: work, queries: map[string]*query{}}
	go e.accept()
	return e, nil
}

func (e *engine) address() string { return e.l.Addr().String() }

// member returns the engine's entry in an event of the control feed.
func (e *engine) member(phase string) map[string]any {
	return map[string]any{"id": e.id, "host_port": e.address(), "locality": "ikeja-room", "flavor": "eight-core", "cell": 1,
		"phase": phase, "size": 8, "up_since_ms": 0}
}

func (e *engine) accept() {
	for {
		conn, err := e.l.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		first := time.Now()
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		answer := e.handle(request, body, first)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if after, repeat := e.draw(); repeat && strings.Contains(answer, "X-Batches") {
			e.w.note("engine %s: the answer for %s is repeated in %v", e.id, queryID(request), after)
			time.AfterFunc(after, func() { io.WriteString(conn, answer) })
		}
	}
}

// handle answers one call.
func (e *engine) handle(request *http.Request, body []byte, first time.Time) string {
	path := strings.Split(request.URL.Path, "/")
	switch {
	case request.Method == http.MethodPost:
		id := request.Header.Get("X-Txn")
		e.begin(id, len(body), first)
		return e.news(id)
	case request.URL.Path == "/busy" || request.URL.Path == "/ping":
		return response(http.StatusOK, "X-Gauges: queue:0\r\n", "")
	case request.Method == http.MethodDelete && len(path) == 3:
		return e.remove(path[2])
	case request.Method == http.MethodGet && len(path) == 4 && path[3] == "0":
		return e.news(path[2])
	}
	return response(http.StatusInternalServerError, "", "")
}

func (e *engine) begin(id string, size int, first time.Time) {
	e.w.noteAt(first, "engine %s: POST %s, %d bytes", e.id, id, size)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts = append(e.starts, start{id: id, first: first})
	q := &query{done: make(chan struct{}), asked: first, result: rowsOf(id, e.id)}
	e.queries[id] = q
	time.AfterFunc(e.work, func() { e.end(q) })
}

func (e *engine) end(q *query) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-q.done:
	default:
		q.deleted = q.deleted || time.Since(q.asked) > queryLifetime
		close(q.done)
	}
}

func (e *engine) remove(id string) string {
	e.mu.Lock()
	q := e.queries[id]
	delete(e.queries, id)
	if q != nil {
		q.deleted = true
	}
	e.mu.Unlock()
	if q == nil {
		return response(http.StatusInternalServerError, "", "")
	}
	e.end(q)
	return response(http.StatusNoContent, "", "")
}

// news answers a start or a poll.
func (e *engine) news(id string) string {
	e.mu.Lock()
	q := e.queries[id]
	if q != nil {
		q.asked = time.Now()
	}
	e.mu.Unlock()
	if q == nil {
		return response(http.StatusInternalServerError, "", "")
	}
	select {
	case <-q.done:
		e.mu.Lock()
		defer e.mu.Unlock()
		if q.deleted {
			return response(http.StatusInternalServerError, "", "")
		}
		return response(http.StatusOK, "X-Batches: 1\r\n", q.result)
	case <-time.After(pollHold):
		return response(http.StatusAccepted, "", "")
	}
}

// startsAfter returns the starts whose first byte came after a time.
func (e *engine) startsAfter(at time.Time) (late []start) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.starts {
		if s.first.After(at) {
			late = append(late, s)
		}
	}
	return late
}

func response(status int, fields, body string) string {
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" + fields
	if status != http.StatusNoContent {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	return head + "\r\n" + body
}

// queryID returns the id of the query that a call is about.
func queryID(request *http.Request) string {
	if id := request.Header.Get("X-Txn"); id != "" {
		return id
	}
	return strings.Split(request.URL.Path, "/")[2]
}
