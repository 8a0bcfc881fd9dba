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

// afterArrivals returns the budget of one of 300 routers after a minute with the given numbers of light and heavy
// statements per second.
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
	assert.Less(t, young, old, "grows as the engine warms up")
	assert.LessOrEqual(t, old, 1.0/80, "at most a fair share")
	assert.InDelta(t, 2*young, b.SendProbability(32, 0), young/1.5,
		"about twice as much with twice the cores")
	assert.Less(t, afterArrivals(40, 10).SendProbability(16, 0), young/2, "less with more arrivals")
	assert.Less(t, afterArrivals(0, 1).SendProbability(16, 0), young, "less with heavier statements")
	assert.NotPanics(t, func() {
		(&SlowStartBudget{}).SendProbability(1, 0)
		(&SlowStartBudget{}).RouterBudget(1, 0)
	})
}

// The routers of a fleet, each of which knows only its own arrivals, together stay within the capacity of an engine in
// slow start in every window, with rare exceptions. SEEDS=1000 in the environment simulates more fleets.
func TestRoutersTogetherStayWithinSlowStartCapacity(t *testing.T) {
	seeds := 12
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = n
	}
	for name, c := range map[string]struct {
		fleetOptions
		minUsed float64 // minimum use on average, relative to a fair share
	}{
		"as the settings say":                    {fleetOptions{statedRouters: 1, load: 0.6, busiest: 1}, 0.4},
		"little demand":                          {fleetOptions{statedRouters: 1, load: 0.1, busiest: 1}, 0.4},
		"demand equals capacity":                 {fleetOptions{statedRouters: 1, load: 1, busiest: 1}, 0.2},
		"twice the capacity":                     {fleetOptions{statedRouters: 1, load: 2, busiest: 1}, 0.1},
		"one router has eight times the traffic": {fleetOptions{statedRouters: 1, load: 0.6, busiest: 8}, 0.4},
		"settings have a tenth of the routers":   {fleetOptions{statedRouters: 0.1, load: 0.6, busiest: 1}, 0.4},
		"settings have ten times the routers":    {fleetOptions{statedRouters: 10, load: 0.6, busiest: 1}, 0.02},
		"seven in ten routers restart":           {fleetOptions{statedRouters: 1, load: 0.6, busiest: 1, restart: true}, 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var all fleetResult
			for seed := range seeds {
				all.add(simulateFleet(uint64(seed), c.fleetOptions))
			}
			t.Logf("%d of %d windows over, worst %.2f of the capacity, %.2f of a fair share used",
				all.over, all.windows, all.worst, all.sent/all.fairShare)
			assert.LessOrEqual(t, float64(all.over), 1e-3*float64(all.windows))
			assert.Greater(t, all.sent/all.fairShare, c.minUsed)
		})
	}
}

type fleetOptions struct {
	statedRouters float64 // number of routers in the settings, relative to the actual number
	load          float64 // arriving work, relative to all cores
	busiest       float64 // traffic of the busiest router, relative to the mean
	restart       bool    // seven in ten routers restart just before the engine starts
}

type fleetResult struct {
	over, windows   int     // windows above the capacity, and all windows
	worst           float64 // highest share of the capacity in a window
	sent, fairShare float64 // work
}

func (r *fleetResult) add(other fleetResult) {
	r.over += other.over
	r.windows += other.windows
	r.worst = max(r.worst, other.worst)
	r.sent += other.sent
	r.fairShare += other.fairShare
}

// The parameters of the simulated fleet. One of its engines starts after startTime.
const (
	fleetRouters   = 300
	fleetEngines   = 80
	engineCores    = 16.0
	fleetStep      = 100 * time.Millisecond
	startTime      = 20 * time.Second
	slowStartTime  = 15 * time.Second
	windowSteps    = 15
	meanOfWorkload = 0.38 // mean work of a statement in core seconds, over the three workloads below
)

// workloadMeans and workloadShares give, by workload, the mean work of a statement and its share of all statements.
var (
	workloadMeans  = []float64{0.1, 1, 3}
	workloadShares = []float64{0.80, 0.15, 0.05}
)

// simulatedFleet is a fleet whose routers divide the capacity of an engine in slow start.
type simulatedFleet struct {
	fleetOptions
	random  *rand.Rand
	routers []*SlowStartBudget
	window  []float64 // work sent to the engine, in each of the last steps
	result  fleetResult
}

// simulateFleet returns the result for an engine until the end of its slow start.
func simulateFleet(seed uint64, options fleetOptions) fleetResult {
	f := &simulatedFleet{fleetOptions: options, random: rand.New(rand.NewPCG(seed, 9))}
	for range fleetRouters {
		f.routers = append(f.routers, f.newRouter())
	}
	for now := fleetStep; now < startTime+slowStartTime; now += fleetStep {
		sent := 0.0
		for i := range f.routers {
			if f.restart && now == startTime-3*time.Second && i%10 < 7 {
				f.routers[i] = f.newRouter()
			}
			sent = f.stepRouter(i, now-startTime, sent)
		}
		f.recordStep(now-startTime, sent)
	}
	return f.result
}

func (f *simulatedFleet) newRouter() *SlowStartBudget {
	return newSlowStartBudget(f.statedRouters * fleetRouters)
}

// stepRouter simulates one step of a router, and returns sent plus the work that the router sends to the engine.
func (f *simulatedFleet) stepRouter(i int, age time.Duration, sent float64) float64 {
	router := f.routers[i]
	router.Advance(fleetStep, fleetEngines*engineCores)
	probability := 0.0
	if age >= 0 {
		probability = router.SendProbability(engineCores, age)
	}
	mean := f.load * fleetEngines * engineCores / fleetRouters / meanOfWorkload * fleetStep.Seconds()
	if i == 0 {
		mean *= f.busiest
	}
	for next := f.random.ExpFloat64(); next < mean; next += f.random.ExpFloat64() {
		workload := f.drawWorkload()
		work := workloadMeans[workload] * f.random.ExpFloat64()
		router.ObserveStatement(work, workloadMeans[workload], false)
		if age < 0 {
			continue
		}
		f.result.fairShare += work / fleetEngines
		if f.random.Float64() < probability {
			sent += work
		}
	}
	return sent
}

// drawWorkload draws the workload of a statement.
func (f *simulatedFleet) drawWorkload() int {
	workload := 0
	x := f.random.Float64()
	for workload < len(workloadShares)-1 && x >= workloadShares[workload] {
		x -= workloadShares[workload]
		workload++
	}
	return workload
}

// recordStep compares the work sent in the window that ends now with the engine's capacity at its start.
func (f *simulatedFleet) recordStep(age time.Duration, sent float64) {
	f.result.sent += sent
	f.window = append(f.window, sent)
	if len(f.window) > windowSteps {
		f.window = f.window[1:]
	}
	if age < windowSteps*fleetStep {
		return
	}
	sum := 0.0
	for _, work := range f.window {
		sum += work
	}
	ageAtBegin := (age - windowSteps*fleetStep).Seconds()
	capacity := 4 * min(1, 0.3+0.7*ageAtBegin/slowStartTime.Seconds()) * engineCores * 1.5
	f.result.windows++
	f.result.worst = max(f.result.worst, sum/capacity)
	if sum > capacity {
		f.result.over++
	}
}
