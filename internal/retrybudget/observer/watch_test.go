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

// fleet plays routers that cause all the extra work that their ledgers let them, and counts windows past the bound.
// SEEDS=1000 in the environment plays more of them.
func fleet(seed uint64, restart, greedy bool) (windows, over int) {
	const routers, step, end = 300, 50 * time.Millisecond, 14 * time.Second
	r := rand.New(rand.NewPCG(seed, 5))
	bounds := retrybudget.Bounds{Window: 2 * time.Second, ByKind: [retrybudget.NumWorkKinds]retrybudget.Bound{retrybudget.AdditionalAttempt: {PerCompleted: 0.1, PerAdmitted: 0.02}, retrybudget.HealthCheck: {PerAdmitted: 0.3}}}
	w := New(bounds)
	w.TailProbability = 1e-3
	ledgers := make([]*retrybudget.Budget, routers)
	start := func(i int) {
		ledgers[i] = &retrybudget.Budget{Bounds: bounds, Random: detrand.Source{Seed: r.Uint64()}}
	}
	for i := range ledgers {
		start(i)
	}
	for now := step; now < end; now += step {
		for i, l := range ledgers {
			rate := 1.0
			if i == 0 {
				rate = 8
			}
			if restart && now == 6*time.Second && i%10 < 7 {
				start(i)
				l = ledgers[i]
			}
			if r.Float64() < rate*step.Seconds() {
				w.RecordAdmitted(now)
				l.RecordAdmitted(now)
				if full := now > 8*time.Second && now < 10*time.Second; !full { // nothing completes for two seconds
					w.RecordCompleted(now)
					l.RecordCompleted(now)
				}
			}
			for _, k := range []retrybudget.WorkKind{retrybudget.AdditionalAttempt, retrybudget.HealthCheck} {
				for l.TrySpend(now, k) || greedy && r.IntN(20) == 0 {
					w.RecordExtraWork(now, k)
				}
			}
		}
		if now%bounds.Window == 0 {
			windows += 2
			over += len(w.Violations(now))
		}
	}
	return windows, over
}

func TestTheSumKeepsTheBound(t *testing.T) {
	seeds := 40
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = n
	}
	for name, restart := range map[string]bool{"one has eight times the traffic, nothing completes for a while": false, "and seven in ten start anew": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			windows, over := 0, 0
			for s := range seeds {
				n, o := fleet(uint64(s), restart, false)
				windows, over = windows+n, over+o
			}
			t.Logf("%d of %d windows past the bound, stated chance 0.001", over, windows)
			assert.LessOrEqual(t, float64(over), 0.001*float64(windows)+2)
		})
	}
	_, over := fleet(1, false, true)
	assert.Positive(t, over, "routers that do not ask their ledger pass the bound")
}

func TestMost(t *testing.T) {
	assert.Equal(t, 0.0, MaxUnits(retrybudget.Bound{}, 100, 100, 1e-3))
	assert.Equal(t, 200.0, MaxUnits(retrybudget.Bound{PerAdmitted: 2}, 100, 0, 1e-3), "whole shares are certain")
	most := MaxUnits(retrybudget.Bound{PerCompleted: 0.1}, 0, 100, 1e-3)
	assert.Equal(t, 20.0, most, "a binomial of 100 and 0.1 passes 20 once in 1,235 times")
	assert.Greater(t, MaxUnits(retrybudget.Bound{PerAdmitted: 0.001}, 5e9, 0, 1e-3), 5e6)
}
