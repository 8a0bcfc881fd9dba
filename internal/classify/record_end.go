package classify

import (
	"math"
	"time"

	"bankledge/internal/fingerprint"
)

const (
	// slownessStep is how far one end moves a workload's slowness, as a logarithm; slownessDecay is the share by which
	// the slowness then returns to 1.
	slownessStep  = 0.02
	slownessDecay = 0.005

	// minIncompleteFactor times the expected run is the duration from which an incomplete attempt is recorded.
	minIncompleteFactor = 2
)

// RecordEnd records the end of an attempt that ran for elapsed. One that did not complete is recorded only if it ran
// longer than expected, since elapsed is then a lower bound of its run. missingMB is the memory in MB that the engine
// reported to be missing; 0: none.
func (c *Classifier) RecordEnd(now time.Duration, observation *Observation, elapsed time.Duration, completed bool, missingMB float64) {
	if observation.fingerprint == 0 || elapsed <= 0 {
		return
	}
	w := c.workloads[observation.treatedAs]
	run := elapsed.Seconds() / w.slowness // on engines as fast as usual
	if !completed && run < minIncompleteFactor*observation.expectedRun {
		return
	}
	record := observation.record
	if completed && record != nil && record.Run.N() >= minFingerprintRuns {
		w.adjustSlowness(run, record)
	}
	if record == nil || record.Run.N() == 0 {
		record = c.fingerprints.RecordFor(observation.fingerprint)
	}
	if record.AddRun(now, int(observation.declared), run, observation.claimedRun) {
		c.counts.ChangedFingerprints++
	}
	if completed && observation.memoryMB > 0 {
		needed := observation.memoryMB + max(0, missingMB)
		record.Memory.Add(math.Log(needed / observation.memoryMB))
		w.memory.Add(math.Log(needed))
	}
	if observation.treatedAs == observation.declared {
		w.addRun(run, observation.claimedRun)
	}
	c.recordFullRow(w, observation, record)
}

// recordFullRow adds the fingerprint's median to the workload's each time that all recent runs were replaced.
func (c *Classifier) recordFullRow(w *workload, observation *Observation, record *fingerprint.Record) {
	runs := record.RunTimesOf(int(observation.declared))
	if runs == nil || !runs.Full() || runs.N()%fingerprint.RecentRuns != 0 {
		return
	}
	rows := runs.N() / fingerprint.RecentRuns
	isPowerOfTwo := rows&(rows-1) == 0 // at increasing intervals, so that frequent fingerprints do not outweigh the others
	if isPowerOfTwo && observation.treatedAs == observation.declared {
		w.medians.Add(runs.Median())
	}
	c.recordLabelEvidence(observation, record, runs)
}

// adjustSlowness moves the workload's slowness one step up or down, by whether a run was slower than its fingerprint's median.
func (w *workload) adjustSlowness(run float64, record *fingerprint.Record) {
	step := slownessStep
	if run < math.Exp(record.Run.Quantile(0.5)) {
		step = -slownessStep
	}
	w.slowness = math.Exp((math.Log(w.slowness) + step) * (1 - slownessDecay))
}

// addRun adds a run and the claimed run (0: none), both in seconds.
func (w *workload) addRun(run, claimedRun float64) {
	w.runs.Add(math.Log(run))
	if claimedRun > 0 {
		w.ratio.Add(math.Log(run / claimedRun))
	}
}
