package policy

import (
	"math"
	"time"

	"bankledge/decision"
)

const (
	// workLearningRate is the weight of one estimate in the moving average of a workload's work.
	workLearningRate = 0.05
	// runTimeFactorStep is the relative step by which each completed attempt changes the run-time factor of its
	// workload.
	runTimeFactorStep = 0.02
	// initialWorkDivisor gives the run time that is assumed before the first estimate: the latency objective divided by
	// this value.
	initialWorkDivisor = 4
)

// workload holds the settings of a workload and what this router has learned of it.
type workload struct {
	decision.Workload
	id            decision.WorkloadID
	meanWork      float64 // moving average of a statement's work, in seconds on one thread
	hasEstimates  bool    // meanWork is based on estimates
	memoryFactor  float64 // ratio of needed memory to estimated memory
	runTimeFactor float64 // median ratio of actual to expected run time

	threadsInFlight int     // threads of attempts without an outcome
	memoryInFlight  float64 // memory of the same attempts, in MB
}

func newWorkload(id decision.WorkloadID, settings decision.Workload) *workload {
	settings.Threads = max(1, settings.Threads)
	return &workload{
		Workload:      settings,
		id:            id,
		memoryFactor:  initialMemoryFactor,
		runTimeFactor: 1,
		meanWork:      settings.LatencyObjective.Seconds() / initialWorkDivisor * float64(settings.Threads),
	}
}

// objective returns the latency objective for a statement with this expected run time, including the stretch.
func (w *workload) objective(expectedRun time.Duration) time.Duration {
	return w.LatencyObjective + time.Duration(w.ObjectiveStretch*float64(expectedRun))
}

// updateMeanWork updates the mean work from a client's estimate, in seconds on one thread. The estimate counts only up
// to the work that fits into the client's time budget, since a client may claim anything.
func (w *workload) updateMeanWork(estimate float64, timeBudget time.Duration) {
	work := min(estimate, timeBudget.Seconds()*float64(w.Threads))
	if !w.hasEstimates {
		w.meanWork = work
		w.hasEstimates = true
	}
	w.meanWork += workLearningRate * (work - w.meanWork)
}

// updateRunTimeFactor moves the run-time factor one step towards that of a completed attempt, so that it tracks the
// median.
func (w *workload) updateRunTimeFactor(runTime, expectedRun time.Duration) {
	w.runTimeFactor *= 1 + math.Copysign(runTimeFactorStep, float64(runTime)-w.runTimeFactor*float64(expectedRun))
}

// secondsToDuration converts seconds to a time.Duration.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
