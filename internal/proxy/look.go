package proxy

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/classify"
	"bankledge/internal/sqltext"
)

// Look: the route stage tells the module what a statement is held to be, and has its ends teach that. What the text
// says was read on the client's goroutine; what shapes have shown is the route goroutine's.

// look fills in what is known of a statement beyond what its client declares.
func (r *route) look(s *statement, ev *decision.StatementArrived, now time.Duration) {
	built := s.built
	if s.built = nil; built == nil || r.gateway.cfg.ClassificationDisabled {
		return
	}
	if built.Fingerprint != 0 { // what one member group's statements have shown says nothing of another's
		built.Fingerprint ^= xxhash.Sum64String(string(ev.Tenant))
	}
	v := r.looks.Classify(now, ev.Workload, ev.EstimatedWork, ev.EstimatedMemoryMB, built, &s.sight)
	if v.Workload != ev.Workload || v.Work > 0 || v.MemoryMB > 0 || v.Writes || len(v.OtherTables) > 0 {
		ev.Classification = &decision.Classification{Workload: v.Workload, EstimatedWork: v.Work, EstimatedMemoryMB: v.MemoryMB, Writes: v.Writes, OtherTableGroups: v.OtherTables}
	}
	if v.Workload != ev.Workload {
		r.gateway.log.Debug("treated as another workload", zap.String("statement", string(s.id)), zap.String("declared", s.workload),
			zap.String("as", r.gateway.cfg.Module.Workloads[v.Workload].Name), zap.Stringer("reason", v.Reason),
			zap.Float64("confidence", v.Confidence), zap.Duration("work", v.Work))
	}
}

// learn has the end of an execution teach what statements of its shape are like. What never ran teaches nothing, and
// neither does what ended with an error or broke off.
func (r *route) learn(s *statement, ev decision.AttemptEnded) {
	switch ev.Outcome {
	case decision.Completed:
		r.looks.RecordEnd(r.gateway.now(), &s.sight, ev.Elapsed, true, s.missing)
	case decision.TimedOut, decision.Cancelled:
		r.looks.RecordEnd(r.gateway.now(), &s.sight, ev.Elapsed, false, 0)
	}
}

// handOutCounts lets the figures see what was decided.
func (r *route) handOutCounts(now time.Time) {
	if now.Sub(r.counted) >= reportsEvery/5 {
		r.counted = now
		counts := r.looks.Counts()
		counts.Reclassified = maps.Clone(counts.Reclassified)
		r.gateway.looks.Store(&counts)
	}
}

// reportLooks writes them to the log.
func (g *Router) reportLooks() {
	counts := g.looks.Load()
	if counts == nil || g.cfg.ClassificationDisabled {
		return
	}
	reasons, treated := map[string]int64{}, map[string]int64{}
	for reason, n := range counts.ByReason {
		if n > 0 {
			reasons[classify.Reason(reason).String()] = n
		}
	}
	for pair, n := range counts.Reclassified {
		treated[g.cfg.Module.Workloads[pair.Declared].Name+" as "+g.cfg.Module.Workloads[pair.TreatedAs].Name] = n
	}
	g.log.Info("looks", zap.Int64("shapes_known", counts.Hits), zap.Int64("shapes_unknown", counts.Misses),
		zap.Any("reasons", reasons), zap.Any("treated", treated), zap.Int64("shapes_changed", counts.ChangedFingerprints),
		zap.Int("budget_bytes", sqltext.MaxAnalysedBytes))
}
