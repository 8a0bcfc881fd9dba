package invariant

import (
	"sync/atomic"

	"go.uber.org/zap"

	"bankledge/internal/logevent"
)

// Recorder counts violations by rule and logs each of them. It is safe for concurrent use.
type Recorder struct {
	log    *zap.Logger
	counts [numRules]atomic.Int64
}

// NewRecorder returns a Recorder without any recorded violations.
func NewRecorder(log *zap.Logger) *Recorder { return &Recorder{log: log} }

// Record counts a violation and logs it with the caller's stack.
func (r *Recorder) Record(violation *Violation) {
	r.counts[violation.Rule].Add(1)
	r.log.Error(logevent.InvariantViolated, zap.Stringer("rule", violation.Rule), logevent.RequestID(violation.Statement),
		zap.String("detail", violation.Detail), logevent.Stack())
}

// Count returns the number of violations of a rule.
func (r *Recorder) Count(rule Rule) int64 { return r.counts[rule].Load() }

// Total returns the number of violations of all rules.
func (r *Recorder) Total() (total int64) {
	for rule := range r.counts {
		total += r.counts[rule].Load()
	}
	return total
}
