package fakes

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"bankledge/internal/slidingwindow"
)

// Step is one answer of a scripted engine.
type Step func(w http.ResponseWriter, r *http.Request)

// Engine is an engine that answers each call with the next step of its script, the last one ever again.
type Engine struct {
	ID     string
	Server *httptest.Server

	mu     sync.Mutex
	script map[string][]Step
	calls  []string
	heard  chan string
}

// NewEngine starts one; the script is by method and what follows /x/ID in the path. Close ends it.
func NewEngine(id string, script map[string][]Step) *Engine {
	e := &Engine{ID: id, script: script, heard: make(chan string, 1000)}
	e.Server = httptest.NewServer(e)
	return e
}

// Close ends the engine and its connections.
func (e *Engine) Close() {
	e.Server.CloseClientConnections()
	e.Server.Close()
}

// Script puts another script in the place of the one in force.
func (e *Engine) Script(script map[string][]Step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script = script
}

// ServeHTTP answers one call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	call := r.Method
	if parts := strings.Split(r.URL.Path, "/"); len(parts) > 3 {
		call += " " + parts[3]
	}
	e.mu.Lock()
	steps := e.script[call]
	if len(steps) > 1 {
		e.script[call] = steps[1:]
	}
	e.calls = append(e.calls, call)
	e.mu.Unlock()
	e.heard <- call + " " + r.Header.Get("X-Lane") + " " + string(text)
	if len(steps) == 0 {
		w.WriteHeader(map[string]int{"DELETE": 204, "GET 0": 500}[call])
		return
	}
	steps[0](w, r)
}

// Count is how often a call has come.
func (e *Engine) CallCount(call string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.calls {
		if c == call {
			n++
		}
	}
	return n
}

// Heard tells each call as it comes, with its workload and text.
func (e *Engine) Calls() <-chan string { return e.heard }

// Says answers with a status, a body and fields, which are pairs.
func Respond(status int, body string, fields ...string) Step {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(fields); i += 2 {
			w.Header().Set(fields[i], fields[i+1])
		}
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

// Done answers with a result of one page.
func RespondResult(body string) Step {
	return Respond(200, body, "X-Batches", "1", "X-Gauges", "inflight:1;util:0.1")
}

// Pages answers any page with its number.
func RespondPage(body string) Step {
	return func(w http.ResponseWriter, r *http.Request) {
		Respond(200, body, "X-Batch", r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])(w, r)
	}
}

// Raw writes bytes as they are and closes the connection.
func RespondRaw(bytes string) Step {
	return func(w http.ResponseWriter, _ *http.Request) {
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			io.WriteString(c, bytes)
			c.Close()
		}
	}
}

// Breaks resets the connection.
func ResetConnection(w http.ResponseWriter, _ *http.Request) {
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Silent says nothing until the other side gives up the connection.
func Hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// After answers once a channel is closed; until then there is no news.
func RespondAfter(open <-chan struct{}, then Step) Step {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-open:
			then(w, r)
		case <-time.After(100 * time.Millisecond):
			w.WriteHeader(202)
		}
	}
}

// Costs tells what a statement takes: work on one thread, and threads.
type StatementCost func(workload, text string) (work time.Duration, threads int)

// Model is an engine whose statements share its cores, each at most its threads, as costs say. Past so many threads a
// core all of them slow down further. It answers when a statement has had its work.
type SimulatedEngine struct {
	Server         *httptest.Server
	Cores          float64
	ThreadsPerCore float64                   // threads a core beyond which work is lost to switching
	Rows           func(workload string) int // of 60 bytes each, in a result; nil: one short row
	OnEvent        func(EngineEvent)         // hears what happens there; nil: nobody does
	SlowStart      SlowStart                 // how it starts; the zero value: warm

	ReportProgress bool          // it tells the share done
	AbandonAfter   time.Duration // what was not asked for so long is dropped; 0: nothing is

	costs StatementCost
	mu    sync.Mutex
	runs  map[string]*run
	at    time.Time // up to which work is booked
	timer *time.Timer
	most  int
	born  time.Time
	slow  float64 // times as long; 0: as usual
	errs  bool    // all that comes ends with an error
	sent  slidingwindow.Sum
	fell  bool
}

// Coldness is how an engine starts: with a share of its cores, all of them once it is warm. Sent more work in a window than so many
// times what it can do then, it falls over and stays down.
type SlowStart struct {
	InitialShare, MaxLoadFactor float64
	WarmUpTime, Window          time.Duration
}

// ModelEvent is something that happened at a modelled engine: "start", "end", "cancel" or "drop" (of what had
// no end), "probe" or "fell".
type EngineEvent struct {
	Kind, ID, Workload, Peer string        // Peer: the address that the call came from
	Work                     time.Duration // of a start, on one thread
	ColdLoad                 float64       // of a start at a cold engine: work sent in the window over what it bears
}

// Slow has all that runs there take so many times as long from now on; errs has all that comes end with an error.
func (m *SimulatedEngine) Slow(times float64, errs bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book()
	m.slow, m.errs = times, errs
	m.plan()
}

// warmth is the share of its cores that it has.
func (m *SimulatedEngine) warmth(now time.Time) float64 {
	if m.SlowStart.WarmUpTime == 0 {
		return 1
	}
	return min(1, m.SlowStart.InitialShare+(1-m.SlowStart.InitialShare)*now.Sub(m.born).Seconds()/m.SlowStart.WarmUpTime.Seconds())
}

func (m *SimulatedEngine) tell(e EngineEvent) {
	if m.OnEvent != nil {
		m.OnEvent(e)
	}
}

// falls tells how much work has been sent in the window, over what a cold engine bears; at more than one it falls over.
func (m *SimulatedEngine) falls(work time.Duration) float64 {
	now := time.Now()
	if m.warmth(now) >= 1 || m.SlowStart.Window == 0 {
		return 0
	}
	at := now.Sub(m.born)
	m.sent.Add(at, work.Seconds())
	of := m.sent.Since(at-m.SlowStart.Window) / (m.SlowStart.MaxLoadFactor * m.warmth(now) * m.Cores * m.SlowStart.Window.Seconds())
	if of > 1 && !m.fell {
		m.fell = true
		m.tell(EngineEvent{Kind: "fell", ColdLoad: of})
		go m.Close()
	}
	return of
}

type run struct {
	workload string
	work     float64 // all of it
	erred    bool
	asked    time.Time // last
	asking   int       // calls that wait for news
	left     float64   // seconds of work
	threads  float64
	rows     int
	done     chan struct{}
	ended    bool
}

const (
	row      = "0123456789abcdef\t0123456789abcdef\t0123456789abcdef01234567\n"
	pageRows = 100
)

// page is a page of a result, and how many pages it has.
func (x *run) page(n int) (string, int) {
	if x.rows == 0 {
		return modelBody, 1
	}
	return strings.Repeat(row, min(pageRows, max(0, x.rows-n*pageRows))), (x.rows + pageRows - 1) / pageRows
}

// NewModel starts one. Close ends it.
func NewSimulatedEngine(cores float64, costs StatementCost) *SimulatedEngine {
	m := &SimulatedEngine{Cores: cores, ThreadsPerCore: 2, costs: costs, runs: map[string]*run{}, at: time.Now(), born: time.Now()}
	m.timer = time.AfterFunc(time.Hour, m.wake)
	m.Server = httptest.NewServer(m)
	return m
}

// Close ends the engine and its connections.
func (m *SimulatedEngine) Close() {
	m.timer.Stop()
	m.Server.CloseClientConnections()
	m.Server.Close()
}

// Most is how many statements ran at once at most.
func (m *SimulatedEngine) PeakConcurrency() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.most
}

const (
	pollHeld  = 250 * time.Millisecond
	modelBody = "a\tb\tc\n"
)

// ServeHTTP answers one call.
func (m *SimulatedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	parts := strings.Split(r.URL.Path, "/")
	switch {
	case r.Method == http.MethodPost:
		m.await(w, m.start(r.Header.Get("X-Txn"), r.Header.Get("X-Lane"), string(text), r.RemoteAddr))
	case len(parts) > 2 && r.Method == http.MethodDelete:
		m.mu.Lock()
		m.book()
		if x := m.runs[parts[2]]; x != nil {
			if !x.ended {
				m.tell(EngineEvent{Kind: "cancel", ID: parts[2], Workload: x.workload, Peer: r.RemoteAddr})
			}
			x.ended = true
			delete(m.runs, parts[2])
		}
		m.plan()
		m.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	case len(parts) > 2 && parts[1] == "x":
		m.mu.Lock()
		x := m.runs[parts[2]]
		m.mu.Unlock()
		if x != nil && len(parts) > 3 && parts[3] != "0" {
			n, _ := strconv.Atoi(parts[3])
			body, _ := x.page(n)
			w.Header().Set("X-Batch", parts[3])
			io.WriteString(w, body)
			return
		}
		m.await(w, x)
	default:
		m.tell(EngineEvent{Kind: "probe", Peer: r.RemoteAddr})
		w.Header().Set("X-Gauges", m.gauges())
	}
}

func (m *SimulatedEngine) await(w http.ResponseWriter, x *run) {
	if x == nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	m.mu.Lock()
	x.asking++
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		x.asking--
		m.book()
		x.asked = m.at
		m.plan()
	}()
	select {
	case <-x.done:
		if x.erred {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		body, pages := x.page(0)
		w.Header().Set("X-Batches", strconv.Itoa(pages))
		w.Header().Set("X-Gauges", m.gauges())
		io.WriteString(w, body)
	case <-time.After(pollHeld):
		w.Header().Set("X-Gauges", m.gauges())
		if m.ReportProgress {
			m.mu.Lock()
			m.book()
			w.Header().Set("X-How", "done")
			w.Header().Set("X-Num", strconv.FormatFloat(max(0, 1-x.left/x.work), 'f', 3, 64))
			m.mu.Unlock()
		}
		w.WriteHeader(http.StatusAccepted)
	}
}

func (m *SimulatedEngine) start(id, workload, text, peer string) *run {
	work, threads := m.costs(workload, text)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book()
	rows := 0
	if m.Rows != nil {
		rows = m.Rows(workload)
	}
	m.tell(EngineEvent{Kind: "start", ID: id, Workload: workload, Peer: peer, Work: work, ColdLoad: m.falls(work)})
	x := &run{workload: workload, erred: m.errs, asked: m.at, work: max(work.Seconds(), 1e-9), left: work.Seconds(), rows: rows, threads: float64(threads), done: make(chan struct{})}
	if x.erred {
		x.left = 0
	}
	m.runs[id] = x
	m.plan()
	return x
}

// book takes off the work done since the last change.
func (m *SimulatedEngine) book() {
	now := time.Now()
	past, speed := now.Sub(m.at).Seconds(), m.speed()
	m.at = now
	for _, x := range m.runs {
		if !x.ended {
			x.left -= past * x.threads * speed
		}
	}
}

// speed is the part of a core that each thread has.
func (m *SimulatedEngine) speed() float64 {
	threads := 0.0
	for _, x := range m.runs {
		if !x.ended {
			threads += x.threads
		}
	}
	cores, slow := m.Cores*m.warmth(m.at), max(1, m.slow)
	if threads <= cores {
		return 1 / slow
	}
	return cores / threads / max(1, threads/(cores*m.ThreadsPerCore)) / slow
}

// plan ends what has had its work, and wakes when the next one will have.
func (m *SimulatedEngine) plan() {
	for id, x := range m.runs {
		if !x.ended && x.left <= 1e-6 {
			x.ended = true
			m.tell(EngineEvent{Kind: "end", ID: id, Workload: x.workload})
			close(x.done)
			time.AfterFunc(2*time.Second, func() { m.forget(id, x) })
		}
	}
	next, open, speed := time.Hour, 0, m.speed()
	for id, x := range m.runs {
		if m.AbandonAfter > 0 && !x.ended && x.asking == 0 {
			next = min(next, x.asked.Add(m.AbandonAfter+time.Millisecond).Sub(m.at))
			if m.at.Sub(x.asked) >= m.AbandonAfter {
				x.ended = true
				delete(m.runs, id)
				m.tell(EngineEvent{Kind: "drop", ID: id, Workload: x.workload})
			}
		}
	}
	if m.warmth(m.at) < 1 { // it speeds up meanwhile
		next = min(next, 100*time.Millisecond)
	}
	for _, x := range m.runs {
		if !x.ended {
			open++
			next = min(next, seconds(x.left/(x.threads*speed))+time.Millisecond)
		}
	}
	m.most = max(m.most, open)
	m.timer.Reset(next)
}

func (m *SimulatedEngine) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book()
	m.plan()
}

func (m *SimulatedEngine) forget(id string, x *run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs[id] == x {
		delete(m.runs, id)
	}
}

func (m *SimulatedEngine) gauges() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	open, threads := 0, 0.0
	for _, x := range m.runs {
		if !x.ended {
			open, threads = open+1, threads+x.threads
		}
	}
	return fmt.Sprintf("inflight:%d;util:%s", open, strconv.FormatFloat(min(1, threads/m.Cores), 'f', 2, 64))
}
