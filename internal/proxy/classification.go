package proxy

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/classify"
	"bankledge/internal/logevent"
	"bankledge/internal/sqltext"
)

// classificationCountsInterval is the time between two updates of the classifier's counts in the metrics.
const classificationCountsInterval = metricsInterval / 5

// classify adds to an arrival how the request is classified, beyond what its client declares. The text was read on the client's
// goroutine; what earlier runs of the same fingerprint have shown is the event loop's.
func (l *eventLoop) classify(req *request, arrived *decision.StatementArrived, now time.Duration) {
	analysis := req.analysis
	req.analysis = nil
	if analysis == nil || l.router.config.ClassificationDisabled {
		return
	}
	if analysis.Fingerprint != 0 { // tenants do not share what is learnt about a fingerprint
		analysis.Fingerprint ^= xxhash.Sum64String(string(arrived.Tenant))
	}
	verdict := l.classifier.Classify(now, arrived.Workload, arrived.EstimatedWork, arrived.EstimatedMemoryMB, analysis, &req.observation)
	if differsFromDeclared(verdict, arrived.Workload) {
		arrived.Classification = &decision.Classification{
			Workload:          verdict.Workload,
			EstimatedWork:     verdict.Work,
			EstimatedMemoryMB: verdict.MemoryMB,
			Writes:            verdict.Writes,
			OtherTableGroups:  verdict.OtherTables,
		}
	}
	if verdict.Workload != arrived.Workload {
		l.router.log.Debug(logevent.RequestReclassified, logevent.RequestID(req.id), logevent.Workload(req.workload),
			zap.String("treated_as", l.router.config.Module.Workloads[verdict.Workload].Name), logevent.Reason(verdict.Reason.String()),
			zap.Float64("confidence", verdict.Confidence), logevent.Milliseconds("work_ms", verdict.Work))
	}
}

func differsFromDeclared(verdict classify.Classification, declared decision.WorkloadID) bool {
	return verdict.Workload != declared || verdict.Work > 0 || verdict.MemoryMB > 0 || verdict.Writes || len(verdict.OtherTables) > 0
}

// learn records how long an attempt ran in the history of its request's fingerprint. An attempt that never ran, failed or
// lost its connection is not recorded, since its duration is not that of a run.
func (l *eventLoop) learn(req *request, ended decision.AttemptEnded) {
	switch ended.Outcome {
	case decision.Completed:
		l.classifier.RecordEnd(l.router.now(), &req.observation, ended.Elapsed, true, req.missingMemoryMB)
	case decision.TimedOut, decision.Cancelled:
		l.classifier.RecordEnd(l.router.now(), &req.observation, ended.Elapsed, false, 0)
	}
}

// publishClassificationCounts copies the classifier's counts, which the event loop owns, to the metrics.
func (l *eventLoop) publishClassificationCounts(now time.Time) {
	if now.Sub(l.countsPublishedAt) < classificationCountsInterval {
		return
	}
	l.countsPublishedAt = now
	counts := l.classifier.Counts()
	counts.Reclassified = maps.Clone(counts.Reclassified)
	l.router.classificationCounts.Store(&counts)
}

// logClassificationMetrics writes the classifier's counts to the log.
func (r *Router) logClassificationMetrics() {
	counts := r.classificationCounts.Load()
	if counts == nil || r.config.ClassificationDisabled {
		return
	}
	reasons := map[string]int64{}
	for reason, n := range counts.ByReason {
		if n > 0 {
			reasons[classify.Reason(reason).String()] = n
		}
	}
	reclassified := map[string]int64{}
	workloads := r.config.Module.Workloads
	for pair, n := range counts.Reclassified {
		reclassified[workloads[pair.Declared].Name+" as "+workloads[pair.TreatedAs].Name] = n
	}
	r.log.Info(logevent.ClassificationMetrics,
		zap.Int64("fingerprints_known", counts.Hits),
		zap.Int64("fingerprints_unknown", counts.Misses),
		zap.Any("reasons", reasons),
		zap.Any("reclassified", reclassified),
		zap.Int64("fingerprints_changed", counts.ChangedFingerprints),
		zap.Int("analysed_bytes_max", sqltext.MaxAnalysedBytes))
}
