package fakes

import (
	"net/http/httptest"
	"sync"
	"time"

	"bankledge/internal/slidingwindow"
)

// StatementCost returns what a statement costs: work on one thread, and the threads that it may use.
type StatementCost func(workload, text string) (work time.Duration, threads int)

// defaultThreadsPerCore is how many threads a core runs before work is lost to switching.
const defaultThreadsPerCore = 2

// SimulatedEngine is an engine whose statements share its cores, each of them with at most its threads. It answers when a statement has
// had its work. Its fields are to be set before the first call.
type SimulatedEngine struct {
	Server         *httptest.Server
	Cores          float64
	ThreadsPerCore float64                   // beyond which all statements slow down further
	Rows           func(workload string) int // rows of a result, of 60 bytes each; nil: one short row
	OnEvent        func(EngineEvent)         // called for each event, with the engine's lock held; nil: nobody listens
	SlowStart      SlowStart                 // the zero value: the engine is warm from the start
	ReportProgress bool                      // it reports the share of the work that is done
	AbandonAfter   time.Duration             // a statement that is not polled for so long is dropped; 0: none is

	cost    StatementCost
	started time.Time

	mu              sync.Mutex
	executions      map[string]*execution // by id of the statement
	accountedAt     time.Time             // up to which work is accounted
	timer           *time.Timer           // at which the next thing happens by itself
	peakConcurrency int
	slowdown        float64 // times as long; 0: as usual
	failing         bool    // all that starts ends with an error
	coldWork        slidingwindow.Sum
	collapsed       bool
}

// execution is a statement that runs at a simulated engine, or has run.
type execution struct {
	workload  string
	totalWork float64 // seconds on one thread
	remaining float64 // seconds on one thread
	threads   float64
	rows      int
	failing   bool
	polledAt  time.Time // last
	polls     int       // that wait now
	done      chan struct{}
	ended     bool
}

// NewSimulatedEngine starts an engine. Close ends it.
func NewSimulatedEngine(cores float64, cost StatementCost) *SimulatedEngine {
	now := time.Now()
	e := &SimulatedEngine{
		Cores:          cores,
		ThreadsPerCore: defaultThreadsPerCore,
		cost:           cost,
		started:        now,
		executions:     map[string]*execution{},
		accountedAt:    now,
	}
	e.timer = time.AfterFunc(idleWake, e.wake)
	e.Server = httptest.NewServer(e)
	return e
}

// Close ends the engine and its connections.
func (e *SimulatedEngine) Close() {
	e.timer.Stop()
	e.Server.CloseClientConnections()
	e.Server.Close()
}

// PeakConcurrency is how many statements ran at once at most.
func (e *SimulatedEngine) PeakConcurrency() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peakConcurrency
}

// Slow has all statements take some times as long from now on. failing: all that start end with an error.
func (e *SimulatedEngine) Slow(factor float64, failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account()
	e.slowdown = factor
	e.failing = failing
	e.advance()
}

// notify reports an event. The lock is held, but for a health check.
func (e *SimulatedEngine) notify(event EngineEvent) {
	if e.OnEvent != nil {
		e.OnEvent(event)
	}
}
