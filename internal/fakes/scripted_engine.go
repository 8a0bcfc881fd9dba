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

// maxUnreadCalls is the number of calls that an engine accepts before a test reads them from Engine.Calls.
const maxUnreadCalls = 1000

// Engine is a scripted engine. It answers each call with the next step of its script and repeats the last step.
type Engine struct {
	ID     string
	Server *httptest.Server

	mu       sync.Mutex
	script   map[string][]Step
	calls    []string
	received chan string
}

// NewEngine starts an engine. The keys of the script are the method and the part of the path after /x/ID, for example "GET 0". Close stops
// the engine.
func NewEngine(id string, script map[string][]Step) *Engine {
	e := &Engine{ID: id, script: script, received: make(chan string, maxUnreadCalls)}
	e.Server = httptest.NewServer(e)
	return e
}

// Close stops the engine and closes its connections.
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

// ServeHTTP answers one call. If the script has no steps for the call, it answers with the status for an unknown statement.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body) // an incomplete text is recorded as well
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

// nextStep records a call and returns its step, or nil if the script has none.
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

// CallCount returns how often the engine has received a call.
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

// Calls returns the channel that receives each call with its workload and text.
func (e *Engine) Calls() <-chan string { return e.received }
