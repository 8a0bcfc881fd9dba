package invariant

import (
	"sync/atomic"

	"go.uber.org/zap"

	"bankledge/internal/logevent"
)

// Recorder counts violations by rule, and logs each. Goroutines share it.
type Recorder struct {
	log    *zap.Logger
	counts [numRules]atomic.Int64
}

// NewRecorder returns a recorder that has recorded nothing.
func NewRecorder(log *zap.Logger) *Recorder { return &Recorder{log: log} }

// Record counts a violation and logs it with the caller's stack.
func (r *Recorder) Record(violation *Violation) {
	r.counts[violation.Rule].Add(1)
	r.log.Error(logevent.InvariantViolated, zap.Stringer("rule", violation.Rule), logevent.RequestID(violation.Statement),
		zap.String("detail", violation.Detail), logevent.Stack())
}

// Recorded returns how often a rule would have been broken.
func (r *Recorder) Recorded(rule Rule) int64 { return r.counts[rule].Load() }

// Total returns how often any rule would have been broken.
func (r *Recorder) Total() (total int64) {
	for rule := range r.counts {
		total += r.counts[rule].Load()
	}
	return total
}
