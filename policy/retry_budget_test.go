package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

func TestRetryBudget(t *testing.T) {
	h := newHarness(t)
	h.settings.Rules.RetryBudgetWindow = 10 * time.Second
	h.settings.Rules.RetryBudgetFree = 1
	h.settings.Rules.RetryBudgetShare = 0.25
	h.at(0, ready("a", "b", "c"))
	sent := map[decision.StatementID]int{}
	arrivals := 0
	retries := func() int {
		total := 0
		for _, attempts := range sent {
			total += attempts - 1
		}
		return total
	}
	handle := func(events ...decision.Event) {
		h.at(time.Duration(arrivals)*ms, events...)
		for _, x := range pick[decision.StartAttempt](h) {
			sent[x.Statement]++
		}
		assert.LessOrEqual(t, float64(retries()), 1+0.25*float64(arrivals))
	}
	for arrivals = 1; arrivals <= 8; arrivals++ {
		id := decision.StatementID(fmt.Sprint(arrivals))
		handle(read(id))
		for _, e := range h.module.endpoints.all { // every first attempt fails, on whichever engine it runs
			handle(end(id, 0, e.Engine, decision.Errored))
		}
	}
	assert.Equal(t, 3, retries())
}

// A host may send attempts late, up to its maximum delay and in any order. The budget still holds in every window as
// seen by the engines.
func TestRetryBudgetWithSendDelay(t *testing.T) {
	for seed := range uint64(20) {
		h := newHarness(t)
		h.settings.Rules.RetryBudgetWindow = 2 * time.Second
		h.settings.Rules.RetryBudgetFree = 2
		h.settings.Rules.RetryBudgetShare = 0.2
		h.settings.Limits.MaxSendDelay = 300 * ms
		h.at(0, ready("a", "b", "c"))
		random := rand.New(rand.NewPCG(seed, 1))
		var arrivals, retries []time.Duration // retries: as seen by the engines
		sent := map[decision.StatementID]bool{}
		var ended []decision.AttemptEnded
		for i := range 3000 {
			now := time.Duration(i) * 5 * ms
			var events []decision.Event
			arrivalRate := 0.02
			if i/500%2 == 0 {
				arrivalRate = 0.3
			}
			if random.Float64() < arrivalRate {
				arrivals = append(arrivals, now)
				events = append(events, read(decision.StatementID(fmt.Sprint(i))))
			}
			for _, e := range ended {
				events = append(events, e)
			}
			ended = ended[:0]
			h.at(now, events...)
			for _, x := range pick[decision.StartAttempt](h) {
				if sent[x.Statement] {
					retries = append(retries, now+time.Duration(random.Int64N(int64(h.settings.Limits.MaxSendDelay))))
				}
				sent[x.Statement] = true
				number := len(h.module.statements[x.Statement].attempts) - 1
				ended = append(ended, end(x.Statement, decision.AttemptID(number), x.Engine, decision.Errored))
			}
		}
		slices.Sort(retries)
		require.NotEmpty(t, retries)
		within := func(times []time.Duration, at time.Duration) float64 {
			count := 0.0
			for _, x := range times {
				if x > at-h.settings.Rules.RetryBudgetWindow && x <= at {
					count++
				}
			}
			return count
		}
		for _, at := range retries {
			require.LessOrEqual(t, within(retries, at), 2+0.2*within(arrivals, at), "seed %d, at %v", seed, at)
		}
	}
}
