package fingerprint

import (
	"math"
	"time"
)

const (
	// runCountHalfLife is the time without a run after which DecayedRuns returns half as many runs.
	runCountHalfLife = time.Hour

	// minMedianChange is how far recent run times have to differ from the earlier median to count as a change, as a
	// natural logarithm: a factor of 2.
	minMedianChange = 0.7

	// maxWorkloads is the number of declared workloads whose run times a record stores separately.
	maxWorkloads = 16

	minRunSeconds = 1.0 / 1000 / 1000 // shorter runs are recorded as this long
)

// Record is the history of one fingerprint's statements. All values are natural logarithms. The zero value is an empty
// record; RunTimesOf and DecayedRuns treat nil as one, too.
type Record struct {
	RunTime              Sketch // seconds, at the engines' usual speed
	EstimateRatio        Sketch // run time over the run time estimated by the client
	MemoryRatio          Sketch // needed memory over the declared memory
	LabelEvidenceCounted bool   // set by package classify, to count each fingerprint once

	lastRun    time.Duration
	recent     RecentRunTimes   // under all workloads
	byWorkload []RecentRunTimes // by declared workload
	// Percentiles of all runs as they were up to 9 and 10 to 18 runs ago. The older ones precede all recent runs, so that
	// recent changes do not affect them.
	previous, beforePrevious snapshot
}

// snapshot holds percentiles of run times and the number of runs that they were computed from.
type snapshot struct{ p10, median, p90, count float64 }

// RunTimesOf returns the recent run times of statements declared as a workload, or nil if there are none.
func (r *Record) RunTimesOf(workload int) *RecentRunTimes {
	if r == nil || workload >= len(r.byWorkload) || r.byWorkload[workload].added == 0 {
		return nil
	}
	return &r.byWorkload[workload]
}

// DecayedRuns returns the number of runs, halved for each runCountHalfLife since the last one.
func (r *Record) DecayedRuns(now time.Duration) float64 {
	if r == nil {
		return 0
	}
	return r.RunTime.N() * math.Exp2(-float64(max(0, now-r.lastRun))/float64(runCountHalfLife))
}

// AddRun adds a run of a statement declared as a workload, with its duration and its estimated run time in seconds
// (0: no estimate). It reports whether the fingerprint's run times have changed: eight of the last nine are clearly
// slower, or faster, than nearly all earlier ones. If so, it resets the record and keeps only the last nine run times.
func (r *Record) AddRun(now time.Duration, workload int, seconds, estimate float64) (changed bool) {
	value := math.Log(max(seconds, minRunSeconds))
	r.lastRun = now
	r.addToWorkload(workload, value)
	if r.recent.N()%MaxRecentRuns == 0 {
		r.beforePrevious = r.previous
		r.previous = snapshot{p10: r.RunTime.Quantile(0.1), median: r.RunTime.Quantile(0.5), p90: r.RunTime.Quantile(0.9), count: r.RunTime.N()}
	}
	r.RunTime.Add(value)
	if estimate > 0 {
		r.EstimateRatio.Add(value - math.Log(estimate))
	}
	r.recent.Add(value)
	if !r.hasChanged() {
		return false
	}
	r.dropEarlierRuns()
	return true
}

func (r *Record) addToWorkload(workload int, value float64) {
	if workload >= maxWorkloads {
		return
	}
	for len(r.byWorkload) <= workload {
		r.byWorkload = append(r.byWorkload, RecentRunTimes{})
	}
	r.byWorkload[workload].Add(value)
}

func (r *Record) hasChanged() bool {
	before := r.beforePrevious
	if !r.recent.Full() || before.count < MaxRecentRuns {
		return false
	}
	sorted, _ := r.recent.sorted()
	slower := float64(sorted[1]) > max(before.p90, before.median+minMedianChange)
	faster := float64(sorted[MaxRecentRuns-2]) < min(before.p10, before.median-minMedianChange)
	return slower || faster
}

func (r *Record) dropEarlierRuns() {
	sorted, _ := r.recent.sorted()
	*r = Record{lastRun: r.lastRun}
	for _, value := range sorted {
		r.RunTime.Add(float64(value))
	}
}
