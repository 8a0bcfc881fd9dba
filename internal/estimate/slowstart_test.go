package estimate

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bankledge/decision"
)

func newSlowStartBudget(routers float64) *SlowStartBudget {
	return &SlowStartBudget{
		Rules: decision.Rules{
			SlowStartMultiple: 4,
			SlowStartShare:    0.3,
			SlowStartDuration: 15 * time.Second,
			SlowStartWindow:   1500 * time.Millisecond,
		},
		AgeUncertainty: 2 * time.Second,
		UsableShare:    0.85,
		SafetyShare:    0.6,
		Routers:        routers,
		MinDemandShare: 1,
	}
}

// afterArrivals is one of 300 routers, after a minute in which so many light and heavy statements arrived a second.
func afterArrivals(light, heavy int) *SlowStartBudget {
	b := newSlowStartBudget(300)
	for range 60 {
		b.Advance(time.Second, 80*16)
		for range light {
			b.ObserveStatement(0.1, 0.1, false)
		}
		for range heavy {
			b.ObserveStatement(1, 1, false)
		}
		b.ObserveStatement(100, 1, true) // a client's retry
	}
	return b
}

func TestSlowStartBudget(t *testing.T) {
	b := newSlowStartBudget(2)
	b.ObserveStatement(0.1, 3, false)
	budget, certain := b.RouterBudget(16, 0)
	assert.True(t, certain, "each of two routers has capacity for two of the heaviest")
	assert.InDelta(t, 0.6*4*0.3*0.85*16*1.5/2, budget, 1e-9)

	b = afterArrivals(4, 1)
	_, certain = b.RouterBudget(16, 0)
	assert.False(t, certain)
	young := b.SendProbability(16, 0)
	old := b.SendProbability(16, 12*time.Second)
	assert.Greater(t, young, 0.0)
	assert.Less(t, young, old, "more as it warms up")
	assert.LessOrEqual(t, old, 1.0/80, "a fair share at the most")
	assert.InDelta(t, 2*young, b.SendProbability(32, 0), young/1.5,
		"about twice as much where there are twice as many cores")
	assert.Less(t, afterArrivals(40, 10).SendProbability(16, 0), young/2, "less where more arrives")
	assert.Less(t, afterArrivals(0, 1).SendProbability(16, 0), young, "less where statements are heavy")
	assert.NotPanics(t, func() {
		(&SlowStartBudget{}).SendProbability(1, 0)
		(&SlowStartBudget{}).RouterBudget(1, 0)
	})
}

// The sum over all routers, each of which knows only its own arrivals: what an engine in slow start is sent in any
// window, over what it can take then. SEEDS=1000 in the environment plays more fleets.
func TestRoutersTogetherStayWithinSlowStartCapacity(t *testing.T) {
	seeds := 12
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = n
	}
	for name, c := range map[string]struct {
		fleetOptions
		leastUsed float64 // share of a fair share that has to be used, on average
	}{
		"as the settings say":         {fleetOptions{statedRouters: 1, load: 0.6, busiest: 1}, 0.4},
		"little demand":               {fleetOptions{statedRouters: 1, load: 0.1, busiest: 1}, 0.4},
		"all engines are full":        {fleetOptions{statedRouters: 1, load: 1, busiest: 1}, 0.2},
		"twice the capacity":          {fleetOptions{statedRouters: 1, load: 2, busiest: 1}, 0.1},
		"one has eight times as much": {fleetOptions{statedRouters: 1, load: 0.6, busiest: 8}, 0.4},
		"a tenth of the routers":      {fleetOptions{statedRouters: 0.1, load: 0.6, busiest: 1}, 0.4},
		"ten times the routers":       {fleetOptions{statedRouters: 10, load: 0.6, busiest: 1}, 0.02},
		"seven in ten restart":        {fleetOptions{statedRouters: 1, load: 0.6, busiest: 1, restart: true}, 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var all fleetResult
			for seed := range seeds {
				all.add(playFleet(uint64(seed), c.fleetOptions))
			}
			t.Logf("%d of %d windows over, worst %.2f of the capacity, %.2f of a fair share used",
				all.over, all.windows, all.worst, all.sent/all.fairShare)
			assert.LessOrEqual(t, float64(all.over), 1e-3*float64(all.windows))
			assert.Greater(t, all.sent/all.fairShare, c.leastUsed)
		})
	}
}

type fleetOptions struct {
	statedRouters float64 // number of routers in the settings, over the actual one
	load          float64 // work that arrives, over all cores
	busiest       float64 // times the mean traffic that the busiest router has
	restart       bool    // seven in ten routers restart just before the engine does
}

type fleetResult struct {
	over, windows   int     // windows with more than the capacity, and all
	worst           float64 // highest share of the capacity
	sent, fairShare float64 // work
}

func (r *fleetResult) add(o fleetResult) {
	r.over += o.over
	r.windows += o.windows
	r.worst = max(r.worst, o.worst)
	r.sent += o.sent
	r.fairShare += o.fairShare
}

// playFleet plays 300 routers and 80 engines of 16 cores, one of which starts after 20 s.
func playFleet(seed uint64, o fleetOptions) (result fleetResult) {
	const (
		routers, engines, cores = 300, 80, 16.0
		step                    = 100 * time.Millisecond
		start                   = 20 * time.Second
		windowSteps             = 15
	)
	r := rand.New(rand.NewPCG(seed, 9))
	means, mix := []float64{0.1, 1, 3}, []float64{0.80, 0.15, 0.05}
	rate := o.load * engines * cores / routers / 0.38 // statements a second and router
	all := make([]*SlowStartBudget, routers)
	for i := range all {
		all[i] = newSlowStartBudget(o.statedRouters * routers)
	}
	var window []float64
	for now := step; now < start+15*time.Second; now += step {
		age, sent := now-start, 0.0
		for i, b := range all {
			if o.restart && now == start-3*time.Second && i%10 < 7 {
				b = newSlowStartBudget(o.statedRouters * routers)
				all[i] = b
			}
			b.Advance(step, engines*cores)
			probability := 0.0
			if age >= 0 {
				probability = b.SendProbability(cores, age)
			}
			mean := rate * step.Seconds()
			if i == 0 {
				mean *= o.busiest
			}
			for next := r.ExpFloat64(); next < mean; next += r.ExpFloat64() {
				workload, x := 0, r.Float64()
				for workload < 2 && x >= mix[workload] {
					x -= mix[workload]
					workload++
				}
				work := means[workload] * r.ExpFloat64()
				b.ObserveStatement(work, means[workload], false)
				if age >= 0 {
					result.fairShare += work / engines
					if r.Float64() < probability {
						sent += work
					}
				}
			}
		}
		result.sent += sent
		window = append(window, sent)
		if len(window) > windowSteps {
			window = window[1:]
		}
		if age >= windowSteps*step {
			sum := 0.0
			for _, x := range window {
				sum += x
			}
			capacity := 4 * min(1, 0.3+0.7*(age-windowSteps*step).Seconds()/15) * cores * 1.5
			result.windows++
			result.worst = max(result.worst, sum/capacity)
			if sum > capacity {
				result.over++
			}
		}
	}
	return result
}
