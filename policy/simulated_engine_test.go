package policy

import (
	"fmt"
	"time"

	"bankledge/decision"
)

// simulatedEngine shares its cores among the attempts that run there.
type simulatedEngine struct {
	endpoint      decision.Endpoint
	cores         float64
	slowness      float64              // times as long
	hangs         bool                 // nothing ends there
	errs          bool                 // at once
	errsOn        *decision.WorkloadID // workload that errs at once; nil: none
	refusesToOpen bool                 // takes no connection
	running       []*simulatedAttempt
	sent          []sentWork
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
	remaining float64 // seconds on one core
}

// simulatedEngines are of eight cores each.
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

// failure is how an attempt of a workload fails at once, if it does.
func (e *simulatedEngine) failure(workload decision.WorkloadID) (outcome decision.Outcome, fails bool) {
	switch {
	case e.refusesToOpen:
		return decision.ConnectFailed, true
	case e.errs, e.errsOn != nil && workload == *e.errsOn:
		return decision.Errored, true
	}
	return 0, false
}

// threads is the number of threads that run.
func (e *simulatedEngine) threads() float64 {
	threads := 0.0
	for _, a := range e.running {
		threads += a.threads
	}
	return threads
}

// speed is that of each thread: the cores are shared, and as much again is lost beyond twice as many threads.
func (e *simulatedEngine) speed(threads float64, now time.Duration) float64 {
	speed := min(1, e.cores/threads) * min(1, 2*e.cores/threads)
	age := now - e.endpoint.StartedAt
	if e.endpoint.StartedAt > 0 && age < 15*time.Second {
		speed *= warmUpShare(age)
	}
	return speed
}

// worstWindow is the most work that the engine was sent in any window so long, as a share of its capacity then.
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

// totalWork is all work that the engine was sent.
func (e *simulatedEngine) totalWork() float64 {
	total := 0.0
	for _, s := range e.sent {
		total += s.work
	}
	return total
}

// warmUpShare is the share of its capacity that an engine of this age has.
func warmUpShare(age time.Duration) float64 { return min(1, 0.3+0.7*age.Seconds()/15) }
