// Package state holds what one instance remembers of workloads, engines, statements and their
// executions. It decides nothing.
package state

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"bankledge/decision"
	"bankledge/internal/detrand"
	"bankledge/internal/slidingwindow"
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
	return w.LatencyObjective + time.Duration(w.ObjectiveStretch*float64(run))
}

// Change has workloads and member groups take rules that take force now, for statements that come from now on. What was learned and
// what a share holds stays.
func Change(workloads []*Workload, shares map[decision.Tenant]*Share, ev *decision.RulesChanged, room float64) {
	for i, w := range workloads {
		w.PriorityWeight, w.AllowedMachineTypes, w.Protected = ev.PriorityWeights[i], ev.AllowedMachineTypes[i], ev.Protected[i]
	}
	for _, g := range ev.Quotas {
		if s := shares[g.Tenant]; s != nil {
			s.become(g.RatePerSecond/ev.EffectiveRouters, room)
		}
	}
}

// Traffic counts statements by table group; every count decays at each statement of any group.
type Traffic struct {
	Decay  float64
	Most   int // table groups, about; 0: any number
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
	if t.groups[g] = (tally{t.Of(g) + 1, t.seq}); t.Most > 0 && len(t.groups) > t.Most {
		mean := t.total / float64(len(t.groups)) // what is below it says least
		maps.DeleteFunc(t.groups, func(o decision.TableGroup, _ tally) bool { return o != g && t.Of(o) <= mean })
	}
}

// Groups is the number of table groups that are counted.
func (t *Traffic) Groups() int { return len(t.groups) }

// Total is the decayed count of all statements.
func (t *Traffic) Total() float64 { return t.total }

// Of is the decayed count of a table group's statements.
func (t *Traffic) Of(g decision.TableGroup) float64 {
	c := t.groups[g]
	return c.count * math.Pow(t.Decay, float64(t.seq-c.seq))
}

// Share is a member group's part of the service: a bucket filled at the share's rate.
type Share struct {
	PerSec, Most, Tokens float64
	At                   time.Duration
}

// NewShare is a full bucket for so many statements a second, which holds one second of them, one more, and room times their root,
// since few statements a second vary much.
func NewShare(perSec, room float64) *Share {
	most := perSec + room*math.Sqrt(perSec) + 1
	return &Share{PerSec: perSec, Most: most, Tokens: most}
}

// become gives the share another rate, with what it holds in proportion.
func (s *Share) become(perSec, room float64) {
	fresh := NewShare(perSec, room)
	fresh.Tokens, fresh.At = fresh.Most*s.Tokens/max(1e-9, s.Most), s.At
	*s = *fresh
}

// Take takes a token, or tells that there is none.
func (s *Share) Take(now time.Duration) bool {
	s.Tokens = min(s.Most, s.Tokens+s.PerSec*(now-s.At).Seconds())
	s.At = now
	if s.Tokens < 1 {
		return false
	}
	s.Tokens--
	return true
}

// Fleet holds all engines ever listed, by id, and their order by rendezvous hash.
type Fleet struct {
	All      []*Engine
	Most     int // table groups whose order is kept; 0: any number
	byID     map[decision.EngineID]*Engine
	rankings map[decision.TableGroup][]*Engine
}

// Of returns the engine of an id, or nil.
func (f *Fleet) Of(id decision.EngineID) *Engine { return f.byID[id] }

// Add adds an engine.
func (f *Fleet) Add(e *Engine) *Engine {
	if f.byID == nil {
		f.byID = map[decision.EngineID]*Engine{}
	}
	f.byID[e.Engine] = e
	i, _ := slices.BinarySearchFunc(f.All, e, func(a, b *Engine) int { return cmp.Compare(a.Engine, b.Engine) })
	f.All = slices.Insert(f.All, i, e)
	f.rankings = map[decision.TableGroup][]*Engine{}
	return e
}

// Forget drops engines that have been off the list for a while and hold nothing.
func (f *Fleet) Forget(now, after time.Duration) {
	before := len(f.All)
	f.All = slices.DeleteFunc(f.All, func(e *Engine) bool {
		if e.Listed || len(e.Execs) > 0 {
			e.Unlisted = now
			return false
		}
		if now < e.Unlisted+after {
			return false
		}
		delete(f.byID, e.Engine)
		return true
	})
	if len(f.All) < before {
		f.rankings = map[decision.TableGroup][]*Engine{}
	}
}

// Rankings is the number of table groups whose order is kept.
func (f *Fleet) Rankings() int { return len(f.rankings) }

// MeanWindow is the mean window of the other ready engines of an engine's kind, or otherwise if there is none.
func (f *Fleet) MeanWindow(e *Engine, workload int, otherwise float64) float64 {
	sum, n := 0.0, 0.0
	for _, o := range f.All {
		if o != e && o.Listed && o.State == decision.Ready && o.MachineType == e.MachineType {
			sum, n = sum+o.Windows[workload].Size, n+1
		}
	}
	if n == 0 {
		return otherwise
	}
	return sum / n
}

// Ceiling is the largest window of a workload, where an engine takes so many threads a core.
func (e *Engine) Ceiling(w *Workload, threads float64) float64 {
	return max(1, e.Cores*threads/float64(w.Threads))
}

// FirstWindows are a new engine's: the mean of its kind, or 1.
func (f *Fleet) FirstWindows(e *Engine, workloads []*Workload, threads float64) []Window {
	windows := make([]Window, len(workloads))
	for i, w := range workloads {
		windows[i] = Window{Size: f.MeanWindow(e, i, 1), Threshold: e.Ceiling(w, threads)}
	}
	return windows
}

// Release ends an execution, which may be known never to have run; nil where the engine holds no such one.
func (f *Fleet) Release(on decision.EngineID, id decision.StatementID, n decision.AttemptID, neverRan bool) *Execution {
	if e := f.byID[on]; e != nil {
		return e.release(id, n, neverRan)
	}
	return nil
}

// Unlist marks all engines as not listed, before a complete list.
func (f *Fleet) Unlist() {
	for _, e := range f.All {
		e.Listed = false
	}
}

// Ranked is the fleet by rendezvous hash for a table group, the same at every router.
func (f *Fleet) Ranked(tables decision.TableGroup) []*Engine {
	ranked, ok := f.rankings[tables]
	if !ok && len(f.All) > 0 {
		rank := map[*Engine]uint64{}
		for _, e := range f.All {
			rank[e] = detrand.Hash(string(e.Engine), uint64(tables))
		}
		ranked = slices.SortedFunc(slices.Values(f.All), func(a, b *Engine) int {
			return cmp.Compare(rank[b], rank[a])
		})
		if f.Most > 0 && len(f.rankings) >= f.Most {
			clear(f.rankings)
		}
		f.rankings[tables] = ranked
	}
	return ranked
}

// Window is the AIMD window of one engine and workload.
type Window struct {
	Size, Threshold      float64 // Threshold: the slow-start threshold
	Halved               time.Duration
	Barred               bool
	InFlight             int
	Refusals, Late, Done int // since the windows last moved
}

// Grow is a step up: twofold below the slow-start threshold, by one above it.
func (w *Window) Grow(most float64) {
	if w.Size < w.Threshold {
		w.Size = min(w.Size*2, most)
	} else {
		w.Size = min(w.Size+1, most)
	}
}

// Engine is what is known of one engine.
type Engine struct {
	decision.Endpoint
	Listed             bool
	Unlisted           time.Duration // since when it is not listed and holds nothing
	Cores, MemoryMB    float64
	Windows            []Window // by workload
	Execs              []*Execution
	Threads            int     // of own executions there
	MemOut             float64 // memory of own executions there
	Warm               []decision.TableGroup
	Util, Queue        float64
	Others             float64 // statements there beyond this router's own, as last reported
	UtilKnown          bool
	Counted            time.Duration // when Others was reported
	Left, Lost         bool          // not sent to; its connections broke or failed
	LeftUntil, Backoff time.Duration
	LastNews, Stepped  time.Duration
	Pace               float64 // time taken over what its workload usually takes
	Errors             float64 // share of errors there of statements that completed, learned
	Turn               int     // statements that this router has taken, before which it is passed over
	Probing            bool
	ProbedAt, Reported time.Duration                         // last probe, last report
	ColdSent           slidingwindow.Sum                     // work
	Share              float64                               // while it is cold: of all statements, that may go there
	LoadedUntil        map[decision.TableGroup]time.Duration // another router's load holds the group
}

// Restarted forgets what an engine held before it started anew, but not what is still to end.
func (e *Engine) Restarted(windows []Window, now time.Duration) {
	e.Warm, e.Left, e.Lost, e.Backoff, e.Others, e.Windows = nil, false, false, 0, 0, windows
	e.Errors, e.Counted = 0, now
	for _, x := range e.Execs {
		e.Windows[x.Stmt.As.ID].InFlight++
	}
}

// Hear takes the fields of a load report that are known.
func (e *Engine) Hear(r *decision.LoadReport, now time.Duration) {
	if r.Known[decision.FieldUtilisation] {
		e.Util, e.UtilKnown = r.Value[decision.FieldUtilisation], true
	}
	if r.Known[decision.FieldQueueDepth] {
		e.Queue = r.Value[decision.FieldQueueDepth]
	}
	if r.Known[decision.FieldInFlight] {
		e.Others, e.Counted = max(0, r.Value[decision.FieldInFlight]-float64(len(e.Execs))), now
	}
}

// Held is the number of statements there, as last reported, with what this router has sent since.
func (e *Engine) Held() float64 { return e.Others + float64(len(e.Execs)) }

// Loaded notes until when a load of another router holds a table group, and drops what is past.
func (e *Engine) Loaded(tables decision.TableGroup, now, until time.Duration) {
	maps.DeleteFunc(e.LoadedUntil, func(_ decision.TableGroup, t time.Duration) bool { return t <= now })
	e.LoadedUntil[tables] = until
}

// LoadedFor tells whether a load is known to hold a table group that the statement names.
func (e *Engine) LoadedFor(s *Statement, now time.Duration) bool {
	for t, until := range e.LoadedUntil {
		if now < until && s.Names(t) {
			return true
		}
	}
	return slices.ContainsFunc(e.Execs, func(x *Execution) bool { return x.Stmt.As.BulkLoad && s.Names(x.Stmt.Tables) })
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

// Holds starts a statement's next execution on the engine.
func (e *Engine) Holds(s *Statement, now time.Duration, memoryMB float64) {
	x := &Execution{Stmt: s, Engine: e, N: decision.AttemptID(len(s.Execs)), Sent: now, MemoryMB: memoryMB}
	if len(e.Execs) == 0 {
		e.LastNews = now
	}
	s.Execs, s.Open = append(s.Execs, x), s.Open+1
	s.rehome()
	e.Execs = append(e.Execs, x)
	w := s.As
	e.Threads, w.ThreadsOut = e.Threads+w.Threads, w.ThreadsOut+w.Threads
	e.MemOut, w.MemOut = e.MemOut+x.MemoryMB, w.MemOut+x.MemoryMB
	e.Windows[w.ID].InFlight++
}

func (e *Engine) release(id decision.StatementID, n decision.AttemptID, neverRan bool) *Execution {
	i := slices.IndexFunc(e.Execs, func(x *Execution) bool { return x.Stmt.ID == id && x.N == n })
	if i < 0 {
		return nil
	}
	x := e.Execs[i]
	e.Execs = slices.Delete(e.Execs, i, i+1)
	w := x.Stmt.As
	e.Threads, w.ThreadsOut = e.Threads-w.Threads, w.ThreadsOut-w.Threads
	e.MemOut, w.MemOut = e.MemOut-x.MemoryMB, w.MemOut-x.MemoryMB
	e.Windows[w.ID].InFlight--
	x.Ended, x.NeverRan, x.Stmt.Open = true, neverRan, x.Stmt.Open-1
	x.Stmt.rehome()
	return x
}

// Statement is one statement that this router took.
type Statement struct {
	ID             decision.StatementID
	Workload       *Workload            // as declared: its rules, its SLO time
	As             *Workload            // what it is held to be: what it takes and counts for
	Effect         decision.Idempotency // as declared, or stricter
	Key            decision.Key
	Tables         decision.TableGroup
	Others         []decision.TableGroup // that it names beside Tables
	SLODue, End    time.Duration         // SLO time and client's patience run out
	Last           time.Duration         // latest time for an answer that is to come before End
	Run            time.Duration         // expected, on an idle engine
	MemoryMB       float64               // estimated need
	Work           float64               // on one thread, in seconds: estimated, or its workload's mean if that is more
	Importance     float64               // when it came: rules that change later change it no more
	OverShare      bool
	Resent         bool          // a client's own further try
	Taken          time.Duration // when it came
	Unread, Aside  bool          // its client takes nothing in just now; so it is held apart
	Done, Streamed bool
	Execs          []*Execution
	Open           int        // executions without an outcome
	Home           *Execution // the first that may have run
	Avoid          *Engine    // where it went wrong last
	Terms          decision.SetResources
}

// LatestStart is the latest time at which its execution still meets the SLO time, at its workload's pace.
func (s *Statement) LatestStart() time.Duration {
	return s.SLODue - time.Duration(s.As.Pace*float64(s.Run))
}

// Names tells whether the statement reads or writes a table group.
func (s *Statement) Names(t decision.TableGroup) bool {
	return s.Tables == t || slices.Contains(s.Others, t)
}

// rehome finds the first execution that may have run.
func (s *Statement) rehome() {
	s.Home = nil
	if i := slices.IndexFunc(s.Execs, func(x *Execution) bool { return !x.NeverRan }); i >= 0 {
		s.Home = s.Execs[i]
	}
}

// ErredOn notes a statement that completed on an engine there, and on the other engines where it ended with an error
// before; it returns those of the latter whose share of errors is above so much.
func (s *Statement) ErredOn(completed *Engine, learn, most float64) (above []*Engine) {
	completed.Errors *= 1 - learn
	for _, x := range s.Execs {
		if x.Erred && x.Engine != completed {
			if x.Engine.Errors += learn * (1 - x.Engine.Errors); x.Engine.Errors > most {
				above = append(above, x.Engine)
			}
		}
	}
	return above
}

// Execution is one execution of a statement.
type Execution struct {
	Stmt                                *Statement
	Engine                              *Engine
	N                                   decision.AttemptID
	Sent                                time.Duration
	MemoryMB                            float64
	Ended, NeverRan, Cancelled, Spilled bool
	Erred                               bool // ended with an error
}

// KeyLine is the line of statements with one key, in the order they were taken.
type KeyLine struct {
	Line      []*Statement
	Open      int // executions without an outcome of statements that are over
	RestUntil time.Duration
}

// KeyLines holds the lines by key.
type KeyLines map[decision.Key]*KeyLine

// Join puts a statement at the end of its key's line.
func (k KeyLines) Join(s *Statement) {
	if k[s.Key] == nil {
		k[s.Key] = &KeyLine{}
	}
	k[s.Key].Line = append(k[s.Key].Line, s)
}

// Leave takes a statement that is over out of its line; its open executions still bar it.
func (k KeyLines) Leave(s *Statement, now time.Duration) {
	if l := k[s.Key]; l != nil {
		l.Line = slices.DeleteFunc(l.Line, func(o *Statement) bool { return o == s })
		l.Open += s.Open
		k.Forget(s.Key, now)
	}
}

// Forget drops a key's line when nothing is left of it and its rest is over.
func (k KeyLines) Forget(key decision.Key, now time.Duration) {
	if l := k[key]; l != nil && len(l.Line) == 0 && l.Open == 0 && now >= l.RestUntil {
		delete(k, key)
	}
}

// Settle hears that an execution of the statement is no longer open, and until when the key rests.
func (k KeyLines) Settle(s *Statement, rest time.Duration) {
	if l := k[s.Key]; l != nil {
		l.RestUntil = max(l.RestUntil, rest)
		if s.Done {
			l.Open--
		}
	}
}
