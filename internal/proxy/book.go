package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/classify"
	"bankledge/internal/downstream"
	"bankledge/internal/invariant"
	"bankledge/internal/sqltext"
	"bankledge/internal/upstream"
)

// Book: the records of statements, given back in one place, and the figures of what happened.

// client is what the gateway needs of a client's connection. No call blocks.
type client interface {
	Answer(stream uint32, code downstream.Code, body []byte) (stalled bool)
	CloseStream(stream uint32)
	ReserveText(n int) (fits bool)
	ReleaseText(n int)
}

// statement is the record of one statement. The route goroutine owns it once it is admitted.
type statement struct {
	id       decision.StatementID
	workload string
	text     []byte
	client   client
	stream   uint32
	taken    time.Time
	ends     time.Time          // the client gives up
	rules    *invariant.Request // what the rules need to know of it
	over     bool               // answered, or nobody waits
	out      int                // executions without an end
	execs    []*upstream.Attempt
	outcomes []decision.Outcome   // of those that have ended, in the order in which they did
	built    *sqltext.Statement   // how its text is built, until the route has looked at it
	sight    classify.Observation // what ends of its executions teach about
	missing  float64              // MB that an engine told to be missing, the most
}

// close notes that a statement is over. What has not been sent yet will not be, before its client can know
// of the end.
func (r *route) close(s *statement) {
	s.over = true
	r.leave(s)
	for _, x := range s.execs {
		x.CancelUnsent()
	}
	r.gateway.figures.open.Add(-1)
	if s.out == 0 {
		r.giveBack(s)
	}
}

// executionEnded notes the end of an execution.
func (r *route) executionEnded(s *statement, ev decision.AttemptEnded) {
	s.out--
	s.outcomes = append(s.outcomes, ev.Outcome)
	s.rules.EndAttempt(ev.Attempt, neverRan(ev.Outcome))
	r.learn(s, ev)
	r.gateway.figures.ended(ev.Outcome)
	r.gateway.log.Debug("execution ended", zap.String("statement", string(s.id)), zap.Int("execution", int(ev.Attempt)),
		zap.String("engine", string(ev.Engine)), zap.String("workload", s.workload), zap.Stringer("outcome", ev.Outcome),
		zap.Duration("took", ev.Elapsed), zap.Any("report", ev.Report))
	if s.over && s.out == 0 {
		r.giveBack(s)
	}
}

// neverRan tells outcomes after which it is known that the execution did not run.
func neverRan(o decision.Outcome) bool {
	return o == decision.Overloaded || o == decision.ConnectFailed || o == decision.NotSent
}

// giveBack drops a record: the statement is over and none of its executions is out.
func (r *route) giveBack(s *statement) {
	if r.open[s.id] == s {
		delete(r.open, s.id)
	}
	s.client.ReleaseText(len(s.text))
}

// usedIDs remembers the latest ids of statements that were answered: an engine may hold their results still, and
// would give them for another statement of the same id. Of the two halves the older is forgotten when the newer is full.
type usedIDs struct {
	half       int
	now, older map[decision.StatementID]struct{}
}

func (u *usedIDs) add(id decision.StatementID) {
	if u.now == nil || len(u.now) >= u.half {
		u.now, u.older = make(map[decision.StatementID]struct{}, u.half), u.now
	}
	u.now[id] = struct{}{}
}

func (u *usedIDs) has(id decision.StatementID) bool {
	_, now := u.now[id]
	_, older := u.older[id]
	return now || older
}

// post takes an input from an execution's goroutine. Once the route has ended nobody hears it.
func (r *route) post(in input) {
	in.at = time.Now()
	select {
	case r.inbox <- in:
	case <-r.done:
	}
}

// figures count what happened since the start.
type figures struct {
	taken, unfit, left, executions, probes atomic.Int64
	completed, rejected, aborted           atomic.Int64
	outcomes                               [decision.NotSent + 1]atomic.Int64
	open                                   atomic.Int64 // statements that are owed an answer
	delays, delaySum, delayMost            atomic.Int64 // from an event to the actions it led to
}

func (f *figures) answered(code downstream.Code) {
	switch code {
	case completed:
		f.completed.Add(1)
	case rejected:
		f.rejected.Add(1)
	default:
		f.aborted.Add(1)
	}
}

func (f *figures) ended(o decision.Outcome) { f.outcomes[o].Add(1) }

func (f *figures) delay(d time.Duration) {
	f.delays.Add(1)
	f.delaySum.Add(int64(d))
	f.delayMost.Store(max(f.delayMost.Load(), int64(d))) // one goroutine writes
}

// report writes the figures to the log now and then, and at the end.
func (g *Router) report(ctx context.Context) error {
	tick := time.NewTicker(reportsEvery)
	defer tick.Stop()
	for {
		ended := false
		select {
		case <-tick.C:
		case <-ctx.Done():
			ended = true
		}
		f := &g.figures
		outcomes := make([]int64, len(f.outcomes))
		for i := range f.outcomes {
			outcomes[i] = f.outcomes[i].Load()
		}
		n := max(1, f.delays.Swap(0))
		slow, out, texts := g.front.FlowControlStats()
		g.log.Info("figures", zap.Int64("taken", f.taken.Load()), zap.Int64("open", f.open.Load()),
			zap.Int64("completed", f.completed.Load()), zap.Int64("rejected", f.rejected.Load()),
			zap.Int64("aborted", f.aborted.Load()), zap.Int64("left", f.left.Load()), zap.Int64("unfit", f.unfit.Load()),
			zap.Int64("executions", f.executions.Load()), zap.Int64s("outcomes", outcomes), zap.Int64("probes", f.probes.Load()),
			zap.Int64("rules_violated", g.violations.Total()), zap.Int64("wall_clock_steps", g.wallClock.steps.Load()), zap.Int64("evicted_clients", g.front.Evicted()), zap.Int("engine_connections", g.back.ConnectionsInUse()), zap.Any("dials", g.back.TakeConnectionStats()), zap.Int64("text_bytes", texts), zap.Int64("answer_bytes", out), zap.Any("slow_clients", slow),
			zap.Duration("delay_mean", time.Duration(f.delaySum.Swap(0)/n)),
			zap.Duration("delay_most", time.Duration(f.delayMost.Swap(0))))
		g.reportLooks()
		if ended {
			return nil
		}
	}
}
