package fingerprint

import (
	"math"
	"time"
)

const (
	// knowledgeHalfLife is the time without a run after which a record's runs count half.
	knowledgeHalfLife = time.Hour

	// minChange is the least difference between medians that counts as a change of behaviour: a factor of 2.
	minChange = 0.7 // natural logarithm

	// maxWorkloads is how many declared workloads have run times of their own in a record.
	maxWorkloads = 16

	minRunSeconds = 1.0 / 1000 / 1000 // shorter runs count as this long
)

// Record is the history of one fingerprint's statements. All values are natural logarithms. The zero value is empty, and
// so is nil for the methods that read.
type Record struct {
	Run          Sketch // seconds, on an idle engine
	Ratio        Sketch // run over the declared estimate
	Memory       Sketch // memory needed over the declared estimate
	LabelCounted bool   // package classify has counted it as evidence about labels

	lastRun    time.Duration
	recent     RecentRunTimes   // of all workloads
	byWorkload []RecentRunTimes // by declared workload
	// Percentiles of all runs, of up to 9 and of up to 18 runs ago: recent changes do not affect them.
	previous, beforePrevious bounds
}

// bounds are percentiles of a number of runs.
type bounds struct{ p10, median, p90, count float64 }

// RunTimesOf returns the last runs of statements declared as a workload; nil if there are none.
func (r *Record) RunTimesOf(workload int) *RecentRunTimes {
	if r == nil || workload >= len(r.byWorkload) || r.byWorkload[workload].added == 0 {
		return nil
	}
	return &r.byWorkload[workload]
}

// Runs returns how many runs the record counts for at a time: half as many for each hour since the last one.
func (r *Record) Runs(now time.Duration) float64 {
	if r == nil {
		return 0
	}
	return r.Run.N() * math.Exp2(-float64(max(0, now-r.lastRun))/float64(knowledgeHalfLife))
}

// AddRun adds a run of a statement declared as a workload: its duration and its estimate in seconds (0: none). It
// reports whether the fingerprint's behaviour has changed: eight of its last nine runs lie on one side of nearly all
// runs before. The earlier runs are dropped then.
func (r *Record) AddRun(now time.Duration, workload int, seconds, estimate float64) (changed bool) {
	value := math.Log(max(seconds, minRunSeconds))
	r.lastRun = now
	r.addToWorkload(workload, value)
	if r.recent.N()%RecentRuns == 0 {
		r.beforePrevious = r.previous
		r.previous = bounds{p10: r.Run.Quantile(0.1), median: r.Run.Quantile(0.5), p90: r.Run.Quantile(0.9), count: r.Run.N()}
	}
	r.Run.Add(value)
	if estimate > 0 {
		r.Ratio.Add(value - math.Log(estimate))
	}
	r.recent.Add(value)
	if !r.hasChanged() {
		return false
	}
	r.forgetAllButRecent()
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
	if !r.recent.Full() || before.count < RecentRuns {
		return false
	}
	sorted, _ := r.recent.sorted()
	slower := float64(sorted[1]) > max(before.p90, before.median+minChange)
	faster := float64(sorted[RecentRuns-2]) < min(before.p10, before.median-minChange)
	return slower || faster
}

func (r *Record) forgetAllButRecent() {
	sorted, _ := r.recent.sorted()
	*r = Record{lastRun: r.lastRun}
	for _, value := range sorted {
		r.Run.Add(float64(value))
	}
}
