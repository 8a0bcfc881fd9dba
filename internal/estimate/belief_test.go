package estimate

import (
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bankledge/decision"
)

func warming(routers float64) *SlowStartBudget {
	return &SlowStartBudget{Rules: decision.Rules{SlowStartMultiple: 4, SlowStartShare: 0.3, SlowStartDuration: 15 * time.Second, SlowStartWindow: 1500 * time.Millisecond},
		AgeUncertainty: 2 * time.Second, UsableShare: 0.85, SafetyShare: 0.6, Routers: routers, MinDemandShare: 1}
}

func TestWarming(t *testing.T) {
	w := warming(2)
	w.ObserveStatement(0.1, 3, false)
	part, certain := w.RouterBudget(16, 0)
	assert.True(t, certain, "each of two routers has room for two of the heaviest")
	assert.InDelta(t, 0.6*4*0.3*0.85*16*1.5/2, part, 1e-9)

	came := func(light, heavy int) *SlowStartBudget {
		w := warming(300)
		for range 60 { // a second each
			w.Advance(time.Second, 80*16)
			for range light {
				w.ObserveStatement(0.1, 0.1, false)
			}
			for range heavy {
				w.ObserveStatement(1, 1, false)
			}
			w.ObserveStatement(100, 1, true)
		}
		return w
	}
	w = came(4, 1)
	_, certain = w.RouterBudget(16, 0)
	assert.False(t, certain)
	young, old := w.SendProbability(16, 0), w.SendProbability(16, 12*time.Second)
	assert.Greater(t, young, 0.0)
	assert.Less(t, young, old, "more as it warms")
	assert.LessOrEqual(t, old, 1.0/80, "an even share at the most")
	assert.InDelta(t, 2*young, w.SendProbability(32, 0), young/1.5, "about twice as much where there are twice as many cores")
	assert.Less(t, came(40, 10).SendProbability(16, 0), young/2, "less where more comes")
	assert.Less(t, came(0, 1).SendProbability(16, 0), young, "less where statements are heavy")
	assert.NotPanics(t, func() { (&SlowStartBudget{}).SendProbability(1, 0); (&SlowStartBudget{}).RouterBudget(1, 0) })
}

// The sum over all routers, each of which knows only its own: what a cold engine is sent in any window, over what it bears then.
// SEEDS=1000 in the environment plays more of them.
func TestTheSumOfAllDraws(t *testing.T) {
	seeds := 12
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = n
	}
	for name, c := range map[string]struct {
		says, load float64 // routers as the settings have it, over those that there are; work that is asked for, of all cores
		most       float64 // times the mean traffic of the busiest router
		restart    bool
		least      float64 // share of an even share used, on average
	}{
		"as the settings say":         {1, 0.6, 1, false, 0.4},
		"little is asked for":         {1, 0.1, 1, false, 0.4},
		"all engines are full":        {1, 1, 1, false, 0.2},
		"twice as much as they bear":  {1, 2, 1, false, 0.1},
		"one has eight times as much": {1, 0.6, 8, false, 0.4},
		"a tenth of the routers":      {0.1, 0.6, 1, false, 0.4},
		"ten times the routers":       {10, 0.6, 1, false, 0.02},
		"seven in ten start anew":     {1, 0.6, 1, true, 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			over, windows, worst, used, even := 0, 0, 0.0, 0.0, 0.0
			for s := range seeds {
				o, n, w, u, e := sumOfDraws(uint64(s), c.says, c.load, c.most, c.restart)
				over, windows, worst, used, even = over+o, windows+n, max(worst, w), used+u, even+e
			}
			t.Logf("%d of %d windows over, worst %.2f of what is borne, %.2f of an even share used", over, windows, worst, used/even)
			assert.LessOrEqual(t, float64(over), 1e-3*float64(windows))
			assert.Greater(t, used/even, c.least)
		})
	}
}

// sumOfDraws plays 300 routers, 80 engines of 16 cores, one of which starts cold after 20 s.
func sumOfDraws(seed uint64, says, load, most float64, restart bool) (over, windows int, worst, used, even float64) {
	const routers, engines, cores, step, cold = 300, 80, 16.0, 100 * time.Millisecond, 20 * time.Second
	r := rand.New(rand.NewPCG(seed, 9))
	means, mix := []float64{0.1, 1, 3}, []float64{0.80, 0.15, 0.05}
	rate := load * engines * cores / routers / 0.38 // statements a second and router
	all := make([]*SlowStartBudget, routers)
	for i := range all {
		all[i] = warming(says * routers)
	}
	window := []float64{}
	for now := step; now < cold+15*time.Second; now += step {
		age, sent := now-cold, 0.0
		for i, w := range all {
			if restart && now == cold-3*time.Second && i%10 < 7 {
				w = warming(says * routers)
				all[i] = w
			}
			w.Advance(step, engines*cores)
			share := 0.0
			if age >= 0 {
				share = w.SendProbability(cores, age)
			}
			mean := rate * step.Seconds()
			if i == 0 {
				mean *= most
			}
			for next := r.ExpFloat64(); next < mean; next += r.ExpFloat64() {
				k, x := 0, r.Float64()
				for k < 2 && x >= mix[k] {
					x -= mix[k]
					k++
				}
				work := means[k] * r.ExpFloat64()
				w.ObserveStatement(work, means[k], false)
				if age >= 0 {
					even += work / engines
					if r.Float64() < share {
						sent += work
					}
				}
			}
		}
		used += sent
		if window = append(window, sent); len(window) > 15 {
			window = window[1:]
		}
		if age >= 1500*time.Millisecond {
			sum := 0.0
			for _, x := range window {
				sum += x
			}
			bears := 4 * min(1, 0.3+0.7*(age-1500*time.Millisecond).Seconds()/15) * cores * 1.5
			worst = max(worst, sum/bears)
			if windows++; sum > bears {
				over++
			}
		}
	}
	return over, windows, worst, used, even
}

func TestRhythm(t *testing.T) {
	var r ArrivalRate
	assert.Equal(t, 3.0, r.Expected(3), "nothing is known yet")
	for range 60 {
		r.Advance(1)
	}
	assert.Less(t, r.Expected(3), 0.45, "nothing came")
	for range 60 {
		r.Advance(1)
		r.Observe(2)
	}
	assert.InDelta(t, 2, r.Expected(3), 0.3)
	for range 60 {
		r.Advance(1)
	}
	assert.Less(t, r.Expected(3), 0.8, "what was seen fades")
}

func TestCrowd(t *testing.T) {
	c := PeerLoad{FreshFor: 3 * time.Second, LearningRate: 0.5}
	for i := range 20 {
		c.Observe(time.Duration(i)*time.Second, 10)
	}
	now := 20 * time.Second
	c.Observe(now, 10)
	assert.InDelta(t, 40, c.Estimate(now, 40, now), 1e-9, "a fresh report is what counts")
	assert.InDelta(t, 40, c.Estimate(now, 40, now-3*time.Second), 1e-9)
	assert.InDelta(t, 10+30/math.E, c.Estimate(now, 40, now-6*time.Second), 0.1)
	assert.InDelta(t, 10, c.Estimate(now, 0, now-time.Minute), 0.1, "not seen is not empty")
	assert.InDelta(t, 0, c.Estimate(now+time.Minute, 40, now), 0.1, "nothing is heard of anywhere: look again")
	assert.Less(t, c.Estimate(now+7*time.Second, 40, now), 13.0)
}
