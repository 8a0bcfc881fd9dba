// Package policy decides, for one router, what runs, where and with how much memory.
//
// Called: New once, then Handle with what happened; it returns what to do. The interface stands in package
// decision; package state keeps what is remembered. The ordinary path is route, by docs/design.md.
//
// Beside the design stand six mechanisms:
//  1. gate: every send and every final answer passes the rules there.
//  2. clock: one timer, one ordered row of due times; every statement is answered in time.
//  3. health: engines that do not connect, err alone or fall silent are left and tried with care.
//  4. further executions: what was lost, is stuck or got a bad plan goes elsewhere, if harmless.
//  5. holding and shedding: statements wait here while engines are full, by what their answer counts.
//  6. grants and priorities, where engines heed them.
package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"bankledge/decision"
	"bankledge/internal/detrand"
	"bankledge/internal/estimate"
	"bankledge/internal/slidingwindow"
	"bankledge/internal/state"
	"bankledge/internal/timerqueue"
)

// The design's figures (marked 'ours' there) and this module's own. All else derives from settings.
const (
	nearWeight, farWeight        = 8.0, 11.0      // zone weight
	warmCost, coldCost, turnCost = 1.0, 2.0, 0.25 // warmth cost; the last: of a cold engine that may be warmed
	warmGroups, fanOutDecay      = 4, 0.999       // groups sent last that are warm; of their counts, a statement
	fanOutSlack                  = 4.0            // candidates over a table group's even part of the engines
	fanOutDoubt                  = 0.3            // statements an engine that count against a group with few
	fanOutMost, tallyMost        = 32, 4096       // candidates; table groups remembered, whatever is named
	windowThreads                = 2.0            // ceiling of a window, in threads a core
	busyUtil, overUtil           = 0.65, 0.90     // above: a candidate is congested, a window is halved
	reportPeriod                 = time.Second    // between steps of a window; a report is fresh so long

	sweepEvery, learnRate, answerShare = 50 * time.Millisecond, 0.05, 8 // the last: of a client's time
	coldSafety, capacityShare          = 0.6, 0.85                      // of a cold budget; of the cores
	coldMargin                         = 500 * time.Millisecond         // around the rule's times

	backoffFirst, backoffMost = 500 * time.Millisecond, 8 * time.Second // before a left engine is tried again

	silentSLOs, silentPaces = 0.6, 10.0       // SLO times, usual runs without news, where there are no notes
	badPlan, halfDone       = 4.0, 0.5        // expected runs, worth giving up; share done, for priority 3
	roomThreads, mixDecay   = 3.2, 0.995      // threads a core that all routers keep on an engine; a sweep
	heavySight              = 2.5             // of what others hold, for what is not light, by the share that is
	errorsMost              = 0.5             // share of errors from which an engine is left; back at half of it
	partSpan                = 4 * time.Second // over which a router keeps its part of the fleet on average
	crowdMost, jamMost      = 1.6, 1.5        // statements a core, all routers' and what time-outs left; of that
	askFirst, askMost       = 2, 4            // probes for a statement's candidates, and for wider choice
	barredCost, leftLeast   = 1e6, 0.05       // of a barred engine's score; of a window, whatever others hold
	engineLearn, engineFade = 0.2, 0.002      // of an engine's own pace, at an answer and a sweep
	lateDoubt               = 2.0             // usual times without an end that tell nothing of an engine's pace
	paceStep, chanceRoom    = 0.02, 3.0       // of a workload's pace at an answer; of a share, times its root
	lookedMost, loadKnown   = 4, 4            // without room before a pass skips a workload; notes a load lasts
	grantFirst, grantMost   = 1.25, 3.0       // of the estimate of memory
	grantUp, grantDown      = 0.04, 0.004     // of a workload's grants, at a spill and without one
)

type workload = state.Workload
type engine = state.Engine
type statement = state.Statement

// Module is one instance. Instances share nothing.
type Module struct {
	me             decision.Identity
	workloads      []*workload
	fleet          state.Fleet
	stmts          map[decision.StatementID]*statement // not over yet
	held           []*statement
	traffic        state.Traffic // decayed counts of statements, by table group
	shares         map[decision.Tenant]*state.Share
	overShare      float64 // of the importance, beyond a share
	rules          decision.Rules
	routers        float64
	keys           state.KeyLines           // lines of statements that keep their order
	taken, further slidingwindow.Sum        // statements, and executions beyond each one's first
	opened         time.Duration            // when this instance started
	turns          int                      // statements taken
	cold           estimate.SlowStartBudget // how cold engines' budgets are cut among all routers
	due            timerqueue.Queue
	armed, swept   time.Duration // when the one timer comes, 0: not set; last sweep
	traits         decision.EngineTraits
	limits         decision.Limits
	byProbe        bool // reports come by probe alone
	chance         detrand.Source
	now            time.Duration
	actions        []decision.Action
	cores, mem     float64           // of the engines in use, cold ones at what they can do
	credit         float64           // seconds for which twice the router's part of the fleet may be used
	out, outMem    float64           // own executions that were out lately, and their memory
	lightest       float64           // highest importance for its work of a workload
	stirred        bool              // what is held may find room that it did not find before
	tried, execs   int               // held statements that found no room since the last stir; own executions out now
	crowd          estimate.PeerLoad // what others hold on engines
	asks, lights   float64           // probes that may still be sent; share of late statements that are light
}

// New opens an instance; each argument is one part's settings.
func New(me decision.Identity, workloads []decision.Workload, traits decision.EngineTraits,
	shares decision.Quotas, limits decision.Limits, rules decision.Rules, reports decision.LoadReportSettings) *Module {
	m := &Module{me: me, traits: traits, limits: limits, rules: rules, overShare: shares.OverQuotaFactor,
		routers: float64(max(1, me.Routers)), byProbe: reports.Source == decision.LoadReportsByHealthCheck && limits.HealthChecks,
		stmts: map[decision.StatementID]*statement{}, shares: map[decision.Tenant]*state.Share{},
		keys: state.KeyLines{}, opened: -1, chance: detrand.Source{Seed: me.Seed},
		crowd: estimate.PeerLoad{FreshFor: reportPeriod, LearningRate: 2 * learnRate},
		cold: estimate.SlowStartBudget{Rules: rules, AgeUncertainty: rules.SlowStartWindow + coldMargin, UsableShare: capacityShare,
			SafetyShare: coldSafety, Routers: float64(max(1, me.Routers)), MinDemandShare: 1},
		traffic: state.Traffic{Decay: fanOutDecay, Most: tallyMost}, fleet: state.Fleet{Most: tallyMost}}
	for i, w := range workloads {
		w.Threads = max(1, w.Threads)
		m.workloads = append(m.workloads, &workload{Workload: w, ID: decision.WorkloadID(i), Grant: grantFirst,
			Pace: 1, Work: w.LatencyObjective.Seconds() / 4 * float64(w.Threads)})
	}
	for _, g := range shares.Tenants {
		m.shares[g.Tenant] = state.NewShare(g.RatePerSecond/m.routers, chanceRoom)
	}
	if limits.PollEndpoints {
		m.due.Schedule(0, func() { m.do(decision.WatchEndpoints{Enabled: true}) })
	}
	return m
}

// Handle takes what happened now, in order, and returns what to do, in order.
func (m *Module) Handle(now time.Duration, events []decision.Event) []decision.Action {
	if m.now, m.actions = now, nil; m.opened < 0 {
		m.opened = now
	}
	for _, event := range events {
		switch ev := event.(type) {
		case decision.StatementArrived:
			m.arrive(ev)
			continue
		case decision.TimerFired:
			m.armed = 0
			continue
		case decision.EndpointList:
			m.list(ev)
		case decision.ResponseStarted:
			if s := m.stmts[ev.Statement]; s != nil {
				s.Streamed = true
			}
		case decision.AttemptProgress:
			m.noted(ev)
		case decision.AttemptEnded:
			m.ended(ev)
		case decision.ClientCancelled:
			if s := m.stmts[ev.Statement]; s != nil {
				m.finish(s)
			}
		case decision.ClientReadStateChanged: // what nobody takes in is not worth an execution; its time runs on
			for _, id := range ev.Statements {
				if s := m.stmts[id]; s != nil && ev.Disconnected {
					m.finish(s)
				} else if s != nil {
					if s.Unread = !ev.Reading; s.Aside && ev.Reading {
						m.hold(s)
					}
				}
			}
		case decision.HealthCheckEnded:
			m.probed(ev)
		case decision.RulesChanged:
			m.change(&ev)
		case decision.ShutdownStarted: // what is open by then can wait no longer for this router
			m.due.Schedule(now+ev.GracePeriod, func() {
				for _, id := range slices.Sorted(maps.Keys(m.stmts)) {
					m.giveUp(m.stmts[id], decision.ReasonShutdown)
				}
			})
		}
		m.stirred = true
	}
	m.due.RunDue(now)
	if now >= m.swept+sweepEvery {
		m.sweep()
	}
	m.dispatch()
	if at := m.due.Next(m.swept + sweepEvery); m.armed == 0 || at < m.armed {
		m.armed = at
		m.do(decision.SetTimer{Token: "due", At: at})
	}
	return m.actions
}

// change takes rules that take force now. What was learned and spent stays: budgets keep their clocks.
func (m *Module) change(ev *decision.RulesChanged) {
	m.rules, m.routers, m.overShare = ev.Rules, ev.EffectiveRouters, ev.OverQuotaFactor
	m.cold.Rules, m.cold.Routers = ev.Rules, ev.EffectiveRouters
	state.Change(m.workloads, m.shares, ev, chanceRoom)
}

func (m *Module) do(a decision.Action) { m.actions = append(m.actions, a) }

// ---- The ordinary path: arrive, then (from dispatch) route and send ----

func (m *Module) arrive(ev decision.StatementArrived) {
	w, sh := m.workloads[ev.Workload], m.shares[ev.Tenant]                              // what is beyond a member group's share waits
	looks := cmp.Or(ev.Classification, &decision.Classification{Workload: ev.Workload}) // what it takes; its rules are those declared
	s := &statement{ID: ev.Statement, Workload: w, As: m.workloads[looks.Workload], Effect: w.Idempotency,
		Tables: ev.TableGroup, Others: looks.OtherTableGroups, MemoryMB: cmp.Or(looks.EstimatedMemoryMB, ev.EstimatedMemoryMB), Resent: ev.ClientRetry,
		Importance: min(w.PriorityWeight, m.workloads[looks.Workload].PriorityWeight),
		Taken:      m.now, End: m.now + ev.TimeBudget, OverShare: sh != nil && sh.PerSec > 0 && !sh.Take(m.now)}
	if looks.Writes {
		s.Effect = decision.NonIdempotent
	}
	work := s.As.Work
	if looks.EstimatedWork > 0 { // what is held of it teaches no workload
		work = looks.EstimatedWork.Seconds()
	} else if ev.EstimatedWork > 0 {
		work = ev.EstimatedWork.Seconds()
		teaches := min(work, ev.TimeBudget.Seconds()*float64(w.Threads)) // a client may claim anything
		if !w.Known {
			w.Work, w.Known = teaches, true
		}
		w.Work += learnRate * (teaches - w.Work)
	}
	s.Run, s.Work = seconds(work/float64(s.As.Threads)), max(work, w.Work, s.As.Work)
	s.Last = s.End - min(2*max(m.me.ClockGranularity, time.Millisecond), ev.TimeBudget/answerShare)
	s.SLODue = m.now + w.Allowance(s.Run)
	m.stmts[s.ID], m.turns = s, m.turns+1
	m.cold.ObserveStatement(s.Work, s.As.Work, s.Resent)
	if m.lights *= 1 - learnRate; m.isLight(s) {
		m.lights += learnRate
	}
	m.traffic.Count(s.Tables)
	m.asks = min(m.asks+cmp.Or(m.rules.HealthChecksPerStatement, askFirst), askMost*askMost) // probes follow the statements
	m.taken.Add(m.now, 1)
	m.taken.Since(m.now - m.rules.RetryBudgetWindow) // forgets what is older
	if w.OrderedByKey && ev.Key != "" {
		s.Key = ev.Key
		m.keys.Join(s)
	}
	m.due.Schedule(s.Last, func() { m.giveUp(s, decision.ReasonDeadline) })
	if m.held = append(m.held, s); m.limits.MaxOpenStatements > 0 && len(m.stmts) >= m.limits.MaxOpenStatements-1 {
		m.giveUp(s, decision.ReasonTooManyOpenStatements)
	}
}

// route picks the engine for a statement's next execution, or nil to hold it.
func (m *Module) route(s *statement) *engine {
	// The rules first, then health: no other engine is looked at.
	ready := make([]*engine, 0, len(m.fleet.All))
	for _, e := range m.fleet.Ranked(s.Tables) {
		if m.allows(s, e) && m.usable(e, s) {
			ready = append(ready, e)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	// Candidates: warm engines, then nearer zones, by rendezvous hash; all when these are congested.
	candidates, most := m.candidates(s, ready), askFirst
	free := func(e *engine) bool { return !m.congested(e, s.As) }
	if !slices.ContainsFunc(candidates, free) {
		if candidates, most = ready, askMost; s.As.BulkLoad { // one engine stays for its group's reads
			candidates = ready[:max(1, len(ready)-1)]
		}
	}
	if m.byProbe {
		if candidates = m.asked(s, candidates, most); len(candidates) == 0 {
			return nil
		}
	}
	// The lowest score takes it; each router begins elsewhere, so that routers share what is equal.
	var best *engine
	lowest, first := math.Inf(1), m.offset(s, len(candidates))
	for i := range candidates {
		e := candidates[(i+first)%len(candidates)]
		if score := m.score(e, s); score < lowest && m.hasRoom(e, s) {
			best, lowest = e, score
		}
	}
	return best
}

// score is zone weight × (own in flight + 1) ÷ window × warmth cost. In flight counts the threads of all
// workloads in units of this one's, since they share cores; what others hold narrows the window.
func (m *Module) score(e *engine, s *statement) float64 {
	zone, warmth, w := farWeight, coldCost, e.Windows[s.As.ID]
	if e.Zone == m.me.Zone {
		zone = nearWeight
	}
	if m.isCold(e) { // few statements may warm it: whichever may, does
		warmth = turnCost
	} else if e.IsWarm(s.Tables) {
		warmth = warmCost
	}
	if w.Barred || e == s.Avoid { // comes last
		warmth *= barredCost
	}
	inFlight := float64(e.Threads) / float64(s.As.Threads)
	left := max(leftLeast, 1-m.othersOn(e)/(crowdMost*e.Cores*m.warmth(e)))
	return zone * (inFlight + 1) / (w.Size * left) * warmth * max(1, e.Pace)
}

// candidates takes K engines: warm ones first, then nearer zones, each by rendezvous hash. A load would hold
// its table group where that is read, and stand behind other loads: it takes half of the hash, backwards.
func (m *Module) candidates(s *statement, ready []*engine) []*engine {
	if s.As.BulkLoad {
		slices.Reverse(ready)
		return ready[:(len(ready)+1)/2]
	}
	warm, near, far := 0, make([]*engine, 0, len(ready)), []*engine(nil)
	for _, e := range ready {
		if e.IsWarm(s.Tables) || m.isCold(e) {
			near, warm = slices.Insert(near, warm, e), warm+1
		} else if e.Zone == m.me.Zone {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	step := (m.traffic.Total()/float64(len(ready)) + fanOutDoubt) / fanOutSlack
	k := max(1, warm, int(m.traffic.Of(s.Tables)/step)+1)
	return append(near, far...)[:min(k, fanOutMost, len(ready))]
}

// asked keeps the engines with a fresh report, where reports come by probe alone. If none of these is
// free of congestion it probes the statement's first few; none: wait for their answers.
func (m *Module) asked(s *statement, engines []*engine, most int) (known []*engine) {
	for _, e := range engines {
		if m.now < e.Reported+reportPeriod {
			if known = append(known, e); !m.congested(e, s.As) {
				most = 0
			}
		}
	}
	first := m.offset(s, len(engines)) + int(m.now/reportPeriod)*most // a second later, the next few
	for i := range min(most, len(engines)) {
		e := engines[(i+first)%len(engines)]
		waiting := e.Probing && m.now < e.ProbedAt+reportPeriod
		if ask := !waiting && m.now >= e.Reported+reportPeriod && m.asks >= 1; ask {
			e.Probing, e.ProbedAt, m.asks, waiting = true, m.now, m.asks-1, true
			m.do(decision.HealthCheck{Engine: e.Engine})
		}
		if waiting {
			known = nil
		}
	}
	return known
}

// offset is where this router begins in a row of equals, so that routers share them.
func (m *Module) offset(s *statement, n int) int {
	return int(detrand.Hash("", uint64(s.Tables), uint64(m.me.Router)) % uint64(n))
}

func (m *Module) othersOn(e *engine) float64 { return m.crowd.Estimate(m.now, e.Others, e.Counted) }

// congested: full for this router, or reported busy.
func (m *Module) congested(e *engine, w *workload) bool {
	win := &e.Windows[w.ID]
	return float64(win.InFlight) >= win.Size || win.Barred || e.Pace > badPlan || m.byProbe && e.Queue >= 1 ||
		e.UtilKnown && e.Util > busyUtil || m.othersOn(e)+float64(len(e.Execs)) >= busyUtil*e.Cores*m.warmth(e)
}

func (m *Module) send(s *statement, e *engine) {
	if len(s.Execs) > 0 && m.rules.RetryBudgetWindow > 0 {
		m.further.Add(m.now, 1)
	}
	if m.isCold(e) {
		e.ColdSent.Add(m.now, s.Work)
	}
	x := decision.StartAttempt{Statement: s.ID, Engine: e.Engine}
	if s.Home != nil && s.Effect == decision.Deduplicated { // the host may be slow to send it
		x.StartBefore = s.Home.Sent + s.Workload.DedupWindow
	}
	m.execs++
	e.Holds(s, m.now, m.need(s))
	e.Touch(s.Tables, warmGroups)
	m.setTerms(s)
	m.do(x)
}

// ---- Windows ----

func (m *Module) report(e *engine, r *decision.LoadReport) {
	if r == nil {
		return
	}
	e.Reported = m.now
	if e.Hear(r, m.now); r.Known[decision.FieldInFlight] {
		if m.crowd.Observe(m.now, e.Others); m.jammed(e) {
			m.leave(e, false)
		}
	}
	if m.now >= e.Stepped+reportPeriod {
		m.step(e, r.Known[decision.FieldUtilisation])
	}
}

// step halves windows on memory waits, utilisation or, for want of it, own latency; else they grow.
func (m *Module) step(e *engine, utilKnown bool) {
	e.Stepped = m.now
	for i := range e.Windows {
		w := &e.Windows[i]
		switch {
		case w.Refusals > 0: // halved at the refusal
		case e.Queue >= 1 || utilKnown && e.Util > overUtil || !utilKnown && w.Late*2 > w.Done:
			m.halve(w)
		default:
			w.Grow(e.Ceiling(m.workloads[i], windowThreads))
		}
		w.Barred = w.Barred && w.Refusals > 0
		w.Refusals, w.Late, w.Done = 0, 0, 0
	}
}

func (m *Module) halve(w *state.Window) {
	if w.Halved == 0 || m.now >= w.Halved+reportPeriod {
		w.Halved, w.Size = m.now, max(1, w.Size/2)
		w.Threshold = w.Size
	}
}

// ---- 1. The rule gate ----

// allows tells whether the rules let this statement go to this engine now.
func (m *Module) allows(s *statement, e *engine) bool {
	w := s.Workload
	switch {
	case s.Done, s.Streamed, m.now >= s.End, s.Open > 0 && !m.limits.Hedging:
	case !e.Listed, e.State != decision.Ready: // drains, stricter than their grace
	case len(w.AllowedZones) > 0 && !slices.Contains(w.AllowedZones, e.Zone):
	case len(w.AllowedMachineTypes) > 0 && !slices.Contains(w.AllowedMachineTypes, e.MachineType):
	case s.Effect == decision.Deduplicated && s.Home != nil && w.DedupScope != decision.ScopeAll &&
		!(w.DedupScope == decision.ScopeZone && s.Home.Engine.Zone == e.Zone) &&
		!(w.DedupScope == decision.ScopeCell && s.Home.Engine.Cell == e.Cell):
	case !m.mayRepeat(s), !m.inTurn(s), !m.furtherLeft(s), m.isCold(e) && !m.coldLeft(s, e),
		slices.Contains(m.rules.PlacementExclusions[s.Tables], e.Engine):
	default:
		return true
	}
	return false
}

// mayRepeat: no effect twice; what may have run goes again only where that is harmless.
func (m *Module) mayRepeat(s *statement) bool {
	w := s.Workload
	most := cmp.Or(m.limits.MaxAttempts, math.MaxInt)
	return len(s.Execs) < most && (s.Home == nil || s.Effect == decision.Idempotent ||
		s.Effect == decision.Deduplicated && m.now < s.Home.Sent+w.DedupWindow)
}

// mayReject: a rejection says that trying again is harmless.
func (m *Module) mayReject(s *statement) bool {
	return s.Home == nil || s.Effect == decision.Idempotent ||
		s.Effect == decision.Deduplicated && s.Workload.DedupScope == decision.ScopeAll
}

// furtherLeft: a statement taken just a window ago no longer counts, an execution sent then still does. The
// host may be late by its lag: executions count for longer by it, statements for less.
func (m *Module) furtherLeft(s *statement) bool {
	from := m.now - m.rules.RetryBudgetWindow
	return m.rules.RetryBudgetWindow == 0 || len(s.Execs) == 0 || m.further.Since(from-m.limits.MaxSendDelay)+1 <=
		m.rules.RetryBudgetFree+m.rules.RetryBudgetShare*m.taken.Since(from+m.limits.MaxSendDelay+1)
}

// inTurn: a key's statements run one at a time, in the order they were taken.
func (m *Module) inTurn(s *statement) bool {
	k := m.keys[s.Key]
	return s.Key == "" || k.Line[0] == s && (len(s.Execs) > 0 || k.Open == 0 && m.now >= k.RestUntil)
}

// coldLeft keeps all routers' budget: each fresh statement draws whether it may go there, a client's further
// try may not. A router that has just started has forgotten what it sent, and waits.
func (m *Module) coldLeft(s *statement, e *engine) bool {
	part, certain := m.cold.RouterBudget(e.Cores, m.now-e.StartedAt)
	fresh := !s.Resent && m.now < s.Taken+coldMargin // else it would come on top of what arrives
	drawn := fresh && detrand.Fraction(string(e.Engine+" ")+string(s.ID), m.me.Seed) < e.Share
	return m.now >= m.opened+m.rules.SlowStartWindow && (certain || drawn) &&
		e.ColdSent.Since(m.now-m.rules.SlowStartWindow-coldMargin)+s.Work <= part
}

func (m *Module) isCold(e *engine) bool {
	return e.StartedAt > 0 && m.now < e.StartedAt+m.rules.SlowStartDuration+coldMargin && m.rules.SlowStartWindow > 0
}

// warmth is the share of its capacity that an engine is held to have.
func (m *Module) warmth(e *engine) float64 {
	if !m.isCold(e) {
		return 1
	}
	age := float64(m.now-e.StartedAt) / float64(max(1, m.rules.SlowStartDuration))
	return min(1, m.rules.SlowStartShare+(1-m.rules.SlowStartShare)*age)
}

// ---- 2. The clock: what ends a statement, and the periodic work ----

// giveUp ends a statement at once: rejected where trying again is harmless, else aborted.
func (m *Module) giveUp(s *statement, why decision.Reason) {
	switch {
	case s.Done || s.Streamed:
		return
	case !m.mayReject(s):
		m.do(decision.Abort{Statement: s.ID, Reason: why})
	default:
		m.do(decision.Reject{Statement: s.ID, RetryAfter: m.limits.MaxRetryAfter, Reason: why})
	}
	m.finish(s)
}

func (m *Module) finish(s *statement) {
	m.keys.Leave(s, m.now)
	s.Done = true
	delete(m.stmts, s.ID)
	for _, x := range s.Execs {
		m.cancel(x, decision.ReasonFinished)
	}
}

func (m *Module) cancel(x *state.Execution, why decision.Reason) {
	if !x.Ended && !x.Cancelled && m.limits.Cancellation {
		x.Cancelled = true
		m.do(decision.CancelAttempt{Statement: x.Stmt.ID, Attempt: x.N, Reason: why})
	}
}

// sweep is the periodic work: silent engines, lost ones, windows without reports, the router's part.
func (m *Module) sweep() {
	m.cores, m.mem, m.out, m.outMem = 0, 0, m.out*mixDecay, m.outMem*mixDecay
	all := 0.0                                                  // cores, as if all were warm
	m.fleet.Forget(m.now, m.rules.SlowStartDuration+coldMargin) // ids may be new for ever
	for _, e := range m.fleet.All {
		if !e.Listed || e.State != decision.Ready {
			continue
		}
		m.watch(e)
		if all += e.Cores; m.isCold(e) {
			e.Share = m.cold.SendProbability(e.Cores, m.now-e.StartedAt)
		}
		if m.now >= e.Stepped+3*reportPeriod { // reports are missing: own sights stand in
			e.UtilKnown, e.Queue = false, 0
			m.step(e, false)
		}
		e.Pace += engineFade * (1 - e.Pace)
		m.out, m.outMem = m.out+float64(len(e.Execs)), m.outMem+e.MemOut
		if share := m.warmth(e); !e.Lost && (!e.Left || m.now >= e.LeftUntil) {
			m.cores, m.mem = m.cores+share*e.Cores, m.mem+share*e.MemoryMB
		}
	}
	m.lightest = 0
	for _, w := range m.workloads {
		m.lightest = max(m.lightest, w.PriorityWeight/w.Work)
	}
	m.cold.Advance(m.now-max(m.swept, m.opened), all)
	m.credit += (1 - m.partUsed(math.Inf(1), 0, 0)) * (m.now - m.swept).Seconds()
	m.credit = min(max(m.credit, -partSpan.Seconds()), partSpan.Seconds())
	m.swept, m.stirred = m.now, true
}

// ---- 3. Engine health ----

// list takes a change of the engine list, or all of it.
func (m *Module) list(ev decision.EndpointList) {
	if ev.Kind == decision.ListFailed && m.limits.PollEndpoints { // not all routers ask again at once
		m.due.Schedule(m.now+seconds(1+m.chance.Float64()), func() { m.do(decision.WatchEndpoints{Enabled: true}) })
	}
	if ev.Kind == decision.ListComplete || ev.Kind == decision.ListPersisted {
		m.fleet.Unlist()
	}
	for _, entry := range ev.Endpoints {
		e := m.fleet.Of(entry.Engine)
		if e == nil {
			machine := m.traits.Machines[entry.MachineType]
			e = m.fleet.Add(&engine{Endpoint: entry, Cores: max(1, machine.Cores), MemoryMB: machine.MemoryMB,
				Stepped: m.now, LastNews: m.now, Reported: m.now - reportPeriod, Pace: 1,
				Counted: m.now, LoadedUntil: map[decision.TableGroup]time.Duration{}})
			e.Windows = m.fleet.FirstWindows(e, m.workloads, windowThreads)
		} else if entry.StartedAt > e.StartedAt { // started anew: it holds nothing warm
			e.Restarted(m.fleet.FirstWindows(e, m.workloads, windowThreads), m.now)
		}
		e.Endpoint, e.Listed = entry, entry.State != decision.Removed
	}
	m.sweep()
}

// usable: not left; a left engine takes one statement as a trial after a while, idempotent if it can be.
func (m *Module) usable(e *engine, s *statement) bool {
	return m.turns >= e.Turn && (!e.Left || len(e.Execs) == 0 && m.now >= e.LeftUntil &&
		(s.Effect == decision.Idempotent || m.now >= e.LeftUntil+backoffMost))
}

// leave stops sending to an engine that does not connect or is silent, for a growing while.
func (m *Module) leave(e *engine, lost bool) {
	e.Lost = e.Lost || lost
	if !e.Left || m.now >= e.LeftUntil {
		e.Left, e.Backoff = true, min(max(backoffFirst, e.Backoff*2), backoffMost)
		e.LeftUntil = m.now + e.Backoff
	}
}

// triedAgain: it was left already and has rested. One connection that does not come up may only be late: who
// is lost for that comes back as if it had started anew, and takes next to nothing until it would be warm.
func (m *Module) triedAgain(e *engine) bool { return e.Left && m.now >= e.LeftUntil }

// jammed: all routers together hold so much there that little of it ends. If each looked again when its sight
// had faded, that alone would keep it so: it is left, and tried after a growing while.
func (m *Module) jammed(e *engine) bool { return e.Held() > jamMost*crowdMost*e.Cores*m.warmth(e) }

// back takes an engine in again. One that was lost may have started anew before the list says so.
func (m *Module) back(e *engine) {
	if e.LastNews = m.now; e.Left && (e.Errors > errorsMost/2 || m.jammed(e)) { // more must complete there first
		return
	}
	if e.Lost {
		e.StartedAt, e.Warm = max(e.StartedAt, m.now), nil
	}
	e.Left, e.Lost, e.Backoff = false, false, 0
}

// watch finds engines that took work and tell nothing of it, and saves what is stuck there.
func (m *Module) watch(e *engine) {
	for _, x := range e.Execs {
		w, run := x.Stmt.As, float64(x.Stmt.Run)
		e.Pace = max(e.Pace, float64(m.now-x.Sent)/max(1, lateDoubt*w.Pace*run)) // nothing may end there
		patience := time.Duration(max(silentSLOs*float64(w.Allowance(x.Stmt.Run)), silentPaces*w.Pace*run))
		if m.traits.ProgressInterval > 0 {
			patience = 2 * (m.traits.ProgressInterval + sweepEvery) // for a note to arrive
		}
		if m.now > max(e.LastNews, x.Sent)+patience {
			m.leave(e, false)
			m.rescue(x, decision.ReasonNoProgress)
		}
	}
}

func (m *Module) probed(ev decision.HealthCheckEnded) {
	if e := m.fleet.Of(ev.Engine); e != nil {
		e.Probing = false
		if m.report(e, ev.Report); ev.Outcome == decision.ConnectFailed {
			m.leave(e, m.triedAgain(e))
		} else if ev.Outcome == decision.TimedOut { // too busy to answer a probe: as good as full
			e.Reported, e.Others, e.Counted = m.now, crowdMost*e.Cores, m.now
		}
	}
}

// ---- 4. Further executions ----

// noted takes news of a running execution: a spill for want of grant, or a bad plan.
func (m *Module) noted(ev decision.AttemptProgress) {
	if e := m.fleet.Of(ev.Engine); e != nil {
		m.back(e)
	}
	s := m.stmts[ev.Statement]
	if s == nil || int(ev.Attempt) >= len(s.Execs) || s.Execs[ev.Attempt].Ended {
		return
	}
	x := s.Execs[ev.Attempt]
	switch ev.Kind {
	case decision.ProgressSpilling: // with memory left there, estimates are too low
		if !x.Spilled && x.Engine.MemOut <= x.Engine.MemoryMB/m.routers {
			s.As.Grant = min(grantMost, s.As.Grant*(1+grantUp))
		}
		x.Spilled = true
	case decision.ProgressWaiting: // another router's load holds its tables there: others keep off for a while
		if ev.Value == decision.WaitingForBulkLoad {
			x.Engine.Loaded(s.Tables, m.now, m.now+loadKnown*m.traits.ProgressInterval)
			m.rescue(x, decision.ReasonWaitingForBulkLoad)
		}
	case decision.ProgressShareDone: // at this pace many times the expected run: a bad plan
		elapsed := (m.now - x.Sent).Seconds()
		left := elapsed * (1 - ev.Value) / max(ev.Value, 0.002)
		if run := s.Run.Seconds(); elapsed+left > badPlan*max(run, 0.5) && left > 2*run {
			m.rescue(x, decision.ReasonSlow)
		} else if ev.Value > halfDone && m.traits.Priorities && s.Terms.Priority != 3 {
			s.Terms = decision.SetResources{Statement: s.ID, MemoryGrantMB: s.Terms.MemoryGrantMB, Priority: 3}
			m.do(s.Terms) // what is nearly done frees its memory and threads soonest
		}
	}
}

// rescue calls off an execution that is stuck or has a bad plan, so that it may go elsewhere.
func (m *Module) rescue(x *state.Execution, why decision.Reason) {
	s := x.Stmt
	if s.Done || s.Streamed || s.Effect != decision.Idempotent || !m.mayRepeat(s) {
		return
	}
	x.Engine.Turn = m.turns + len(m.fleet.All) // not again before each engine might have had its turn
	if m.cancel(x, why); !x.Cancelled && m.limits.Hedging && s.Open == 1 && !slices.Contains(m.held, s) {
		s.Avoid = x.Engine // no cancel here, but a second copy
		m.hold(s)
	}
}

func (m *Module) ended(ev decision.AttemptEnded) {
	x := m.fleet.Release(ev.Engine, ev.Statement, ev.Attempt, ev.Outcome == decision.Overloaded ||
		ev.Outcome == decision.ConnectFailed || ev.Outcome == decision.NotSent)
	if x == nil {
		return
	}
	m.execs--
	s, e, w := x.Stmt, x.Engine, &x.Engine.Windows[x.Stmt.As.ID]
	if s.Key != "" { // after some outcomes it may still run: the key rests, then the next may go
		rest := m.now
		if ev.Outcome == decision.TimedOut || ev.Outcome == decision.ConnectionReset || ev.Outcome == decision.Cancelled {
			rest += m.rules.KeyQuietPeriod
		}
		m.keys.Settle(s, rest)
		m.due.Schedule(rest, func() { m.stirred = true; m.keys.Forget(s.Key, rest) })
	}
	switch ev.Outcome {
	case decision.Errored: // something answers there, which does not prove that it works, nor tell its pace
		if x.Erred = true; e.Left {
			m.leave(e, false)
		}
	case decision.Completed: // what erred elsewhere speaks against the engine there: it is not the statement
		for _, o := range s.ErredOn(e, engineLearn, errorsMost) {
			m.leave(o, false)
		}
		m.back(e)
		e.Turn = 0
		w.Done++
		if m.now-x.Sent > s.Workload.Allowance(s.Run)/2 {
			w.Late++
		}
		e.Pace += engineLearn * (float64(m.now-x.Sent)/max(1, s.As.Pace*float64(s.Run)) - e.Pace)
		pace := &s.As.Pace // tracks the median
		*pace *= 1 + math.Copysign(paceStep, float64(m.now-x.Sent)-*pace*float64(s.Run))
		if !x.Spilled {
			s.As.Grant = max(1, s.As.Grant*(1-grantDown))
		}
	case decision.Overloaded:
		m.halve(w)
		w.Refusals, w.Barred = w.Refusals+1, true
		m.due.Schedule(m.now+reportPeriod, func() { w.Barred = false })
	case decision.ConnectFailed:
		m.leave(e, m.triedAgain(e))
	case decision.ConnectionReset: // a crash breaks all that is out; a flaky link only some, and is no reason to leave
		if len(e.Execs) == 0 {
			m.leave(e, false)
		}
	}
	m.report(e, ev.Report)
	switch {
	case s.Done:
	case ev.Finished:
		m.finish(s)
	case s.Open > 0:
	case m.now < s.Last && m.mayRepeat(s):
		s.Avoid = e
		m.hold(s)
	default:
		m.giveUp(s, decision.ReasonNotRetryable)
	}
}

// ---- 5. Holding and shedding ----

// hasRoom: neither this router's part of the engine nor the engine is full, and no load holds its tables.
func (m *Module) hasRoom(e *engine, s *statement) bool {
	others := m.othersOn(e)
	if !m.isLight(s) && !m.isCold(e) { // leaves room to what is light, whoever has it
		others *= 1 + heavySight*m.lights
	}
	memory := others*m.outMem/max(1, m.out) + e.MemOut + m.need(s) // others' statements need as own ones do
	if float64(e.Threads) >= roomThreads*e.Cores/math.Pow(m.routers, 0.75)*m.warmth(e) ||
		others+float64(len(e.Execs)) >= crowdMost*e.Cores*m.warmth(e) || e.MemoryMB > 0 &&
		(others > 0 && memory > e.MemoryMB || e.MemOut > 0 && e.MemOut+m.need(s) > e.MemoryMB/m.routers) {
		return false
	}
	return !s.As.WaitsForBulkLoads && !s.As.BulkLoad || !e.LoadedFor(s, m.now)
}

// hasPart: this router's part of the whole fleet's threads and memory is not used up, on average over
// partSpan, since few statements vary much. What is heavier does not hold up what is lighter.
func (m *Module) hasPart(s *statement) bool {
	threads, need := float64(s.As.Threads), m.need(s)
	if m.now > s.LatestStart() { // what is late already takes only what nobody else needs
		return m.credit > 0 && m.partUsed(math.Inf(1), threads, need) <= 1
	}
	return m.credit > 0 || m.partUsed(s.As.Work, threads, need) <= 1
}

// partUsed is the share of this router's part that workloads up to a mean work use, and a little more.
func (m *Module) partUsed(work, threads, mem float64) float64 {
	for _, w := range m.workloads {
		if w.Work <= work {
			threads, mem = threads+float64(w.ThreadsOut), mem+w.MemOut
		}
	}
	return m.routers * max(threads/max(1, roomThreads*m.cores), mem/cmp.Or(m.mem, math.Inf(1)))
}

func (m *Module) hold(s *statement) { s.Aside, m.held = false, append(m.held, s) }

// dispatch sends what is held, by what an answer still counts for its work.
func (m *Module) dispatch() {
	if m.stirred { // else only what has just come is looked at
		m.tried, m.stirred = 0, false
		slices.SortStableFunc(m.held, func(a, b *statement) int {
			return cmp.Compare(m.value(b), m.value(a))
		})
	}
	looked, mostOut := make([]int, len(m.workloads)), cmp.Or(m.limits.MaxInFlightAttempts, math.MaxInt)
	left := slices.DeleteFunc(m.held[m.tried:], func(s *statement) bool {
		w := s.As
		lastStart := s.End - time.Duration(w.Pace*float64(s.Run)) // what starts later works for nobody
		if s.Open == 0 && !s.Workload.Protected && (m.now > lastStart ||
			s.Workload.LateFactor == 0 && m.now > (s.SLODue+s.LatestStart())/2) {
			m.giveUp(s, decision.ReasonTooLate) // no answer in time, or none that still counts
		}
		if s.Aside = s.Unread && !s.Done; s.Aside { // until its client reads: what is held is looked at often
			return true
		}
		if s.Done || looked[w.ID] >= lookedMost || !m.inTurn(s) || !m.hasPart(s) || m.execs >= mostOut {
			return s.Done
		}
		e := m.route(s)
		if e == nil {
			looked[w.ID]++
			return false
		}
		m.send(s, e)
		return true
	})
	m.tried += len(left)
	m.held = m.held[:m.tried]
}

// ---- 6. Grants and priorities ----

// need is the memory that a statement is held to need: its estimate, corrected by what spilled.
func (m *Module) need(s *statement) float64 {
	if m.traits.OnOvercommit == decision.OvercommitPage {
		return s.MemoryMB // what is granted beyond the need is not in use
	}
	return s.MemoryMB * s.As.Grant
}

// setTerms names the grant and the priority; none gets the lowest: what starves keeps its memory.
func (m *Module) setTerms(s *statement) {
	t := decision.SetResources{Statement: s.ID, Priority: 1}
	if m.traits.MemoryGrants {
		t.MemoryGrantMB = int64(math.Ceil(m.need(s)))
	}
	if m.traits.Priorities && m.isLight(s) {
		t.Priority = 3
	}
	if t != s.Terms && (t.MemoryGrantMB > 0 || t.Priority != 1) {
		s.Terms = t
		m.do(t)
	}
}

func (m *Module) isLight(s *statement) bool { return m.value(s) > m.lightest/2 }

// value is what an answer still counts for its work: less when it will be late or is beyond a share.
func (m *Module) value(s *statement) float64 {
	v := s.Importance / max(0.001, s.Run.Seconds()*float64(s.As.Threads))
	if m.now > s.LatestStart() {
		v *= s.Workload.LateFactor
	}
	if s.OverShare {
		v *= m.overShare
	}
	return v
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
