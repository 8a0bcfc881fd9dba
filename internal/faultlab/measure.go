package faultlab

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bankledge/internal/retrybudget"
)

// Harm is the fleet's bound for each kind of extra work, as the lab audits it.
var ExtraWorkBounds = retrybudget.Bounds{Window: 5 * time.Second, ByKind: [retrybudget.NumWorkKinds]retrybudget.Bound{
	retrybudget.AdditionalAttempt: {PerCompleted: 0.5, PerAdmitted: 0.1},
	retrybudget.Cancellation:      {PerCompleted: 0.5, PerAdmitted: 0.1},
	retrybudget.HealthCheck:       {PerCompleted: 0.5, PerAdmitted: 0.5},
	retrybudget.Handshake:         {PerCompleted: 1, PerAdmitted: 1},
}}

// Figures are what a history comes to.
type Metrics struct {
	Statements         int     `json:"statements"`
	InTime             float64 `json:"in_time"` // importance answered in time, of all importance
	Rejected           float64 `json:"rejected"`
	Wasted             float64 `json:"wasted"`   // engines' work that no answer came of, of all work begun
	HealthChecks       float64 `json:"probes"`   // an engine and second
	AdditionalAttempts float64 `json:"further"`  // executions beyond a statement's first, an engine and second
	Cancellations      float64 `json:"calloffs"` // of executions
	Handshakes         float64 `json:"dials"`    // of executions
	P50, P99           time.Duration
	InTimeBefore       float64       `json:"before"` // importance in time before the first fault, of that asked
	FaultsEnd          time.Duration `json:"quiet"`  // when the last fault was over
	RecoveryTime       time.Duration `json:"back"`   // from then to nine tenths of before; 0: at once
	PeakColdLoad       float64       `json:"cold_most"`
}

// Measure works the figures out. Times count from when a statement was due, so that a lab or a router that was late hides nothing.
func Measure(h *History) Metrics {
	s := h.Schedule
	f := Metrics{FaultsEnd: seconds(s.FaultsEnd())}
	first := seconds(s.Seconds)
	for _, x := range s.Faults {
		first = min(first, seconds(x.At))
	}
	times := hdrhistogram.New(1, 120_000, 3)
	sent, ran, begun := map[string]Event{}, map[string]bool{}, map[string]Event{}
	asked, good, rejected, work, wasted, executions := 0.0, 0.0, 0, 0.0, 0.0, 0.0
	bySecond := map[time.Duration][2]float64{} // asked, in time
	for _, e := range h.Events {
		w := workloadOf(e.Workload)
		switch e.Kind {
		case StatementSent:
			sent[e.Statement] = e
			if e.Retry == 0 {
				f.Statements++
				asked += w.importance
				add(bySecond, e.At, 0, w.importance)
			}
		case StatementAnswered:
			q, due := sent[e.Statement], sent[firstTry(e.Statement)].At
			times.RecordValue(max(1, (e.At - q.At).Milliseconds()))
			if e.Code == codeRejected {
				rejected++
			}
			if e.Code == codeCompleted && e.At-due <= sloTime(workloadOf(q.Workload)) {
				good += workloadOf(q.Workload).importance
				add(bySecond, due, 1, workloadOf(q.Workload).importance)
			}
		case AttemptStarted:
			executions++
			work += e.Work
			if ran[e.Statement] {
				f.AdditionalAttempts++
			}
			ran[e.Statement], begun[e.Statement] = true, e
			f.PeakColdLoad = max(f.PeakColdLoad, e.ColdLoad)
		case AttemptCancelled, AttemptDropped: // it had at most run since its start, and at most all of its work
			f.Cancellations++
			if b, ok := begun[e.Statement]; ok {
				wasted += min(b.Work, (e.At-b.At).Seconds()*float64(workloadOf(b.Workload).threads))
			}
		case HealthChecked:
			f.HealthChecks++
		case EngineConnected:
			f.Handshakes++
		}
	}
	perEngine := float64(s.Engines) * s.Seconds
	f.InTime, f.Rejected, f.Wasted = part(good, asked), part(float64(rejected), float64(len(sent))), part(wasted, work)
	f.HealthChecks, f.AdditionalAttempts = f.HealthChecks/perEngine, f.AdditionalAttempts/perEngine
	f.Cancellations, f.Handshakes = part(f.Cancellations, executions), part(f.Handshakes, executions)
	f.P50, f.P99 = time.Duration(times.ValueAtQuantile(50))*time.Millisecond, time.Duration(times.ValueAtQuantile(99))*time.Millisecond
	f.InTimeBefore, f.RecoveryTime = normal(bySecond, first, f.FaultsEnd, seconds(s.Seconds))
	return f
}

// normal is the share in time before the first fault, and how long after the last one it takes until two seconds in a row come to nine
// tenths of that. Where so little time is left after the last one that nothing can be said, it is 0.
func normal(by map[time.Duration][2]float64, first, quiet, over time.Duration) (before float64, back time.Duration) {
	share := func(from, to time.Duration) float64 {
		asked, good := 0.0, 0.0
		for at := from.Truncate(time.Second); at < to; at += time.Second {
			asked, good = asked+by[at][0], good+by[at][1]
		}
		return part(good, asked)
	}
	before = share(time.Second, first.Truncate(time.Second))
	at := (quiet + time.Second - 1).Truncate(time.Second)
	for ; at+2*time.Second <= over.Truncate(time.Second); at += time.Second {
		if share(at, at+2*time.Second) >= backShare*before {
			return before, max(0, at-quiet)
		}
	}
	if at+time.Second < quiet+backWithin { // the play ends before the verdict is due
		return before, 0
	}
	return before, at - quiet
}

func add(by map[time.Duration][2]float64, at time.Duration, which int, amount float64) {
	x := by[at.Truncate(time.Second)]
	x[which] += amount
	by[at.Truncate(time.Second)] = x
}

func part(of, all float64) float64 {
	if all == 0 {
		return 0
	}
	return of / all
}

// sloTime is when the answer is wanted.
func sloTime(w *workload) time.Duration { return time.Duration(float64(w.budget) * 0.4) }

func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }
