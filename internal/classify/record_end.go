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

	// minIncompleteFactor times the expected run is the time from which an attempt that did not complete teaches.
	minIncompleteFactor = 2
)

// RecordEnd learns from the end of an attempt after a time. One that did not complete teaches only where it ran longer
// than expected: that it takes at least so long. missingMB is the memory that the engine reported to be missing; 0: none.
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

// recordFullRow takes the fingerprint's median into account each time that a row of recent runs is full.
func (c *Classifier) recordFullRow(w *workload, observation *Observation, record *fingerprint.Record) {
	runs := record.RunTimesOf(int(observation.declared))
	if runs == nil || !runs.Full() || runs.N()%fingerprint.RecentRuns != 0 {
		return
	}
	rows := runs.N() / fingerprint.RecentRuns
	isPowerOfTwo := rows&(rows-1) == 0 // ever more seldom, so that usual fingerprints do not outweigh the others
	if isPowerOfTwo && observation.treatedAs == observation.declared {
		w.medians.Add(runs.Median())
	}
	c.recordLabelEvidence(observation, record, runs)
}

// adjustSlowness moves the workload's slowness towards what a run of a known fingerprint shows.
func (w *workload) adjustSlowness(run float64, record *fingerprint.Record) {
	step := slownessStep
	if run < math.Exp(record.Run.Quantile(0.5)) {
		step = -slownessStep
	}
	w.slowness = math.Exp((math.Log(w.slowness) + step) * (1 - slownessDecay))
}

// addRun adds a run and what was claimed for it, in seconds.
func (w *workload) addRun(run, claimedRun float64) {
	w.runs.Add(math.Log(run))
	if claimedRun > 0 {
		w.ratio.Add(math.Log(run / claimedRun))
	}
}
