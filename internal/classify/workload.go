package classify

import (
	"math"

	"bankledge/decision"
	"bankledge/internal/fingerprint"
)

const (
	minWorkloadRuns = 30 // of a workload, to know how it runs
	minFingerprints = 5  // of a workload, to know how their medians vary

	// Natural logarithms: the spread of the medians of a workload's fingerprints.
	minSpread     = 0.4 // lower bound, since few fingerprints are a weak measure
	initialSpread = 0.8 // while too few fingerprints are known

	// maxClaimSpread is the spread of the ratio of runs to claims up to which all clients seem to claim by the same measure.
	maxClaimSpread = 0.8

	// initialRunDivisor: the latency objective divided by this is the usual run, while no runs are known.
	initialRunDivisor = 4
)

// workload holds the settings and the statistics of one workload.
type workload struct {
	decision.Workload
	threads  float64
	slowness float64            // how much slower than usual its known fingerprints run now, the median; tends to 1
	runs     fingerprint.Sketch // of its statements, logarithms of seconds
	ratio    fingerprint.Sketch // of runs over claims, logarithms
	medians  fingerprint.Sketch // of its fingerprints' runs
	memory   fingerprint.Sketch // logarithms of MB
}

func newWorkload(declared decision.Workload) *workload {
	return &workload{Workload: declared, slowness: 1, threads: float64(max(1, declared.Threads))}
}

// typicalRuns returns the median and the spread of the medians of the workload's fingerprints; false until enough is
// known.
func (w *workload) typicalRuns() (median, spread float64, known bool) {
	if w.runs.N() < minWorkloadRuns {
		return 0, 0, false
	}
	if w.medians.N() < minFingerprints {
		return w.runs.Quantile(0.5), initialSpread, true
	}
	return w.medians.Quantile(0.5), max(minSpread, w.medians.Spread()), true
}

// claimBias returns the median ratio of the workload's runs to claims, as a logarithm: engines may be slower than claims
// assume, which is no property of a single fingerprint. It is 0 if the ratios vary too much to be a measure.
func (w *workload) claimBias() float64 {
	if w.ratio.N() >= minWorkloadRuns && w.ratio.Spread() < maxClaimSpread {
		return w.ratio.Quantile(0.5)
	}
	return 0
}

// usualRun returns how long a statement of the workload runs, in seconds.
func (w *workload) usualRun() float64 {
	if w.runs.N() >= minWorkloadRuns {
		return math.Exp(w.runs.Quantile(0.5))
	}
	return w.LatencyObjective.Seconds() / initialRunDivisor
}

func (w *workload) objectiveSeconds() float64 { return w.LatencyObjective.Seconds() }

// readingWorkloads returns the lightest and the heaviest workload that are no bulk loads; false if no two differ. They are
// compared by their runs, or by their latency objectives while the runs of one are unknown: a measured run and an
// assumed one are not comparable.
func (c *Classifier) readingWorkloads() (lightest, heaviest decision.WorkloadID, differ bool) {
	weight := (*workload).usualRun
	for _, w := range c.workloads {
		if !w.BulkLoad && w.runs.N() < minWorkloadRuns {
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

// onlyBulkLoad returns the workload that is a bulk load; false if there is none or more than one.
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
