package classify

import (
	"math"
	"time"

	"bankledge/internal/fingerprint"
)

const (
	// minCorrection is the difference of logarithms from the declared figure up to which that one stands.
	minCorrection = 0.4
	// initialClaimSpread is the assumed spread of the ratio of runs to claims while none is known.
	initialClaimSpread = 0.5
	// minRunSpread and minRatioSpread are the least spreads of a fingerprint's runs and of its runs over claims.
	minRunSpread   = 0.1
	minRatioSpread = 0.05
	// minWorkRuns is how many runs of a fingerprint have to be known to expect other work than is declared.
	minWorkRuns = 2
	// maxClaimExcess bounds how much larger than the known runs a claim counts, as a logarithm: claims are not trusted.
	maxClaimExcess = 1

	minMemoryRuns   = 8
	maxMemoryFactor = 4.0 // times the declared memory

	maxExpectedSeconds = 24 * 3600
)

// weightedMean is a mean of logarithms, each weighted by the inverse of its variance.
type weightedMean struct{ sum, weight float64 }

func (m *weightedMean) add(value, spread float64) {
	m.sum += value / (spread * spread)
	m.weight += 1 / (spread * spread)
}

// expectedWork returns the expected work on one thread; 0: the declared work. It sets the observation's expected run, a
// mean of the workload's usual run, the fingerprint's median and the corrected claim, each weighted by the inverse of
// its variance. The work is the run without the delay that slow engines add to all runs. The declared work stands if
// the result is close to it, or if too few runs are known.
func (c *Classifier) expectedWork(now time.Duration, observation *Observation) time.Duration {
	w := c.workloads[observation.treatedAs]
	runs := observation.record.Runs(now)
	claimBias := w.claimBias()
	observation.expectedRun = c.expectedRun(runs, claimBias, observation)
	run := observation.expectedRun * math.Exp(-claimBias)
	sameLabel := observation.treatedAs == observation.declared
	switch {
	case sameLabel && runs < minWorkRuns:
		return 0
	case runs < minWorkRuns: // only the structure is known: the larger of the claimed and the usual run
		return secondsToDuration(max(observation.claimedRun, w.usualRun()*math.Exp(-claimBias)) * w.threads)
	case sameLabel && observation.claimedRun > 0 &&
		(math.Abs(math.Log(run/observation.claimedRun)) < minCorrection || runs < minFingerprintRuns):
		return 0
	}
	return secondsToDuration(run * w.threads)
}

// expectedRun returns the expected run in seconds, as engines run now.
func (c *Classifier) expectedRun(runs, claimBias float64, observation *Observation) float64 {
	w := c.workloads[observation.treatedAs]
	record := observation.record
	var mean weightedMean
	if w.runs.N() >= minWorkloadRuns {
		mean.add(w.runs.Quantile(0.5), max(minSpread, w.runs.Spread()))
	}
	if runs >= minWorkRuns {
		mean.add(record.Run.Quantile(0.5), math.Hypot(max(minRunSpread, record.Run.Spread()), 1/math.Sqrt(runs)))
	}
	if observation.claimedRun > 0 {
		bias := claimBias
		spread := initialClaimSpread
		if record != nil && record.Ratio.N() >= fingerprint.RecentRuns {
			bias = record.Ratio.Quantile(0.5)
			spread = max(minRatioSpread, record.Ratio.Spread())
		}
		claim := math.Log(observation.claimedRun) + bias
		if runs >= minFingerprintRuns {
			claim = min(max(claim, record.Run.Quantile(0.1)-maxClaimExcess), record.Run.Quantile(0.9)+maxClaimExcess)
		}
		mean.add(claim, spread)
	}
	if mean.weight > 0 {
		return math.Exp(mean.sum / mean.weight)
	}
	return w.usualRun()
}

// expectedMemory returns the memory in MB that a statement is expected to need, if that is more than it declares; 0:
// the declared memory.
func (c *Classifier) expectedMemory(observation *Observation) float64 {
	need := observation.memoryMB
	record := observation.record
	if record != nil && need > 0 && record.Memory.N() >= minMemoryRuns {
		factor := math.Exp(record.Memory.Quantile(0.75))
		if factor > math.Exp(minCorrection) {
			need *= min(factor, maxMemoryFactor)
		}
	}
	w := c.workloads[observation.treatedAs]
	if observation.treatedAs != observation.declared && w.memory.N() >= minWorkloadRuns {
		need = max(need, math.Exp(w.memory.Quantile(0.5)))
	}
	if need == observation.memoryMB {
		return 0
	}
	return need
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxExpectedSeconds) * float64(time.Second))
}
