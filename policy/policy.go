// Package policy decides, for one router, what runs, where and with how much memory.
//
// Called: New once at an instance's start, then Handle with what happened; it returns what to
// do. The interface (ids, settings, events, actions) stands in package decision. The ordinary
// path of a statement is route, by docs/design.md: lowest score among hashed candidates.
//
// Beside the design stand six mechanisms:
//  1. gate: every send and every final answer passes the rules there.
//  2. clock: one timer, one heap of due times; every statement is answered in time.
//  3. health: engines that do not connect, fall silent or run slow are left and tried with care.
//  4. further executions: what was lost, is stuck or got a bad plan goes elsewhere, if harmless.
//  5. holding and shedding: statements wait here while engines are full, by urgency and share.
//  6. grants and priorities, where engines heed them.
package policy

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"bankledge/decision"
)

// The design's figures (marked 'ours' there) and this module's own. All else derives from settings.
const (
	nearWeight, farWeight = 8.0, 11.0 // zone weight
	warmCost, coldCost    = 1.0, 2.0  // warmth cost
	warmGroups            = 4         // table groups sent last that count as warm on an engine
	fanOutStep            = 500       // decayed statements for one further candidate
	fanOutDecay           = 0.999     // of a group's count, at each of its statements
	fanOutMost            = 32
	windowThreads         = 2.0  // ceiling of a window, in threads a core
	busyUtil              = 0.65 // above it a candidate counts as congested
	overUtil              = 0.90 // above it a window is halved
	roomThreads           = 3.2
	sweepEvery            = 50 * time.Millisecond
	probeEvery            = time.Second
	inlinePeriod          = 500 * time.Millisecond // report period where answers bring reports
	backoffFirst          = 500 * time.Millisecond // before a left engine is tried again
	backoffMost           = 8 * time.Second
	badPlan               = 4.0 // times the expected run that makes an execution worth giving up
	coldSafety            = 0.6 // of a cold engine's budget, for slow machines and chance
	capacityShare         = 0.85
	learnRate             = 0.05
	grantFirst            = 1.25
	grantMost             = 3.0
	grantUp, grantDown    = 0.04, 0.004 // of a workload's grants, at a spill and without one
	lookedMost            = 24          // held statements that find no room before a pass ends
)

// Module is one instance. Instances share nothing.
type Module struct {
	me        decision.Identity
	workloads []*workload
	engines   map[decision.EngineID]*engine
	fleet     []*engine // by id
	stmts     map[decision.StatementID]*statement
	held      []*statement
	slots     map[decision.TableGroup]float64 // decayed count of statements by table group
	shares    map[decision.MemberGroup]*share
	overWorth float64
	gate      gate
	clock     clock
	traits    decision.Engines
	limits    decision.Limits
	reports   decision.Reports
	followed  time.Duration // when the list was last asked for
	now       time.Duration
	out       []decision.Action
	draws     uint64
}

type workload struct {
	decision.Workload
	id    decision.WorkloadID
	work  float64 // learned mean work, seconds on one thread
	known bool
	grant float64 // learned: memory granted over memory estimated
}

type share struct {
	perSec, tokens, burst float64
	at                    time.Duration
}

type engine struct {
	decision.Entry
	listed     bool
	hash       map[decision.TableGroup]uint64
	cores, mem float64
	windows    []window
	threads    int
	memOut     float64
	execs      map[*execution]bool
	warm       []decision.TableGroup // newest last
	util       float64
	utilAt     time.Duration
	utilKnown  bool
	queue      float64
	lastNews   time.Duration
	stepped    time.Duration
	leftUntil  time.Duration // not connected or silent until then
	backoff    time.Duration
	left       bool
	pace       float64 // how long executions take, against what was expected
	coldSent   []sent
	probing    bool
	probedAt   time.Duration
}

type sent struct {
	at   time.Duration
	work float64
}

// window is the AIMD window of one engine and workload.
type window struct {
	size, threshold float64
	refusals        int // full refusals since the last report
	halved          time.Duration
	barred          bool
	late, done      int // executions in this period: past half their SLO time, all
	inFlight        int
}

type statement struct {
	id          decision.StatementID
	wlm         *workload
	key         decision.Key
	tables      decision.TableGroup
	sloDue, end time.Duration
	run         time.Duration // expected run on an idle engine
	work, mem   float64
	over        bool // beyond its member group's share
	done        bool
	streamed    bool
	isHeld      bool
	execs       []*execution
	open        int
	mayHaveRun  bool
	home        *engine // of the first execution that may have run
	homeAt      time.Duration
	avoid       *engine
	terms       decision.SetTerms
}

type execution struct {
	s         *statement
	e         *engine
	n         decision.ExecutionID
	sent      time.Duration
	news      time.Duration
	threads   int
	mem       float64
	ended     bool
	cancelled bool
	spilled   bool
	ran       bool
}

// New opens an instance; each argument is one part's settings.
func New(me decision.Identity, workloads []decision.Workload, traits decision.Engines,
	shares decision.Shares, limits decision.Limits, rules decision.Rules, reports decision.Reports) *Module {
	m := &Module{me: me, engines: map[decision.EngineID]*engine{}, stmts: map[decision.StatementID]*statement{},
		slots: map[decision.TableGroup]float64{}, shares: map[decision.MemberGroup]*share{},
		overWorth: shares.OverImportance, traits: traits, limits: limits, reports: reports, followed: -1}
	m.gate = gate{rules: rules, routers: float64(max(1, me.Routers)), copies: limits.SecondCopies,
		most: limits.MaxExecutions, keys: map[decision.Key]*keyLine{}}
	for i, w := range workloads {
		w.Threads = max(1, w.Threads)
		m.workloads = append(m.workloads, &workload{Workload: w, id: decision.WorkloadID(i), grant: grantFirst,
			work: w.SLO.Seconds() / 4 * float64(w.Threads)})
	}
	for _, g := range shares.Groups {
		rate := g.PerSec / m.gate.routers
		m.shares[g.Group] = &share{perSec: rate, tokens: rate, burst: rate}
	}
	return m
}

// Handle takes what happened now, in order, and returns what to do, in order.
func (m *Module) Handle(now time.Duration, events []decision.Event) []decision.Action {
	m.now, m.out = now, nil
	for _, event := range events {
		switch ev := event.(type) {
		case decision.EngineList:
			m.list(ev)
		case decision.StatementArrived:
			m.arrive(ev)
		case decision.AnswerStarted:
			if s := m.stmts[ev.Statement]; s != nil {
				s.streamed = true
			}
		case decision.ExecutionNoted:
			m.noted(ev)
		case decision.ExecutionEnded:
			m.ended(ev)
		case decision.ClientLeft:
			if s := m.stmts[ev.Statement]; s != nil {
				m.finish(s)
			}
		case decision.ProbeEnded:
			m.probed(ev)
		case decision.TimerFired:
			m.clock.armed = 0
		}
	}
	m.runDue()
	if m.clock.swept == 0 || now >= m.clock.swept+sweepEvery {
		m.clock.swept = now
		m.sweep()
	}
	m.dispatch()
	if at := m.clock.next(); m.clock.armed == 0 || at < m.clock.armed {
		m.clock.armed = at
		m.do(decision.SetTimer{Token: "due", At: at})
	}
	return m.out
}

func (m *Module) do(a decision.Action) { m.out = append(m.out, a) }

// chance returns a number in [0, 1) from the seed and a counter.
func (m *Module) chance() float64 {
	m.draws++
	return float64(hash(m.me.Seed, m.draws)>>11) / (1 << 53)
}

func hash(a, b uint64) uint64 {
	h := fnv.New64a()
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	h.Write(buf[:])
	x := h.Sum64() // FNV's high bits mix poorly on short input: fold them
	x ^= x >> 32
	x *= 0x9E3779B97F4A7C15
	return x ^ x>>29
}

// ---- The ordinary path -------------------------------------------------------------------

// arrive takes a statement; route and send are its ordinary path.
func (m *Module) arrive(ev decision.StatementArrived) {
	w := m.workloads[ev.Workload]
	s := &statement{id: ev.Statement, wlm: w, tables: ev.Tables, mem: ev.NeedMB}
	if ev.Estimate > 0 {
		if !w.known {
			w.work, w.known = ev.Estimate.Seconds(), true
		}
		w.work += learnRate * (ev.Estimate.Seconds() - w.work)
		s.work = ev.Estimate.Seconds()
	} else {
		s.work = w.work
	}
	s.run = seconds(s.work / float64(w.Threads))
	s.sloDue = m.now + w.SLO + time.Duration(w.SLOStretch*float64(s.run))
	s.end = m.now + ev.TimeBudget
	s.over = m.overShare(ev.Group)
	m.stmts[s.id] = s
	m.slots[s.tables] = m.slots[s.tables]*fanOutDecay + 1
	m.gate.took(m.now)
	if w.InOrder && ev.Key != "" {
		s.key = ev.Key
		m.gate.line(s)
	}
	m.clock.at(s.end-2*max(m.me.Tick, time.Millisecond), func() { m.lastCall(s) })
	if m.limits.MaxOpen > 0 && len(m.stmts) >= m.limits.MaxOpen-1 {
		m.giveUp(s)
		return
	}
	m.hold(s)
}

// route picks the engine for a statement's next execution, or nil to hold it.
func (m *Module) route(s *statement) *engine {
	// The rules first: no other engine is looked at.
	var ready []*engine
	for _, e := range m.fleet {
		if m.gate.allows(m.now, s, e) {
			ready = append(ready, e)
		}
	}
	if healthy := slices.DeleteFunc(slices.Clone(ready), func(e *engine) bool { return !m.usable(e, s) }); len(healthy) > 0 {
		ready = healthy
	} else {
		return nil
	}
	// Candidates: warm engines, then nearer zones, by rendezvous hash; all when these are congested.
	candidates := m.candidates(s, ready)
	if !slices.ContainsFunc(candidates, func(e *engine) bool { return !m.congested(e, s.wlm) }) {
		candidates = ready
	}
	// The lowest score takes it, a barred engine only when all are barred.
	for _, barred := range []bool{false, true} {
		var best *engine
		lowest := math.Inf(1)
		for _, e := range candidates {
			if e.windows[s.wlm.id].barred != barred || !m.hasRoom(e, s) {
				continue
			}
			if score := m.score(e, s); score < lowest {
				best, lowest = e, score
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// score is zone weight × (own in flight + 1) ÷ window × warmth cost. In flight counts the threads
// of all workloads there, in units of this workload's, since they share the engine's cores.
func (m *Module) score(e *engine, s *statement) float64 {
	zone, warmth := farWeight, coldCost
	if e.Zone == m.me.Zone {
		zone = nearWeight
	}
	if slices.Contains(e.warm, s.tables) {
		warmth = warmCost
	}
	inFlight := float64(e.threads) / float64(s.wlm.Threads)
	return zone * (inFlight + 1) / e.windows[s.wlm.id].size * warmth
}

// candidates ranks warm engines first, then nearer zones, then by rendezvous hash, and keeps K.
// A load ranks the hash backwards, away from where its table group is read.
func (m *Module) candidates(s *statement, ready []*engine) []*engine {
	warm := 0
	for _, e := range ready {
		if slices.Contains(e.warm, s.tables) {
			warm++
		}
	}
	k := max(1, warm, int(m.slots[s.tables]/fanOutStep)+1)
	k = min(k, fanOutMost, len(ready))
	ranked := slices.Clone(ready)
	slices.SortStableFunc(ranked, func(a, b *engine) int {
		if s.wlm.Load {
			return cmp.Compare(a.rank(s.tables), b.rank(s.tables))
		}
		return cmp.Or(
			-compareBool(slices.Contains(a.warm, s.tables), slices.Contains(b.warm, s.tables)),
			-compareBool(a.Zone == m.me.Zone, b.Zone == m.me.Zone),
			cmp.Compare(b.rank(s.tables), a.rank(s.tables)))
	})
	return ranked[:k]
}

func (e *engine) rank(tables decision.TableGroup) uint64 {
	h, ok := e.hash[tables]
	if !ok {
		f := fnv.New64a()
		f.Write([]byte(e.Engine))
		h = hash(f.Sum64(), uint64(tables))
		e.hash[tables] = h
	}
	return h
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// congested: full for this router, or reported busy.
func (m *Module) congested(e *engine, w *workload) bool {
	win := &e.windows[w.id]
	return float64(win.inFlight) >= win.size || win.barred || e.utilKnown && e.util > busyUtil
}

// send starts an execution on an engine that route picked.
func (m *Module) send(s *statement, e *engine) {
	x := &execution{s: s, e: e, n: decision.ExecutionID(len(s.execs)), sent: m.now, news: m.now,
		threads: s.wlm.Threads, mem: m.need(s)}
	m.gate.sent(m.now, s, e)
	if len(e.execs) == 0 {
		e.lastNews = m.now
	}
	s.execs, s.open, s.mayHaveRun = append(s.execs, x), s.open+1, true
	if s.home == nil {
		s.home, s.homeAt = e, m.now
	}
	e.execs[x] = true
	e.threads += x.threads
	e.memOut += x.mem
	e.windows[s.wlm.id].inFlight++
	e.touch(s.tables)
	m.setTerms(s)
	m.do(decision.Execute{Statement: s.id, Engine: e.Engine})
}

func (e *engine) touch(tables decision.TableGroup) {
	if i := slices.Index(e.warm, tables); i >= 0 {
		e.warm = slices.Delete(e.warm, i, i+1)
	}
	if e.warm = append(e.warm, tables); len(e.warm) > warmGroups {
		e.warm = e.warm[1:]
	}
}

// ---- Windows -------------------------------------------------------------------------------

func (m *Module) period() time.Duration {
	if m.reports.Path == decision.ReportsByProbe {
		return probeEvery
	}
	return inlinePeriod
}

func (e *engine) ceiling(w *workload) float64 {
	return max(1, e.cores*windowThreads/float64(w.Threads))
}

// report takes a load report and steps the engine's windows, once a report period.
func (m *Module) report(e *engine, r *decision.Report) {
	if r == nil {
		return
	}
	if r.Known[decision.FieldUtilisation] {
		e.util, e.utilKnown, e.utilAt = r.Value[decision.FieldUtilisation], true, m.now
	}
	if r.Known[decision.FieldQueue] {
		e.queue = r.Value[decision.FieldQueue]
	}
	if m.now >= e.stepped+m.period() {
		m.step(e, r.Known[decision.FieldUtilisation])
	}
}

// step moves the windows of an engine: halved on memory waits, utilisation or, where that is
// missing, own latency; else doubled below the slow-start threshold and grown by one above it.
func (m *Module) step(e *engine, utilKnown bool) {
	e.stepped = m.now
	for i := range e.windows {
		w := &e.windows[i]
		over := e.queue >= 1 || utilKnown && e.util > overUtil || !utilKnown && w.late*2 > w.done
		switch {
		case w.refusals > 0: // halved at the refusal
		case over:
			m.halve(w)
		case w.size < w.threshold:
			w.size = min(w.size*2, e.ceiling(m.workloads[i]))
		default:
			w.size = min(w.size+1, e.ceiling(m.workloads[i]))
		}
		if w.refusals == 0 {
			w.barred = false
		}
		w.refusals, w.late, w.done = 0, 0, 0
	}
}

func (m *Module) halve(w *window) {
	if w.halved > 0 && m.now < w.halved+m.period() {
		return
	}
	w.halved = m.now
	w.size = max(1, w.size/2)
	w.threshold = w.size
}

func (m *Module) refused(e *engine, wlm *workload) {
	w := &e.windows[wlm.id]
	m.halve(w)
	w.refusals++
	w.barred = true
	m.clock.at(m.now+m.period(), func() { w.barred = false })
}

// ---- 1. The rule gate ----------------------------------------------------------------------

type gate struct {
	rules   decision.Rules
	routers float64
	copies  bool
	most    int
	keys    map[decision.Key]*keyLine
	taken   []time.Duration
	further []time.Duration
}

type keyLine struct {
	line      []*statement
	restUntil time.Duration
	open      int // executions of statements that are over
}

// allows tells whether the rules let this statement go to this engine now.
func (g *gate) allows(now time.Duration, s *statement, e *engine) bool {
	if s.done || s.streamed || !e.listed || e.State != decision.Ready || now >= s.end {
		return false
	}
	if g.most > 0 && len(s.execs) >= g.most {
		return false
	}
	// Placement.
	if len(s.wlm.Zones) > 0 && !slices.Contains(s.wlm.Zones, e.Zone) ||
		len(s.wlm.Kinds) > 0 && !slices.Contains(s.wlm.Kinds, e.Kind) {
		return false
	}
	// No effect twice.
	if s.open > 0 && !g.copies {
		return false
	}
	if s.mayHaveRun {
		switch s.wlm.Effect {
		case decision.NonIdempotent:
			return false
		case decision.Deduplicated:
			if now >= s.homeAt+s.wlm.DedupWindow || !sameScope(s.wlm.DedupScope, s.home, e) {
				return false
			}
		}
	}
	return g.inTurn(now, s) && g.furtherLeft(now, s) && g.coldLeft(now, s, e)
}

func sameScope(scope decision.Scope, a, b *engine) bool {
	switch scope {
	case decision.ScopeZone:
		return a.Zone == b.Zone
	case decision.ScopeCell:
		return a.Cell == b.Cell
	}
	return true
}

// mayReject: a rejection says that trying again is harmless.
func (g *gate) mayReject(s *statement) bool {
	return !s.mayHaveRun || s.wlm.Effect == decision.Idempotent ||
		s.wlm.Effect == decision.Deduplicated && s.wlm.DedupScope == decision.ScopeAll
}

func (g *gate) took(now time.Duration) {
	if g.rules.FurtherWindow > 0 {
		g.taken = append(g.taken, now)
	}
}

func since(list []time.Duration, from time.Duration) []time.Duration {
	i := 0
	for i < len(list) && list[i] <= from {
		i++
	}
	return list[i:]
}

// furtherLeft: further executions stay within their budget in every window.
func (g *gate) furtherLeft(now time.Duration, s *statement) bool {
	if g.rules.FurtherWindow == 0 || len(s.execs) == 0 {
		return true
	}
	g.taken, g.further = since(g.taken, now-g.rules.FurtherWindow), since(g.further, now-g.rules.FurtherWindow-time.Millisecond)
	return float64(len(g.further)+1) <= g.rules.FurtherFree+g.rules.FurtherShare*float64(len(g.taken))
}

func (g *gate) line(s *statement) {
	k := g.keys[s.key]
	if k == nil {
		k = &keyLine{}
		g.keys[s.key] = k
	}
	k.line = append(k.line, s)
}

// inTurn: a key's statements run one at a time, in the order they were taken.
func (g *gate) inTurn(now time.Duration, s *statement) bool {
	if s.key == "" {
		return true
	}
	k := g.keys[s.key]
	return k.line[0] == s && (len(s.execs) > 0 || k.open == 0 && now >= k.restUntil)
}

// leave takes a statement that is over out of its key's line; its open executions still bar it.
func (g *gate) leave(s *statement) {
	if k := g.keys[s.key]; s.key != "" && k != nil {
		k.line = slices.DeleteFunc(k.line, func(o *statement) bool { return o == s })
		k.open += s.open
		g.forget(s.key, k)
	}
}

// settle hears of an ended execution of a statement with a key.
func (g *gate) settle(now time.Duration, s *statement, o decision.Outcome) {
	k := g.keys[s.key]
	if s.key == "" || k == nil {
		return
	}
	if s.done {
		k.open--
	}
	if o == decision.TimedOut || o == decision.Reset || o == decision.Cancelled {
		k.restUntil = max(k.restUntil, now+g.rules.KeyRest)
	}
}

func (g *gate) forget(key decision.Key, k *keyLine) {
	if len(k.line) == 0 && k.open == 0 && k.restUntil == 0 {
		delete(g.keys, key)
	}
}

// coldLeft: all routers together may send a cold engine only so much work in any window. This
// router keeps to its part, judged at the capacity that a cold engine has at the very least.
func (g *gate) coldLeft(now time.Duration, s *statement, e *engine) bool {
	if !g.isCold(now, e) {
		return true
	}
	total := s.wlm.work
	for _, c := range e.coldSent {
		if c.at > now-g.rules.ColdWindow-100*time.Millisecond {
			total += c.work
		}
	}
	return total <= coldSafety*g.rules.ColdMultiple*g.rules.ColdShare*capacityShare*e.cores*
		g.rules.ColdWindow.Seconds()/g.routers
}

func (g *gate) isCold(now time.Duration, e *engine) bool {
	return e.StartedAt > 0 && now < e.StartedAt+g.rules.WarmAfter+time.Second && g.rules.ColdWindow > 0
}

func (g *gate) sent(now time.Duration, s *statement, e *engine) {
	if len(s.execs) > 0 && g.rules.FurtherWindow > 0 {
		g.further = append(g.further, now)
	}
	if g.isCold(now, e) {
		e.coldSent = append(e.coldSent, sent{now, s.wlm.work})
	}
}

// ---- 2. The clock --------------------------------------------------------------------------

type due struct {
	at time.Duration
	n  int
	do func()
}

type dueHeap []due

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)   { *h = append(*h, x.(due)) }
func (h *dueHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type clock struct {
	heap         dueHeap
	n            int
	armed, swept time.Duration
}

func (c *clock) at(at time.Duration, do func()) {
	c.n++
	heap.Push(&c.heap, due{at, c.n, do})
}

func (c *clock) next() time.Duration {
	next := c.swept + sweepEvery
	if len(c.heap) > 0 {
		next = min(next, c.heap[0].at)
	}
	return next
}

func (m *Module) runDue() {
	for len(m.clock.heap) > 0 && m.clock.heap[0].at <= m.now {
		heap.Pop(&m.clock.heap).(due).do()
	}
}

// lastCall answers a statement just before its client gives up.
func (m *Module) lastCall(s *statement) {
	if !s.done && !s.streamed {
		m.giveUp(s)
	}
}

// giveUp ends a statement at once: rejected where trying again is harmless, else aborted.
func (m *Module) giveUp(s *statement) {
	if m.gate.mayReject(s) {
		m.do(decision.Reject{Statement: s.id})
	} else {
		m.do(decision.Abort{Statement: s.id})
	}
	m.finish(s)
}

// finish forgets a statement that is over and calls off what still runs for it.
func (m *Module) finish(s *statement) {
	if s.done {
		return
	}
	m.gate.leave(s)
	s.done = true
	delete(m.stmts, s.id)
	for _, x := range s.execs {
		m.cancel(x)
	}
}

func (m *Module) cancel(x *execution) {
	if !x.ended && !x.cancelled && m.limits.MayCancel {
		x.cancelled = true
		m.do(decision.Cancel{Statement: x.s.id, Execution: x.n})
	}
}

// sweep is the periodic work: probes, silent engines, windows without reports, the list.
func (m *Module) sweep() {
	if m.limits.ListOnRequest && (m.followed < 0 || m.now >= m.followed+max(time.Second, m.limits.ListAskedEvery/2)) {
		m.followed = m.now
		m.do(decision.FollowList{On: true})
	}
	for _, e := range m.fleet {
		if !e.listed || e.State != decision.Ready {
			continue
		}
		m.watch(e)
		every := probeEvery
		if m.reports.Path != decision.ReportsByProbe {
			every = 4 * probeEvery
		}
		if m.limits.MayProbe && !e.probing && (m.reports.Path == decision.ReportsByProbe || e.left) &&
			m.now >= e.probedAt+every {
			e.probing, e.probedAt = true, m.now
			m.do(decision.Probe{Engine: e.Engine})
		}
		if m.now >= e.stepped+3*m.period() { // reports are missing: own sights stand in
			e.utilKnown, e.queue = false, 0
			m.step(e, false)
		}
		if n := len(e.coldSent); n > 0 && e.coldSent[n-1].at < m.now-2*m.gate.rules.ColdWindow {
			e.coldSent = nil
		}
	}
}

// ---- 3. Engine health ----------------------------------------------------------------------

// list takes a change of the engine list, or all of it.
func (m *Module) list(ev decision.EngineList) {
	if ev.Kind == decision.ListFailed {
		m.followed = m.now - m.limits.ListAskedEvery/2 + seconds(1+m.chance())
		return
	}
	if ev.Kind != decision.ListPartial {
		for _, e := range m.fleet {
			e.listed = false
		}
	}
	for _, entry := range ev.Entries {
		e := m.engines[entry.Engine]
		if e == nil {
			machine := m.traits.Machines[entry.Kind]
			e = &engine{hash: map[decision.TableGroup]uint64{}, execs: map[*execution]bool{}, pace: 1,
				cores: max(1, machine.Cores), mem: machine.MemoryMB, stepped: m.now, lastNews: m.now}
			e.Entry = entry
			e.windows = m.firstWindows(e)
			m.engines[entry.Engine] = e
			m.fleet = append(m.fleet, e)
			slices.SortFunc(m.fleet, func(a, b *engine) int { return cmp.Compare(a.Engine, b.Engine) })
		} else if entry.StartedAt > e.StartedAt { // started anew: it holds nothing warm
			e.warm, e.left, e.backoff = nil, false, 0
			e.windows = m.firstWindows(e)
			for x := range e.execs {
				e.windows[x.s.wlm.id].inFlight++
			}
		}
		e.Entry, e.listed = entry, entry.State != decision.Gone
	}
}

// firstWindows: the mean window of ready engines of the kind, or 1.
func (m *Module) firstWindows(e *engine) []window {
	windows := make([]window, len(m.workloads))
	for i, w := range m.workloads {
		sum, n := 0.0, 0
		for _, o := range m.fleet {
			if o != e && o.listed && o.State == decision.Ready && o.Kind == e.Kind {
				sum, n = sum+o.windows[i].size, n+1
			}
		}
		windows[i] = window{size: 1, threshold: e.ceiling(w)}
		if n > 0 {
			windows[i].size = sum / float64(n)
		}
	}
	return windows
}

// usable: not left by health; a left engine takes one idempotent statement as a trial.
func (m *Module) usable(e *engine, s *statement) bool {
	if !e.left {
		return s.avoid != e || len(m.fleet) == 1
	}
	return m.now >= e.leftUntil && len(e.execs) == 0 && s.wlm.Effect == decision.Idempotent
}

// leave stops sending to an engine that does not connect or is silent, for a growing while.
func (m *Module) leave(e *engine) {
	if e.left && m.now < e.leftUntil {
		return
	}
	e.left = true
	e.backoff = min(max(backoffFirst, e.backoff*2), backoffMost)
	e.leftUntil = m.now + e.backoff
}

func (m *Module) back(e *engine) {
	e.left, e.backoff = false, 0
	e.lastNews = m.now
}

// watch finds engines that took work and tell nothing of it.
func (m *Module) watch(e *engine) {
	for x := range e.execs {
		patience := time.Second + 3*x.s.run
		if m.traits.ProgressEvery > 0 {
			patience = 2*m.traits.ProgressEvery + 100*time.Millisecond
		}
		if m.now > max(e.lastNews, x.sent)+patience {
			m.leave(e)
			break
		}
	}
	if !e.left {
		return
	}
	for _, x := range e.inOrder() {
		if m.now > max(e.lastNews, x.sent)+backoffFirst {
			m.rescue(x)
		}
	}
}

// inOrder lists what an engine holds in the order of sending, so that no map order shows.
func (e *engine) inOrder() []*execution {
	list := make([]*execution, 0, len(e.execs))
	for x := range e.execs {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b *execution) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.s.id, b.s.id), cmp.Compare(a.n, b.n))
	})
	return list
}

func (m *Module) probed(ev decision.ProbeEnded) {
	e := m.engines[ev.Engine]
	if e == nil {
		return
	}
	e.probing = false
	switch ev.Outcome {
	case decision.Completed:
		if e.left && len(e.execs) == 0 {
			m.back(e)
		}
		m.report(e, ev.Report)
	case decision.NotConnected:
		m.leave(e)
	}
}

func (m *Module) noted(ev decision.ExecutionNoted) {
	s, e := m.stmts[ev.Statement], m.engines[ev.Engine]
	if e != nil {
		m.back(e)
	}
	if s == nil || int(ev.Execution) >= len(s.execs) {
		return
	}
	x := s.execs[ev.Execution]
	x.news = m.now
	if ev.Note == decision.NoteSpills && !x.spilled {
		x.spilled = true
		if e.memOut <= e.mem/m.gate.routers { // not for want of memory there: estimates are too low
			s.wlm.grant = min(grantMost, s.wlm.grant*(1+grantUp))
		}
	}
	// A bad plan: at its pace this execution takes many times what a new one would.
	if ev.Note == decision.NoteProgress && !x.ended {
		elapsed := (m.now - x.sent).Seconds()
		left := elapsed * (1 - ev.Value) / max(ev.Value, 0.002)
		if elapsed+left > badPlan*max(s.run.Seconds(), 0.5)*max(1, e.pace) && left > 2*s.run.Seconds()*max(1, e.pace) {
			m.rescue(x)
		}
	}
}

// ---- 4. Further executions -----------------------------------------------------------------

// rescue calls off an execution that is stuck or has a bad plan, so that it may go elsewhere.
func (m *Module) rescue(x *execution) {
	if x.s.done || x.s.streamed || x.s.wlm.Effect != decision.Idempotent || x.ended ||
		m.gate.most > 0 && len(x.s.execs) >= m.gate.most {
		return
	}
	x.s.avoid = x.e
	m.cancel(x)
}

// ended takes the one outcome of an execution.
func (m *Module) ended(ev decision.ExecutionEnded) {
	e, s := m.engines[ev.Engine], m.stmts[ev.Statement]
	if e == nil {
		return
	}
	var x *execution
	for o := range e.execs {
		if o.s.id == ev.Statement && o.n == ev.Execution {
			x = o
			break
		}
	}
	if x == nil {
		return
	}
	x.ended = true
	delete(e.execs, x)
	e.threads -= x.threads
	e.memOut -= x.mem
	w := &e.windows[x.s.wlm.id]
	w.inFlight--
	x.s.open--
	m.gate.settle(m.now, x.s, ev.Outcome)
	switch ev.Outcome {
	case decision.Completed, decision.Errored:
		m.back(e)
		w.done++
		if m.now-x.sent > (x.s.wlm.SLO+time.Duration(x.s.wlm.SLOStretch*float64(x.s.run)))/2 {
			w.late++
		}
		if ev.Outcome == decision.Completed {
			if !x.spilled {
				x.s.wlm.grant = max(1, x.s.wlm.grant*(1-grantDown))
			}
			stretch := (m.now - x.sent).Seconds() / max(x.s.run.Seconds(), 0.001)
			e.pace += learnRate * (min(stretch, 20) - e.pace)
		}
	case decision.Full:
		m.refused(e, x.s.wlm)
	case decision.NotConnected, decision.Reset:
		m.leave(e)
	}
	m.report(e, ev.Report)
	if s == nil {
		return
	}
	if ev.Outcome == decision.Full || ev.Outcome == decision.NotConnected || ev.Outcome == decision.NeverSent {
		s.mayHaveRun = slices.ContainsFunc(s.execs, func(o *execution) bool { return !o.ended || o.ran })
		if !s.mayHaveRun {
			s.home = nil
		}
	} else {
		x.ran = true
	}
	if ev.Over {
		m.finish(s)
		return
	}
	if s.open > 0 {
		return
	}
	if m.mayGoAgain(s) {
		s.avoid = e
		m.hold(s)
	} else {
		m.giveUp(s)
	}
}

// mayGoAgain: the rules may still allow a further execution.
func (m *Module) mayGoAgain(s *statement) bool {
	if m.gate.most > 0 && len(s.execs) >= m.gate.most || m.now >= s.end-2*m.me.Tick {
		return false
	}
	return !s.mayHaveRun || s.wlm.Effect == decision.Idempotent ||
		s.wlm.Effect == decision.Deduplicated && m.now < s.homeAt+s.wlm.DedupWindow
}

// ---- 5. Holding and shedding ---------------------------------------------------------------

func (m *Module) overShare(g decision.MemberGroup) bool {
	sh := m.shares[g]
	if sh == nil || sh.perSec <= 0 {
		return false
	}
	sh.tokens = min(sh.burst, sh.tokens+sh.perSec*(m.now-sh.at).Seconds())
	sh.at = m.now
	if sh.tokens < 1 {
		return true
	}
	sh.tokens--
	return false
}

func (m *Module) hold(s *statement) {
	if !s.isHeld {
		s.isHeld = true
		m.held = append(m.held, s)
	}
}

// hasRoom: this router's part of an engine's threads and memory is not used up, and no load holds
// the table group there for a statement that would stand still behind it.
func (m *Module) hasRoom(e *engine, s *statement) bool {
	limit := roomThreads * e.cores / m.gate.routers
	mem := e.mem / m.gate.routers
	if m.gate.isCold(m.now, e) {
		warm := (m.now - e.StartedAt).Seconds() / max(m.gate.rules.WarmAfter.Seconds(), 0.001)
		limit *= min(1, m.gate.rules.ColdShare+(1-m.gate.rules.ColdShare)*warm)
	}
	if float64(e.threads) >= limit || e.mem > 0 && e.memOut > 0 && e.memOut+m.need(s) > mem {
		return false
	}
	if s.wlm.WaitsForLoads || s.wlm.Load {
		for x := range e.execs {
			if x.s.wlm.Load && x.s.tables == s.tables {
				return false
			}
		}
	}
	return true
}

// dispatch sends what is held, most urgent first: within its share and still in time, by the
// latest start that meets the SLO time; then what is late; then what is beyond its share.
func (m *Module) dispatch() {
	if len(m.held) == 0 {
		return
	}
	m.held = slices.DeleteFunc(m.held, func(s *statement) bool { return s.done })
	slices.SortStableFunc(m.held, func(a, b *statement) int {
		return cmp.Or(cmp.Compare(m.tier(a), m.tier(b)), cmp.Compare(a.sloDue-a.run, b.sloDue-b.run))
	})
	kept, looked := m.held[:0], 0
	for _, s := range m.held {
		if m.tier(s) > 0 && s.wlm.LateShare == 0 && m.now > s.sloDue-s.run/2 {
			m.giveUp(s) // no answer in time: worth nothing any more
			continue
		}
		if looked < lookedMost && m.gate.inTurn(m.now, s) {
			if e := m.route(s); e != nil {
				s.isHeld = false
				m.send(s, e)
				continue
			}
			looked++
		}
		kept = append(kept, s)
	}
	clear(m.held[len(kept):])
	m.held = kept
}

func (m *Module) tier(s *statement) int {
	switch {
	case s.over:
		return 2
	case m.now > s.sloDue-s.run:
		return 1
	}
	return 0
}

// ---- 6. Grants and priorities --------------------------------------------------------------

// need is the memory that a statement is held to need: its estimate, corrected by what spilled.
func (m *Module) need(s *statement) float64 {
	if m.traits.OnShortage == decision.ShortagePage {
		return s.mem // what is granted beyond the need is not in use
	}
	return s.mem * s.wlm.grant
}

// setTerms names the memory that a statement needs and a priority: the lighter a workload for its
// importance, the higher; last what is late or beyond its share.
func (m *Module) setTerms(s *statement) {
	t := decision.SetTerms{Statement: s.id, Priority: 1}
	if m.traits.Grants && s.mem > 0 {
		t.GrantMB = int64(math.Ceil(m.need(s)))
	}
	if m.traits.Priorities {
		best := 0.0
		for _, w := range m.workloads {
			best = max(best, w.Importance/w.work)
		}
		if s.wlm.Importance/s.wlm.work > best/2 {
			t.Priority = 3
		}
	}
	if t != s.terms && (t.GrantMB > 0 || t.Priority != 1 || s.terms.Statement != "") {
		s.terms = t
		m.do(t)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
