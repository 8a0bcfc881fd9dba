package policy

import (
	"fmt"
	"time"

	"bankledge/decision"
)

// simulatedEngine is an engine that shares its cores among its running attempts.
type simulatedEngine struct {
	endpoint           decision.Endpoint
	cores              float64
	slowness           float64              // factor on run times
	hangs              bool                 // no attempt ends
	failsAtOnce        bool                 // every attempt fails at once
	failingWorkload    *decision.WorkloadID // workload whose attempts fail at once; nil: none
	refusesConnections bool                 // accepts no connections
	running            []*simulatedAttempt
	sent               []sentWork
}

// sentWork is the work of one attempt, in seconds on one thread.
type sentWork struct {
	at   time.Duration
	work float64
}

type simulatedAttempt struct {
	router    int
	statement decision.StatementArrived
	number    decision.AttemptID
	threads   float64
	remaining float64 // work, in core seconds
}

// simulatedEngines returns engines with eight cores each.
func simulatedEngines(count int) []*simulatedEngine {
	engines := make([]*simulatedEngine, 0, count)
	for i := range count {
		id := decision.EngineID(fmt.Sprintf("e%02d", i))
		engines = append(engines, &simulatedEngine{
			cores:    8,
			slowness: 1,
			endpoint: decision.Endpoint{Engine: id, Zone: "z1", MachineType: "k8"},
		})
	}
	return engines
}

// failure returns the outcome of an attempt of a workload that fails at once; fails is false if it does not.
func (e *simulatedEngine) failure(workload decision.WorkloadID) (outcome decision.Outcome, fails bool) {
	switch {
	case e.refusesConnections:
		return decision.ConnectFailed, true
	case e.failsAtOnce, e.failingWorkload != nil && workload == *e.failingWorkload:
		return decision.Errored, true
	}
	return 0, false
}

// threads returns the number of running threads.
func (e *simulatedEngine) threads() float64 {
	threads := 0.0
	for _, a := range e.running {
		threads += a.threads
	}
	return threads
}

// speed returns the speed of each thread. Threads share the cores, and above two threads per core contention slows them
// further.
func (e *simulatedEngine) speed(threads float64, now time.Duration) float64 {
	speed := min(1, e.cores/threads) * min(1, 2*e.cores/threads)
	age := now - e.endpoint.StartedAt
	if e.endpoint.StartedAt > 0 && age < 15*time.Second {
		speed *= warmUpShare(age)
	}
	return speed
}

// worstWindow returns the highest work sent to the engine in any window, relative to its capacity at the start of that
// window.
func (e *simulatedEngine) worstWindow(window time.Duration, multiple float64) float64 {
	worst := 0.0
	for i, first := range e.sent {
		total := 0.0
		for _, s := range e.sent[i:] {
			if s.at >= first.at+window {
				break
			}
			total += s.work
		}
		capacity := multiple * e.cores * window.Seconds() * warmUpShare(first.at-e.endpoint.StartedAt)
		worst = max(worst, total/capacity)
	}
	return worst
}

// totalWork returns all work sent to the engine.
func (e *simulatedEngine) totalWork() float64 {
	total := 0.0
	for _, s := range e.sent {
		total += s.work
	}
	return total
}

// warmUpShare returns the share of its capacity that an engine has at an age.
func warmUpShare(age time.Duration) float64 { return min(1, 0.3+0.7*age.Seconds()/15) }
