//go:build review

package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pollHold is how long a poll without news is held.
const pollHold = 250 * time.Millisecond

// retention is how long a query runs on without being asked for.
const retention = 2 * time.Second

// start is a POST /x that has come whole.
type start struct {
	id, class, text string
	engine          string
	at              time.Time
}

// decide tells what an engine does with a start: run it for a time, or answer with an error (500) or that it is full (503).
type decide func(s start) (run time.Duration, status int)

// engine is an sql engine that follows the protocol page.
type engine struct {
	id, address string
	decide      decide
	server      *http.Server
	log         *record
	over        func(id, why string) // called when a query is over; may be nil

	mu      sync.Mutex
	queries map[string]*query
	starts  []start
}

type query struct {
	class   string
	ended   chan struct{} // closed at the good end
	stopped bool
	polls   int
	askedAt time.Time
	begun   time.Time
	run     time.Duration
}

func newEngine(log *record, id string, d decide) *engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	e := &engine{id: id, address: listener.Addr().String(), decide: d, log: log, queries: map[string]*query{}}
	e.server = &http.Server{Handler: e, IdleTimeout: 15 * time.Second}
	go e.server.Serve(listener)
	return e
}

func (e *engine) member(phase string) member {
	return member{ID: e.id, HostPort: e.address, Locality: "east", Flavor: "std", Phase: phase, Size: 16}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case r.URL.Path == "/ping" || r.URL.Path == "/busy":
		w.Header().Set("X-Gauges", e.gauges())
		w.WriteHeader(http.StatusOK)
	case r.Method == http.MethodPost && r.URL.Path == "/x":
		text, err := io.ReadAll(r.Body)
		if err != nil {
			return // it has not come whole
		}
		e.start(w, start{id: r.Header.Get("X-Txn"), class: r.Header.Get("X-Lane"), text: string(text), engine: e.id, at: time.Now()})
	case r.Method == http.MethodDelete && len(path) == 2:
		e.remove(path[1], "deleted")
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodGet && len(path) == 3 && path[2] == "0":
		e.mu.Lock()
		q := e.queries[path[1]]
		e.mu.Unlock()
		e.answer(w, q)
	default:
		w.WriteHeader(http.StatusInternalServerError)
	}
}

func (e *engine) gauges() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := 0
	for _, q := range e.queries {
		if !isClosed(q.ended) {
			running++
		}
	}
	return "inflight:" + strconv.Itoa(running) + ";util:" + strconv.FormatFloat(min(1, float64(running)/16), 'f', 2, 64)
}

func (e *engine) start(w http.ResponseWriter, s start) {
	e.mu.Lock()
	e.starts = append(e.starts, s)
	e.mu.Unlock()
	run, status := e.decide(s)
	if status != 0 {
		e.log.line("%s: start %s (%s): answered with %d", e.id, s.id, s.class, status)
		if status == http.StatusServiceUnavailable {
			w.Header().Set("X-Unrun", "1")
		}
		w.Header().Set("X-Gauges", e.gauges())
		w.WriteHeader(status)
		return
	}
	e.log.line("%s: start %s (%s): runs for %v", e.id, s.id, s.class, run)
	q := &query{class: s.class, ended: make(chan struct{}), askedAt: time.Now(), begun: time.Now(), run: run}
	e.mu.Lock()
	e.queries[s.id] = q
	e.mu.Unlock()
	go e.run(s.id, q, run)
	e.answer(w, q)
}

// run ends a query after its time, and drops one that has not been asked for.
func (e *engine) run(id string, q *query, d time.Duration) {
	end := time.Now().Add(d)
	for {
		time.Sleep(min(max(time.Until(end), 0), 50*time.Millisecond))
		e.mu.Lock()
		stopped, unasked := q.stopped, q.polls == 0 && time.Since(q.askedAt) > retention
		e.mu.Unlock()
		switch {
		case stopped:
			return
		case unasked:
			e.drop(id, q, "dropped: not asked for")
			return
		case !time.Now().Before(end):
			e.log.line("%s: end %s", e.id, id)
			if e.over != nil {
				e.over(id, "end")
			}
			close(q.ended)
			time.AfterFunc(10*time.Second, func() { e.drop(id, q, "") })
			return
		}
	}
}

// remove ends a query, if the engine knows it.
func (e *engine) remove(id, why string) {
	e.mu.Lock()
	q := e.queries[id]
	e.mu.Unlock()
	e.drop(id, q, why)
}

// drop ends a query, unless another one has its id by now.
func (e *engine) drop(id string, q *query, why string) {
	e.mu.Lock()
	if e.queries[id] != q {
		q = nil
	}
	if q != nil {
		q.stopped = true
		delete(e.queries, id)
	}
	e.mu.Unlock()
	if q != nil && why != "" {
		e.log.line("%s: %s %s", e.id, why, id)
		if e.over != nil {
			e.over(id, why)
		}
	}
}

func (e *engine) answer(w http.ResponseWriter, q *query) {
	w.Header().Set("X-Gauges", e.gauges())
	if q == nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.mu.Lock()
	q.polls++
	e.mu.Unlock()
	select {
	case <-q.ended:
		w.Header().Set("X-Batches", "1")
		w.WriteHeader(http.StatusOK)
		io.WriteString(w, "a\tb\tc\n")
	case <-time.After(pollHold):
		w.Header().Set("X-How", "done")
		w.Header().Set("X-Num", strconv.FormatFloat(min(0.99, time.Since(q.begun).Seconds()/q.run.Seconds()), 'f', 3, 64))
		w.WriteHeader(http.StatusAccepted)
	}
	e.mu.Lock()
	q.polls--
	q.askedAt = time.Now()
	e.mu.Unlock()
}

// startsOf returns the starts that came whole, in order.
func (e *engine) startsSoFar() []start {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]start(nil), e.starts...)
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
