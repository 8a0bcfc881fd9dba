package fakes

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
)

// Step is one answer of a scripted engine.
type Step func(w http.ResponseWriter, r *http.Request)

// maxUnreadCalls is how many calls an engine takes before anybody reads them from Engine.Calls.
const maxUnreadCalls = 1000

// Engine is an engine that answers each call with the next step of its script, the last one again and again.
type Engine struct {
	ID     string
	Server *httptest.Server

	mu       sync.Mutex
	script   map[string][]Step
	calls    []string
	received chan string
}

// NewEngine starts an engine. The script is by method and what follows /x/ID in the path, for example "GET 0". Close ends it.
func NewEngine(id string, script map[string][]Step) *Engine {
	e := &Engine{ID: id, script: script, received: make(chan string, maxUnreadCalls)}
	e.Server = httptest.NewServer(e)
	return e
}

// Close ends the engine and its connections.
func (e *Engine) Close() {
	e.Server.CloseClientConnections()
	e.Server.Close()
}

// Script replaces the script.
func (e *Engine) Script(script map[string][]Step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script = script
}

// ServeHTTP answers one call. One that the script has no steps for gets the status of an engine that knows nothing of the statement.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body) // of a call that breaks off, what came is recorded
	call := r.Method
	if parts := strings.Split(r.URL.Path, "/"); len(parts) > 3 {
		call += " " + parts[3]
	}
	step := e.nextStep(call)
	e.received <- call + " " + r.Header.Get("X-Lane") + " " + string(text)
	if step != nil {
		step(w, r)
		return
	}
	w.WriteHeader(map[string]int{"DELETE": http.StatusNoContent, "GET 0": http.StatusInternalServerError}[call])
}

// nextStep records a call and returns its step, or nil.
func (e *Engine) nextStep(call string) Step {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, call)
	steps := e.script[call]
	if len(steps) == 0 {
		return nil
	}
	if len(steps) > 1 {
		e.script[call] = steps[1:]
	}
	return steps[0]
}

// CallCount returns how often a call has come.
func (e *Engine) CallCount(call string) (count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.calls {
		if c == call {
			count++
		}
	}
	return count
}

// Calls receives each call as it comes, with its workload and text.
func (e *Engine) Calls() <-chan string { return e.received }
