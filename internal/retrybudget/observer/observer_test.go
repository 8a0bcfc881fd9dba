package observer

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bankledge/internal/detrand"
	"bankledge/internal/retrybudget"
)

// simulateRouters simulates routers that cause all the extra work that their budgets allow. It returns the number of windows, counted
// per kind of work, and how many of them exceed the bound. If unbudgeted is set, routers sometimes cause extra work without a unit.
func simulateRouters(seed uint64, restart, unbudgeted bool) (windows, exceeded int) {
	const routers, step, end = 300, 50 * time.Millisecond, 14 * time.Second
	r := rand.New(rand.NewPCG(seed, 5))
	bounds := retrybudget.Bounds{Window: 2 * time.Second, ByKind: [retrybudget.NumWorkKinds]retrybudget.Bound{
		retrybudget.AdditionalAttempt: {PerCompleted: 0.1, PerAdmitted: 0.02},
		retrybudget.HealthCheck:       {PerAdmitted: 0.3},
	}}
	observer := New(bounds)
	observer.TailProbability = 1e-3
	budgets := make([]*retrybudget.Budget, routers)
	start := func(i int) {
		budgets[i] = &retrybudget.Budget{Bounds: bounds, Random: detrand.Source{Seed: r.Uint64()}}
	}
	for i := range budgets {
		start(i)
	}
	for now := step; now < end; now += step {
		engineStalls := now > 8*time.Second && now < 10*time.Second
		for i, budget := range budgets {
			rate := 1.0
			if i == 0 {
				rate = 8
			}
			if restart && now == 6*time.Second && i%10 < 7 {
				start(i)
				budget = budgets[i]
			}
			if r.Float64() < rate*step.Seconds() {
				observer.RecordAdmitted(now)
				budget.RecordAdmitted(now)
				if !engineStalls {
					observer.RecordCompleted(now)
					budget.RecordCompleted(now)
				}
			}
			for _, k := range []retrybudget.WorkKind{retrybudget.AdditionalAttempt, retrybudget.HealthCheck} {
				for budget.TrySpend(now, k) || unbudgeted && r.IntN(20) == 0 {
					observer.RecordExtraWork(now, k)
				}
			}
		}
		if now%bounds.Window == 0 {
			windows += 2
			exceeded += len(observer.Violations(now))
		}
	}
	return windows, exceeded
}

// All routers together stay within the bound, although each enforces only its own part. The environment variable SEEDS sets the number of
// simulations, e.g. SEEDS=1000.
func TestSumOfAllRoutersStaysWithinBound(t *testing.T) {
	seeds := 40
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = n
	}
	for name, restart := range map[string]bool{
		"one router has eight times the traffic, nothing completes for two seconds": false,
		"the same, and seven in ten routers restart":                                true,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			windows, exceeded := 0, 0
			for seed := range seeds {
				n, e := simulateRouters(uint64(seed), restart, false)
				windows += n
				exceeded += e
			}
			t.Logf("%d of %d windows exceed the bound, stated probability 0.001", exceeded, windows)
			assert.LessOrEqual(t, float64(exceeded), 0.001*float64(windows)+2)
		})
	}
	_, exceeded := simulateRouters(1, false, true)
	assert.Positive(t, exceeded, "routers that cause extra work without a unit exceed the bound")
}

func TestMaxUnits(t *testing.T) {
	assert.Equal(t, 0.0, MaxUnits(retrybudget.Bound{}, 100, 100, 1e-3))
	assert.Equal(t, 200.0, MaxUnits(retrybudget.Bound{PerAdmitted: 2}, 100, 0, 1e-3), "the integer part of a share is certain")
	units := MaxUnits(retrybudget.Bound{PerCompleted: 0.1}, 0, 100, 1e-3)
	assert.Equal(t, 20.0, units, "a binomial of 100 and 0.1 exceeds 20 once in 1,235 times")
	assert.Greater(t, MaxUnits(retrybudget.Bound{PerAdmitted: 0.001}, 5e9, 0, 1e-3), 5e6)
}
