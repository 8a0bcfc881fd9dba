package classify

import (
	"math"
	"time"

	"bankledge/internal/fingerprint"
)

const (
	// minCorrection is the difference of logarithms between an expected and a declared value up to which the declared one
	// is kept.
	minCorrection = 0.4
	// initialEstimateSpread is the assumed spread of the ratio of run time to estimate while the fingerprint has too few
	// ratios to compute it.
	initialEstimateSpread = 0.5
	// minRunTimeSpread and minRatioSpread are lower bounds of the spreads of a fingerprint's run times and of its ratios of
	// run time to estimate.
	minRunTimeSpread = 0.1
	minRatioSpread   = 0.05
	// minWorkRuns is the number of a fingerprint's runs from which its median run time is used for the expected work.
	minWorkRuns = 2
	// maxEstimateExcess is how far an estimate may lie outside the range of a fingerprint's run times, as a logarithm. An
	// estimate that lies further outside is reduced or increased to the bound, since clients' estimates are not trusted.
	maxEstimateExcess = 1

	minMemoryRuns   = 8   // runs with known memory from which the declared memory is corrected
	maxMemoryFactor = 4.0 // largest factor by which the declared memory is multiplied

	maxExpectedSeconds = 24 * 3600
)

// weightedMean is a mean of logarithms in which each value is weighted by the inverse of its variance.
type weightedMean struct{ sum, weight float64 }

func (m *weightedMean) add(value, spread float64) {
	m.sum += value / (spread * spread)
	m.weight += 1 / (spread * spread)
}

// expectedWork returns the expected work on one thread, or 0 if the declared work is kept. It also sets the observation's
// expected run time. The work is that run time, without the delay that slow engines add to all statements, multiplied by
// the workload's threads. The declared work is kept if the result is close to it or if too few runs are known.
func (c *Classifier) expectedWork(now time.Duration, observation *Observation) time.Duration {
	w := c.workloads[observation.treatedAs]
	runs := observation.record.DecayedRuns(now)
	estimateBias := w.estimateBias()
	observation.expectedRunTime = c.expectedRunTime(runs, estimateBias, observation)
	runTime := observation.expectedRunTime * math.Exp(-estimateBias)
	sameLabel := observation.treatedAs == observation.declared
	switch {
	case sameLabel && runs < minWorkRuns:
		return 0
	case runs < minWorkRuns: // reclassified with too few runs: the larger of the estimated and the typical run time
		return secondsToDuration(max(observation.estimatedRunTime, w.typicalRunTime()*math.Exp(-estimateBias)) * w.threads)
	case sameLabel && observation.estimatedRunTime > 0 &&
		(math.Abs(math.Log(runTime/observation.estimatedRunTime)) < minCorrection || runs < minFingerprintRuns):
		return 0
	}
	return secondsToDuration(runTime * w.threads)
}

// expectedRunTime returns the expected run time in seconds, including the delay that slow engines add. It is the mean of
// the workload's median run time, the fingerprint's median run time and the corrected estimate, as far as they are known,
// each weighted by the inverse of its variance.
func (c *Classifier) expectedRunTime(runs, estimateBias float64, observation *Observation) float64 {
	w := c.workloads[observation.treatedAs]
	record := observation.record
	var mean weightedMean
	if w.runTimes.N() >= minWorkloadRuns {
		mean.add(w.runTimes.Quantile(0.5), max(minSpread, w.runTimes.Spread()))
	}
	if runs >= minWorkRuns {
		mean.add(record.RunTime.Quantile(0.5), math.Hypot(max(minRunTimeSpread, record.RunTime.Spread()), 1/math.Sqrt(runs)))
	}
	if observation.estimatedRunTime > 0 {
		bias := estimateBias
		spread := initialEstimateSpread
		if record != nil && record.EstimateRatio.N() >= fingerprint.MaxRecentRuns {
			bias = record.EstimateRatio.Quantile(0.5)
			spread = max(minRatioSpread, record.EstimateRatio.Spread())
		}
		correctedEstimate := math.Log(observation.estimatedRunTime) + bias
		if runs >= minFingerprintRuns {
			correctedEstimate = min(max(correctedEstimate, record.RunTime.Quantile(0.1)-maxEstimateExcess), record.RunTime.Quantile(0.9)+maxEstimateExcess)
		}
		mean.add(correctedEstimate, spread)
	}
	if mean.weight > 0 {
		return math.Exp(mean.sum / mean.weight)
	}
	return w.typicalRunTime()
}

// expectedMemory returns the memory in MB that a statement is expected to need if that is more than the declared memory,
// otherwise 0.
func (c *Classifier) expectedMemory(observation *Observation) float64 {
	need := observation.memoryMB
	record := observation.record
	if record != nil && need > 0 && record.MemoryRatio.N() >= minMemoryRuns {
		factor := math.Exp(record.MemoryRatio.Quantile(0.75))
		if factor > math.Exp(minCorrection) {
			need *= min(factor, maxMemoryFactor)
		}
	}
	w := c.workloads[observation.treatedAs]
	if observation.treatedAs != observation.declared && w.neededMemory.N() >= minWorkloadRuns {
		need = max(need, math.Exp(w.neededMemory.Quantile(0.5)))
	}
	if need == observation.memoryMB {
		return 0
	}
	return need
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxExpectedSeconds) * float64(time.Second))
}
