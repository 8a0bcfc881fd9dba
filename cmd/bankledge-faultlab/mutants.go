package main

import "bankledge/internal/faultlab"

// mutant describes a build of the router without one guard. It shows that the auditor detects the lack of that guard.
type mutant struct {
	name    string
	auditor string // the auditor that has to find a violation
	edits   []edit
	faults  []faultlab.Fault
	load    float64
	adjust  func(*faultlab.Scenario) // adjusts the scenario; nil leaves it unchanged
}

// Factors by which statements run and clients wait for longer than usual in scenarios with long attempts, and the share of clients that
// cancel.
const (
	mutantWorkFactor    = 4
	mutantTimeoutFactor = 3
	mutantCancelShare   = 0.2
)

// Source texts of guards of the decision module that several edits use or that span several lines.
const (
	deadlineTimer = "m.timers.Schedule(s.answerBy, func() { m.rejectOrAbort(s, decision.ReasonDeadline) })"
	lostAttempt   = "	case m.now < s.answerBy && m.mayRepeat(s):\n		s.avoid = a.engine\n		m.enqueue(s)\n	default:\n		m.rejectOrAbort(s, decision.ReasonNotRetryable)"
	repeatGuard   = "s.firstRun == nil || s.idempotency == decision.Idempotent {\n		return true\n	}\n	return s.idempotency == decision.Deduplicated && m.now"
)

// unlimitedCapacity makes the router treat no engine as full. With so few engines, the capacity that routers keep free protects cold
// engines as well as their budget does, and so would hide that the guard is missing.
var unlimitedCapacity = edit{"policy/capacity.go", "	others := m.peerStatementsOn(e)\n	if !m.priorities.isLight(s, m.now)", "	others := 0.0\n	if e != nil {\n		return true\n	}\n	if !m.priorities.isLight(s, m.now)"}

// noDeadlineWatchdog makes the router leave a request open that the decision module never finishes.
var noDeadlineWatchdog = edit{"internal/proxy/event_loop.go", "if !req.finished && now.After(req.deadline) {", "if false {"}

// allowRepeats makes the decision module treat every statement as idempotent; noRepeatCheck disables the check of repeats at run time.
var (
	allowRepeats  = edit{"policy/rules.go", "	if " + repeatGuard, "	if true || " + repeatGuard}
	noRepeatCheck = edit{"internal/invariant/request.go", "	return r.checkRepeat(location, now)", "	return nil"}
)

// sharedTimeFile is the source file of the time at which the router last sent an engine a request for an attempt.
const sharedTimeFile = "internal/upstream/shared_time.go"

var (
	allRouters      = []int{0, 1, 2, 3, 4, 5, 6, 7, 8}
	allEngines      = []int{0, 1, 2, 3, 4, 5, 6, 7}
	blockedAnswers  = []faultlab.Fault{{Kind: "cut-back", At: 2, For: 3, Routers: []int{0, 1, 2, 3, 4}, Engines: []int{0, 1, 2, 3}}}
	drainedEngines  = []faultlab.Fault{{Kind: "replace", At: 2, For: 3, Engines: []int{0, 1, 2}}}
	lostEngines     = []faultlab.Fault{{Kind: "lose", At: 2, For: 2, Engines: []int{0, 1, 2}}}
	mostEnginesLost = []faultlab.Fault{{Kind: "lose", At: 2, For: 2, Engines: []int{0, 1, 2, 3, 4, 5}}}
	slowEngines     = []faultlab.Fault{{Kind: "crawl", At: 2, For: 4, Engines: allEngines, Amount: 5}}
	blockedStarts   = []faultlab.Fault{{Kind: "cut-there", At: 2, For: 3, Routers: allRouters, Engines: []int{0, 1, 2, 3}}}
	clockSteps      = withClockSteps([]faultlab.Fault{{Kind: "cut-back", At: 2, For: 3, Routers: allRouters, Engines: []int{0, 1, 2, 3}}})
	failingEngines  = []faultlab.Fault{{Kind: "err", At: 2, For: 3, Engines: []int{0, 1}}}
)

// withClockSteps adds faults that step the wall clocks of all routers forward and back while links are cut.
func withClockSteps(faults []faultlab.Fault) []faultlab.Fault {
	for i := range 10 {
		amount := 20.0
		if i%2 == 1 {
			amount = -amount
		}
		faults = append(faults, faultlab.Fault{Kind: "clock", At: 2.3 + 0.2*float64(i), Routers: allRouters, Amount: amount})
	}
	return faults
}

// mutants lists the removable guards of the router, except those in shutdownMutants.
var mutants = []mutant{
	{
		name:    "a statement's time is not watched",
		auditor: "answers",
		edits: []edit{
			{
				file: "policy/admission.go",
				old:  deadlineTimer,
				new:  "m.timers.Schedule(s.deadline+time.Second, func() { m.rejectOrAbort(s, decision.ReasonDeadline) })",
			},
			noDeadlineWatchdog,
		},
		faults: blockedAnswers,
		load:   0.5,
	},
	{
		name:    "an answer is sent again",
		auditor: "answers",
		edits: []edit{
			{
				file: "internal/downstream/answer_writer.go",
				old:  "return c.enqueue(appendAnswer(answer, frameAnswer, stream, code, body), stream)",
				new:  "answer = appendAnswer(answer, frameAnswer, stream, code, body)\n\treturn c.enqueue(append(answer, answer...), stream)",
			},
		},
		faults: nil,
		load:   0.5,
	},
	{
		name:    "an answer is lost with its execution",
		auditor: "answers",
		edits: []edit{
			{
				file: "policy/retry.go",
				old:  lostAttempt,
				new:  "	default:\n		_ = decision.ReasonNotRetryable\n		m.finish(s)",
			},
			noDeadlineWatchdog,
		},
		faults: failingEngines,
		load:   0.5,
	},
	{
		name:    "what may have run goes again, whatever it is",
		auditor: "once",
		edits: []edit{
			allowRepeats,
			noRepeatCheck,
		},
		faults: failingEngines,
		load:   0.5,
	},
	{
		name:    "the same, with the run-time guard",
		auditor: "guard",
		edits: []edit{
			allowRepeats,
		},
		faults: failingEngines,
		load:   0.5,
	},
	{
		name:    "when an engine was asked is kept on the wall clock",
		auditor: "one at a time",
		edits: []edit{
			{
				file: sharedTimeFile,
				old:  "t.nanosSinceOrigin.Store(int64(at.Sub(origin)))",
				new:  "t.nanosSinceOrigin.Store(int64(at.Round(0).Sub(origin.Round(0))))",
			},
			{
				file: sharedTimeFile,
				old:  "return origin.Add(time.Duration(t.nanosSinceOrigin.Load()))",
				new:  "return origin.Round(0).Add(time.Duration(t.nanosSinceOrigin.Load()))",
			},
		},
		faults: clockSteps,
		load:   0.5,
	},
	{
		name:    "a start that is held up on its way is left to the kernel",
		auditor: "left",
		edits: []edit{
			{
				file: "internal/upstream/connection_pool.go",
				old:  "	conn.resetOnClose()\n	p.close(conn)",
				new:  "	p.close(conn)",
			},
		},
		faults: blockedStarts,
		load:   0.5,
	},
	{
		name:    "a lost connection ends an execution",
		auditor: "one at a time",
		edits: []edit{
			{
				file: "internal/upstream/attempt_cancel.go",
				old:  "engineRetention = 2 * time.Second",
				new:  "engineRetention = 2 * time.Millisecond",
			},
		},
		faults: []faultlab.Fault{{Kind: "crawl", At: 1, For: 6, Engines: allEngines, Amount: 8}, {Kind: "deaf", At: 2, For: 4, Engines: []int{0, 1, 2, 3}}, {Kind: "reset", At: 2.2, Routers: allRouters, Engines: []int{0, 1, 2, 3}}, {Kind: "reset", At: 3, Routers: allRouters, Engines: []int{0, 1, 2, 3}}},
		load:   0.7,
	},
	{
		name:    "drains are not heeded",
		auditor: "drains",
		edits: []edit{
			{
				file: "policy/rules.go",
				old:  "return e.isReady() &&",
				new:  "return true &&",
			},
		},
		faults: drainedEngines,
		load:   0.5,
	},
	{
		name:    "what is gone is kept on the list",
		auditor: "drains",
		edits: []edit{
			{
				file: "policy/endpoint_list.go",
				old:  "e.listed = endpoint.State != decision.Removed",
				new:  "e.listed = true\n\te.State = decision.Ready",
			},
		},
		faults: drainedEngines,
		load:   0.5,
	},
	{
		name:    "a cold engine counts as warm",
		auditor: "cold",
		edits: []edit{
			{
				file: "policy/slow_start.go",
				old:  "return e.StartedAt > 0 && now < e.StartedAt+s.warmUpTime() && s.budget.Rules.SlowStartWindow > 0",
				new:  "return false && e.StartedAt > 0",
			},
			unlimitedCapacity,
		},
		faults: mostEnginesLost,
		load:   1.2,
	},
	{
		name:    "a cold engine's budget is not kept",
		auditor: "cold",
		edits: []edit{
			{
				file: "policy/slow_start.go",
				old:  "func (s *slowStart) mayStart(st *statement, e *engine, now time.Duration) bool {\n",
				new:  "func (s *slowStart) mayStart(st *statement, e *engine, now time.Duration) bool {\n	if st != nil {\n		return true\n	}\n",
			},
			unlimitedCapacity,
		},
		faults: mostEnginesLost,
		load:   1.2,
	},
	{
		name:    "every note is taken for a bad plan",
		auditor: "harm",
		edits: []edit{
			{
				file: "policy/hedge.go",
				old:  "elapsed+remaining > slowAttemptFactor*max(expected, minExpectedRun) && remaining > minRemainingRuns*expected",
				new:  "elapsed+remaining > slowAttemptFactor*0 && remaining > 0*expected",
			},
		},
		faults: slowEngines,
		load:   0.8,
	},
	{
		name:    "no connection is kept",
		auditor: "harm",
		edits: []edit{
			{
				file: "internal/upstream/connection_pool.go",
				old:  "func (p *connectionPool) release(conn *connection) {\n",
				new:  "func (p *connectionPool) release(conn *connection) {\n	p.close(conn)\n	if conn != nil {\n		return\n	}\n",
			},
		},
		faults: nil,
		load:   0.5,
	},
	{
		name:    "a left engine is never tried again",
		auditor: "back",
		edits: []edit{
			{
				file: "policy/outlier.go",
				old:  "e.backoff = min(max(minEjection, e.backoff*ejectionBackoffFactor), maxEjection)",
				new:  "e.backoff = time.Hour",
			},
		},
		faults: []faultlab.Fault{{Kind: "cut", At: 2, For: 3, Routers: allRouters, Engines: []int{0, 1, 2, 3, 4, 5}}},
		load:   0.6,
	},
	{
		name:    "a control feed that stops is not given up",
		auditor: "back",
		edits: []edit{
			{
				file: "internal/discovery/stream.go",
				old:  "silenceTimeout = 2500 * time.Millisecond",
				new:  "silenceTimeout = 2500 * time.Second",
			},
		},
		faults: append([]faultlab.Fault{{Kind: "feed", At: 1.5, For: 3, Routers: allRouters}}, lostEngines...),
		load:   0.6,
	},
}
