package fakes

import (
	"net/http/httptest"
	"sync"
	"time"

	"bankledge/internal/slidingwindow"
)

// StatementCost returns the cost of a statement: its work as time on one thread, and the number of threads that it can use.
type StatementCost func(workload, text string) (work time.Duration, threads int)

// defaultThreadsPerCore is the number of threads per core above which context switches slow down all statements.
const defaultThreadsPerCore = 2

// SimulatedEngine is an engine whose statements share its cores; each statement uses at most its threads. The engine sends the result once
// the work of the statement is done. The exported fields have to be set before the first call.
type SimulatedEngine struct {
	Server         *httptest.Server
	Cores          float64
	ThreadsPerCore float64                   // number above which all statements slow down further
	Rows           func(workload string) int // number of rows of a result, of 60 bytes each; nil means one short row
	OnEvent        func(EngineEvent)         // called for each event, with the engine's lock held unless it is a health check; may be nil
	SlowStart      SlowStart                 // the zero value means that the engine is warm from the start
	ReportProgress bool                      // answers to polls report the share of the work that is done
	AbandonAfter   time.Duration             // time without a poll after which the engine drops a statement; 0 means never

	cost    StatementCost
	started time.Time

	mu              sync.Mutex
	executions      map[string]*execution // by the id of the statement
	lastUpdate      time.Time             // time up to which the work done is subtracted
	timer           *time.Timer           // fires when the engine has to change its state without a call
	peakConcurrency int
	slowdown        float64 // factor by which statements take longer; 0 means 1
	failing         bool    // all new statements fail
	coldWork        slidingwindow.Sum
	overloaded      bool
}

// execution is a running or finished statement at a simulated engine.
type execution struct {
	workload  string
	totalWork float64 // seconds on one thread
	remaining float64 // seconds on one thread
	threads   float64
	rows      int
	failing   bool
	polledAt  time.Time // end of the last poll, at first the start
	polls     int       // number of polls in progress
	done      chan struct{}
	ended     bool
}

// NewSimulatedEngine starts an engine. Close stops it.
func NewSimulatedEngine(cores float64, cost StatementCost) *SimulatedEngine {
	now := time.Now()
	e := &SimulatedEngine{
		Cores:          cores,
		ThreadsPerCore: defaultThreadsPerCore,
		cost:           cost,
		started:        now,
		executions:     map[string]*execution{},
		lastUpdate:     now,
	}
	e.timer = time.AfterFunc(maxTimerDelay, e.wake)
	e.Server = httptest.NewServer(e)
	return e
}

// Close stops the engine and closes its connections.
func (e *SimulatedEngine) Close() {
	e.timer.Stop()
	e.Server.CloseClientConnections()
	e.Server.Close()
}

// PeakConcurrency returns the largest number of statements that ran concurrently.
func (e *SimulatedEngine) PeakConcurrency() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peakConcurrency
}

// SetSlowdown makes all statements take longer by a factor from now on. If failing is set, all statements that start from now on fail.
func (e *SimulatedEngine) SetSlowdown(factor float64, failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyElapsedWork()
	e.slowdown = factor
	e.failing = failing
	e.advance()
}

// notify reports an event. The caller holds the lock, except for a health check.
func (e *SimulatedEngine) notify(event EngineEvent) {
	if e.OnEvent != nil {
		e.OnEvent(event)
	}
}
