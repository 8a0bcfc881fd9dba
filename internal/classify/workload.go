package classify

import (
	"math"

	"bankledge/decision"
	"bankledge/internal/fingerprint"
)

const (
	minWorkloadRuns = 30 // runs of a workload from which its median run time is used
	minFingerprints = 5  // medians of a workload's fingerprints from which their own median and spread are used

	// The spread of the medians of a workload's fingerprints, as natural logarithms.
	minSpread     = 0.4 // lower bound, since the spread of few fingerprints is unreliable
	initialSpread = 0.8 // assumed while the workload has fewer than minFingerprints medians

	// maxEstimateSpread is the spread of the ratio of run time to estimate below which the clients' estimates are
	// consistent enough to compute a common bias.
	maxEstimateSpread = 0.8

	// initialRunTimeDivisor divides the latency objective to get the typical run time while too few runs are known.
	initialRunTimeDivisor = 4
)

// workload holds the settings and statistics of a workload.
type workload struct {
	decision.Workload
	threads            float64
	slowdown           float64            // estimated median of run time over the fingerprint's median at present; decays to 1
	runTimes           fingerprint.Sketch // of its statements, as logarithms of seconds
	estimateRatio      fingerprint.Sketch // of run time over estimated run time, as logarithms
	fingerprintMedians fingerprint.Sketch // medians of its fingerprints' run times, as logarithms of seconds
	neededMemory       fingerprint.Sketch // as logarithms of MB
}

func newWorkload(declared decision.Workload) *workload {
	return &workload{Workload: declared, slowdown: 1, threads: float64(max(1, declared.Threads))}
}

// runTimeStats returns the median and the spread of the median run times of the workload's fingerprints, as logarithms
// of seconds. It returns false until there are minWorkloadRuns runs.
func (w *workload) runTimeStats() (median, spread float64, known bool) {
	if w.runTimes.N() < minWorkloadRuns {
		return 0, 0, false
	}
	if w.fingerprintMedians.N() < minFingerprints {
		return w.runTimes.Quantile(0.5), initialSpread, true
	}
	return w.fingerprintMedians.Quantile(0.5), max(minSpread, w.fingerprintMedians.Spread()), true
}

// estimateBias returns the median ratio of run time to estimated run time over the whole workload, as a logarithm. The
// engines may be slower than the clients' estimates assume, which affects all fingerprints alike. The bias is 0 if there
// are too few ratios or if they vary too much.
func (w *workload) estimateBias() float64 {
	if w.estimateRatio.N() >= minWorkloadRuns && w.estimateRatio.Spread() < maxEstimateSpread {
		return w.estimateRatio.Quantile(0.5)
	}
	return 0
}

// typicalRunTime returns the median run time of the workload's statements in seconds, or one derived from the latency
// objective while too few runs are known.
func (w *workload) typicalRunTime() float64 {
	if w.runTimes.N() >= minWorkloadRuns {
		return math.Exp(w.runTimes.Quantile(0.5))
	}
	return w.LatencyObjective.Seconds() / initialRunTimeDivisor
}

func (w *workload) objectiveSeconds() float64 { return w.LatencyObjective.Seconds() }

// readingWorkloads returns the lightest and the heaviest of the workloads that are no bulk loads, and false if these are
// the same. Workloads are compared by their median run times, or all by their latency objectives while one of them has
// too few runs, because a measured and an assumed run time are not comparable.
func (c *Classifier) readingWorkloads() (lightest, heaviest decision.WorkloadID, differ bool) {
	weight := (*workload).typicalRunTime
	for _, w := range c.workloads {
		if !w.BulkLoad && w.runTimes.N() < minWorkloadRuns {
			weight = (*workload).objectiveSeconds
		}
	}
	lightest = -1
	heaviest = -1
	for i, w := range c.workloads {
		id := decision.WorkloadID(i)
		switch {
		case w.BulkLoad:
		case lightest < 0:
			lightest = id
			heaviest = id
		case weight(w) < weight(c.workloads[lightest]):
			lightest = id
		case weight(w) > weight(c.workloads[heaviest]):
			heaviest = id
		}
	}
	return lightest, heaviest, lightest != heaviest
}

// onlyBulkLoad returns the only workload that is a bulk load, and false if there is none or more than one.
func (c *Classifier) onlyBulkLoad() (id decision.WorkloadID, found bool) {
	for i, w := range c.workloads {
		if !w.BulkLoad {
			continue
		}
		if found {
			return 0, false
		}
		id = decision.WorkloadID(i)
		found = true
	}
	return id, found
}
