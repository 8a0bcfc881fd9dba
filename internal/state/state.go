// Package state holds what one instance remembers of workloads, engines, statements and their
// executions. It decides nothing.
package state

import (
	"math"
	"slices"
	"time"

	"bankledge/decision"
	"bankledge/internal/span"
)

// Workload is a workload's settings and what was learned of it.
type Workload struct {
	decision.Workload
	ID    decision.WorkloadID
	Work  float64 // learned mean work, seconds on one thread
	Known bool    // Work comes from an estimate
	Grant float64 // learned memory needed over memory estimated
	Pace  float64 // learned time taken over expected run

	ThreadsOut int     // of own executions without an outcome
	MemOut     float64 // their memory
}

// Allowance is the SLO time with its stretch, for a statement of this expected run.
func (w *Workload) Allowance(run time.Duration) time.Duration {
	return w.SLO + time.Duration(w.SLOStretch*float64(run))
}

// Traffic counts statements by table group; every count decays at each statement of any group.
type Traffic struct {
	Decay  float64
	total  float64
	seq    int
	groups map[decision.TableGroup]tally
}

type tally struct {
	count float64
	seq   int // when count was right
}

// Count adds a statement.
func (t *Traffic) Count(g decision.TableGroup) {
	if t.groups == nil {
		t.groups = map[decision.TableGroup]tally{}
	}
	t.seq++
	t.total = t.total*t.Decay + 1
	t.groups[g] = tally{t.Of(g) + 1, t.seq}
}

// Total is the decayed count of all statements.
func (t *Traffic) Total() float64 { return t.total }

// Of is the decayed count of a table group's statements.
func (t *Traffic) Of(g decision.TableGroup) float64 {
	c := t.groups[g]
	return c.count * math.Pow(t.Decay, float64(t.seq-c.seq))
}

// Share is a member group's share: a bucket filled at the share's rate.
type Share struct {
	PerSec, Tokens float64
	At             time.Duration
}

// Window is the AIMD window of one engine and workload.
type Window struct {
	Size, Threshold      float64 // Threshold: the slow-start threshold
	Halved               time.Duration
	Barred               bool
	InFlight             int
	Refusals, Late, Done int // since the windows last moved
}

// Engine is what is known of one engine.
type Engine struct {
	decision.Entry
	Listed             bool
	Cores, MemoryMB    float64
	Windows            []Window // by workload
	Execs              []*Execution
	Threads            int     // of own executions there
	MemOut             float64 // memory of own executions there
	Warm               []decision.TableGroup
	Util, Queue        float64
	Others             float64 // statements there beyond this router's own, as last reported
	UtilKnown          bool
	Left, Lost         bool // not sent to; its connections broke or failed
	LeftUntil, Backoff time.Duration
	LastNews, Stepped  time.Duration
	Probing            bool
	ProbedAt, Reported time.Duration // last probe, last report
	ColdSent           span.Sum
	LoadedUntil        map[decision.TableGroup]time.Duration // another router's load holds the group
}

// IsWarm tells whether the table group is among those sent there lately.
func (e *Engine) IsWarm(tables decision.TableGroup) bool { return slices.Contains(e.Warm, tables) }

// Touch makes the table group the last one sent there, and keeps the last few.
func (e *Engine) Touch(tables decision.TableGroup, keep int) {
	e.Warm = slices.DeleteFunc(e.Warm, func(t decision.TableGroup) bool { return t == tables })
	if e.Warm = append(e.Warm, tables); len(e.Warm) > keep {
		e.Warm = e.Warm[1:]
	}
}

// Holds adds an execution to what the engine holds.
func (e *Engine) Holds(x *Execution) {
	e.Execs = append(e.Execs, x)
	w := x.Stmt.Workload
	e.Threads, w.ThreadsOut = e.Threads+w.Threads, w.ThreadsOut+w.Threads
	e.MemOut, w.MemOut = e.MemOut+x.MemoryMB, w.MemOut+x.MemoryMB
	e.Windows[x.Stmt.Workload.ID].InFlight++
}

// Release takes an execution out, or returns nil where the engine holds no such execution.
func (e *Engine) Release(id decision.StatementID, n decision.ExecutionID) *Execution {
	i := slices.IndexFunc(e.Execs, func(x *Execution) bool { return x.Stmt.ID == id && x.N == n })
	if i < 0 {
		return nil
	}
	x := e.Execs[i]
	e.Execs = slices.Delete(e.Execs, i, i+1)
	w := x.Stmt.Workload
	e.Threads, w.ThreadsOut = e.Threads-w.Threads, w.ThreadsOut-w.Threads
	e.MemOut, w.MemOut = e.MemOut-x.MemoryMB, w.MemOut-x.MemoryMB
	e.Windows[x.Stmt.Workload.ID].InFlight--
	return x
}

// Statement is one statement that this router took.
type Statement struct {
	ID             decision.StatementID
	Workload       *Workload
	Key            decision.Key
	Tables         decision.TableGroup
	SLODue, End    time.Duration // SLO time and client's patience run out
	Run            time.Duration // expected, on an idle engine
	MemoryMB       float64       // estimated need
	OverShare      bool
	Done, Streamed bool
	Execs          []*Execution
	Open           int        // executions without an outcome
	Home           *Execution // the first that may have run
	Avoid          *Engine    // where it went wrong last
	Asks           int        // probes for it since AskedAt
	AskedAt        time.Duration
	Terms          decision.SetTerms
}

// Rehome finds the first execution that may have run.
func (s *Statement) Rehome() {
	s.Home = nil
	if i := slices.IndexFunc(s.Execs, func(x *Execution) bool { return !x.NeverRan }); i >= 0 {
		s.Home = s.Execs[i]
	}
}

// Execution is one execution of a statement.
type Execution struct {
	Stmt                                *Statement
	Engine                              *Engine
	N                                   decision.ExecutionID
	Sent                                time.Duration
	MemoryMB                            float64
	Ended, NeverRan, Cancelled, Spilled bool
}

// KeyLine is the line of statements with one key, in the order they were taken.
type KeyLine struct {
	Line      []*Statement
	Open      int // executions without an outcome of statements that are over
	RestUntil time.Duration
}
