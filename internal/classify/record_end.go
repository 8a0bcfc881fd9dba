package classify

import (
	"math"
	"time"

	"bankledge/internal/fingerprint"
)

const (
	// slowdownStep is by how much one run changes a workload's slowdown factor, as a logarithm. slowdownDecay is the share
	// of that logarithm by which the factor then returns towards 1.
	slowdownStep  = 0.02
	slowdownDecay = 0.005

	// minIncompleteFactor multiplies the expected run time: an incomplete attempt is recorded if it ran at least that long.
	minIncompleteFactor = 2
)

// RecordEnd records the end of an attempt that ran for elapsed. For an attempt that did not complete, elapsed is only a
// lower bound of the run time, and is recorded only if it is much longer than expected. missingMB is the memory
// in MB that the engine reported as missing; 0: none.
func (c *Classifier) RecordEnd(now time.Duration, observation *Observation, elapsed time.Duration, completed bool, missingMB float64) {
	if observation.fingerprint == 0 || elapsed <= 0 {
		return
	}
	w := c.workloads[observation.treatedAs]
	runTime := elapsed.Seconds() / w.slowdown // at the engines' usual speed
	if !completed && runTime < minIncompleteFactor*observation.expectedRunTime {
		return
	}
	record := observation.record
	if completed && record != nil && record.RunTime.N() >= minFingerprintRuns {
		w.adjustSlowdown(runTime, record)
	}
	if record == nil || record.RunTime.N() == 0 {
		record = c.fingerprints.RecordFor(observation.fingerprint)
	}
	if record.AddRun(now, int(observation.declared), runTime, observation.estimatedRunTime) {
		c.counts.ChangedFingerprints++
	}
	if completed && observation.memoryMB > 0 {
		needed := observation.memoryMB + max(0, missingMB)
		record.MemoryRatio.Add(math.Log(needed / observation.memoryMB))
		w.neededMemory.Add(math.Log(needed))
	}
	if observation.treatedAs == observation.declared {
		w.addRun(runTime, observation.estimatedRunTime)
	}
	c.recordFullSet(w, observation, record)
}

// recordFullSet adds the median run time of the fingerprint to the workload's medians, and counts the fingerprint as
// evidence about labels and structure, each time that all recent runs with the declared label have been replaced, that is
// after each set of MaxRecentRuns runs. The median is added only after 1, 2, 4, 8, ... sets, so that frequent
// fingerprints do not outweigh the others.
func (c *Classifier) recordFullSet(w *workload, observation *Observation, record *fingerprint.Record) {
	runs := record.RunTimesOf(int(observation.declared))
	if runs == nil || !runs.Full() || runs.N()%fingerprint.MaxRecentRuns != 0 {
		return
	}
	sets := runs.N() / fingerprint.MaxRecentRuns
	isPowerOfTwo := sets&(sets-1) == 0
	if isPowerOfTwo && observation.treatedAs == observation.declared {
		w.fingerprintMedians.Add(runs.Median())
	}
	c.recordLabelEvidence(observation, record, runs)
}

// adjustSlowdown increases the workload's slowdown factor by one step if a run was slower than its fingerprint's median,
// and decreases it otherwise.
func (w *workload) adjustSlowdown(runTime float64, record *fingerprint.Record) {
	step := slowdownStep
	if runTime < math.Exp(record.RunTime.Quantile(0.5)) {
		step = -slowdownStep
	}
	w.slowdown = math.Exp((math.Log(w.slowdown) + step) * (1 - slowdownDecay))
}

// addRun adds a run time and the estimated run time (0: none), both in seconds.
func (w *workload) addRun(runTime, estimatedRunTime float64) {
	w.runTimes.Add(math.Log(runTime))
	if estimatedRunTime > 0 {
		w.estimateRatio.Add(math.Log(runTime / estimatedRunTime))
	}
}
