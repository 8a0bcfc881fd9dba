package estimate

import (
	"math"
	"time"

	"bankledge/decision"
)

// Warming is how what a cold engine bears in a window of time is cut among routers that say no word to each other. Each
// statement draws for itself whether it may go there, by a share that follows from what all routers may be asked for; the sum
// of many independent draws is far more certain than that of a few large parts. Work is in seconds of a core.
type SlowStartBudget struct {
	Rules          decision.Rules // those on cold engines
	AgeUncertainty time.Duration  // by which an engine may be younger than it is held to be
	UsableShare    float64        // of its cores
	SafetyShare    float64        // share of what it bears that certain parts add up to
	Routers        float64        // as the settings have it
	MinDemandShare float64        // of all cores, that all routers are asked for at least, so that too few Routers do no harm

	mean, square float64     // of a statement's work, learned; of its square
	heaviest     float64     // mean of a workload
	come         ArrivalRate // work
	cores        float64     // of all engines, as if all were warm
}

const (
	workLearn = 0.02 // of the mean work, at a statement
	deviates  = 4.0  // standard deviations by which the sum keeps what an engine bears
)

// See notes a statement that came, and the mean work of its workload. A client's further try counts for nothing: it may not go
// to a cold engine either.
func (w *SlowStartBudget) ObserveStatement(work, ofWorkload float64, resent bool) {
	if w.heaviest = max(w.heaviest, ofWorkload); resent {
		return
	}
	if w.mean == 0 {
		w.mean, w.square = work, work*max(work, w.heaviest)
	}
	w.mean += workLearn * (work - w.mean)
	w.square += workLearn * (work*work - w.square)
	w.come.Observe(work)
}

// Pass notes that time has passed, and the cores of all engines as if all were warm.
func (w *SlowStartBudget) Advance(d time.Duration, cores float64) {
	w.cores = cores
	w.come.Advance(float64(d) / float64(max(1, w.Rules.SlowStartWindow)))
}

// bears is the work that an engine of so many cores and this age may be sent in a window, by all routers.
func (w *SlowStartBudget) bears(cores float64, age time.Duration) float64 {
	warm := max(0, age-w.AgeUncertainty).Seconds() / max(1e-9, w.Rules.SlowStartDuration.Seconds())
	able := min(1, w.Rules.SlowStartShare+(1-w.Rules.SlowStartShare)*warm) * w.UsableShare * cores
	return w.Rules.SlowStartMultiple * able * w.Rules.SlowStartWindow.Seconds()
}

// Part is the most that one router sends such an engine in a window, and whether these parts are all that is needed, since each
// holds two of the heaviest statements: then the sum is certain. Else a part is half of what certain ones add up to, against
// a burst at one router, and Share is needed.
func (w *SlowStartBudget) RouterBudget(cores float64, age time.Duration) (part float64, certain bool) {
	all := w.SafetyShare * w.bears(cores, age)
	if all/w.Routers >= 2*w.heaviest {
		return all / w.Routers, true
	}
	return all / 2, false
}

// Share is the part of all statements that may go to such an engine: an even share of the cores at the most, and so much that
// the sum keeps what the engine bears by four standard deviations. Sent is a compound Poisson process, whose variance is its
// mean times the mean square of a statement's work over its mean.
func (w *SlowStartBudget) SendProbability(cores float64, age time.Duration) float64 {
	asked := max(w.MinDemandShare*w.cores*w.Rules.SlowStartWindow.Seconds(), w.Routers*w.come.Expected(w.heaviest))
	size := deviates * math.Sqrt(w.square/max(1e-9, w.mean))
	root := (math.Sqrt(size*size+4*w.bears(cores, age)) - size) / 2 // of the sum: sum + size √sum = what it bears
	return min(cores/max(1e-9, w.cores), root*root/max(1e-9, asked))
}

// Rhythm believes how much comes to a router in a window of time, from what has come so far. What was seen fades; one
// window of as much as a router may be asked for at the most stands for what was not seen.
type ArrivalRate struct {
	come, windows float64
}

const rhythmFade = 0.95 // of what was seen, a window

// Pass notes that a share of a window has passed.
func (r *ArrivalRate) Advance(windows float64) {
	fade := math.Pow(rhythmFade, windows)
	r.come, r.windows = r.come*fade, r.windows*fade+windows
}

// See notes what came.
func (r *ArrivalRate) Observe(n float64) { r.come += n }

// Expected is what comes in a window; doubt is what is expected where nothing was seen.
func (r *ArrivalRate) Expected(doubt float64) float64 { return (r.come + doubt) / (r.windows + 1) }
