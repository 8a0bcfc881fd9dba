package policy

import (
	"math"
	"time"

	"bankledge/decision"
)

const (
	// workLearningRate is the weight of one estimate in a workload's mean work.
	workLearningRate = 0.05
	// paceStep is the relative step of a workload's pace towards the pace of a completed attempt.
	paceStep = 0.02
	// firstWorkDivisor: before the first estimate a statement is taken to run for its objective divided by this.
	firstWorkDivisor = 4
)

// workload is a workload's settings and what was learned of it.
type workload struct {
	decision.Workload
	id           decision.WorkloadID
	meanWork     float64 // of a statement, in seconds on one thread
	hasEstimates bool    // meanWork comes from estimates
	memoryFactor float64 // memory needed over memory estimated
	pace         float64 // median of the time taken over the expected run time

	threadsInFlight int     // of attempts without an outcome
	memoryInFlight  float64 // of the same, in MB
}

func newWorkload(id decision.WorkloadID, settings decision.Workload) *workload {
	settings.Threads = max(1, settings.Threads)
	return &workload{
		Workload:     settings,
		id:           id,
		memoryFactor: firstMemoryFactor,
		pace:         1,
		meanWork:     settings.LatencyObjective.Seconds() / firstWorkDivisor * float64(settings.Threads),
	}
}

// objective is the latency objective with its stretch, for a statement of this expected run time.
func (w *workload) objective(expectedRun time.Duration) time.Duration {
	return w.LatencyObjective + time.Duration(w.ObjectiveStretch*float64(expectedRun))
}

// learnWork takes a statement's estimate, in seconds on one thread. It teaches at most what can end in the client's
// time, since a client may claim anything.
func (w *workload) learnWork(estimate float64, timeBudget time.Duration) {
	work := min(estimate, timeBudget.Seconds()*float64(w.Threads))
	if !w.hasEstimates {
		w.meanWork = work
		w.hasEstimates = true
	}
	w.meanWork += workLearningRate * (work - w.meanWork)
}

// learnPace moves the pace one step towards that of an attempt that completed, so that it tracks the median.
func (w *workload) learnPace(taken, expectedRun time.Duration) {
	w.pace *= 1 + math.Copysign(paceStep, float64(taken)-w.pace*float64(expectedRun))
}

// duration converts seconds.
func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
