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

// classify adds the router's classification of a request to its arrival, where it differs from what the client declares. The text was
// analysed on the goroutine that reads the client's connection; the event loop owns the history of fingerprints.
func (l *eventLoop) classify(req *request, arrived *decision.StatementArrived, now time.Duration) {
	analysis := req.analysis
	req.analysis = nil
	if analysis == nil || l.router.config.ClassificationDisabled {
		return
	}
	if analysis.Fingerprint != 0 { // tenants do not share the history of a fingerprint
		analysis.Fingerprint ^= xxhash.Sum64String(string(arrived.Tenant))
	}
	result := l.classifier.Classify(now, arrived.Workload, arrived.EstimatedWork, arrived.EstimatedMemoryMB, analysis, &req.observation)
	if differsFromDeclared(result, arrived.Workload) {
		arrived.Classification = &decision.Classification{
			Workload:          result.Workload,
			EstimatedWork:     result.Work,
			EstimatedMemoryMB: result.MemoryMB,
			Writes:            result.Writes,
			OtherTableGroups:  result.OtherTableGroups,
		}
	}
	if result.Workload != arrived.Workload {
		l.router.log.Debug(logevent.RequestReclassified, logevent.RequestID(req.id), logevent.Workload(req.workload),
			zap.String("treated_as", l.router.config.Module.Workloads[result.Workload].Name), logevent.Reason(result.Reason.String()),
			zap.Float64("confidence", result.Confidence), logevent.Milliseconds("work_ms", result.Work))
	}
}

func differsFromDeclared(result classify.Classification, declared decision.WorkloadID) bool {
	return result.Workload != declared || result.Work > 0 || result.MemoryMB > 0 || result.Writes || len(result.OtherTableGroups) > 0
}

// recordRunTime records the run time of an attempt in the history of its request's fingerprint. It skips an attempt that never ran, failed or
// lost its connection, since the duration of such an attempt is not a run time.
func (l *eventLoop) recordRunTime(req *request, ended decision.AttemptEnded) {
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
