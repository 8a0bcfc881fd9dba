package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"bankledge/internal/detrand"
)

func TestNothingIsEarnedByTimeAlone(t *testing.T) {
	l := Budget{Bounds: Bounds{Window: time.Second, ByKind: [NumWorkKinds]Bound{AdditionalAttempt: {PerCompleted: 1}}}}
	assert.False(t, l.TrySpend(time.Hour, AdditionalAttempt), "a router that has just started has earned nothing")
	l.RecordCompleted(time.Hour)
	l.RecordAdmitted(time.Hour)
	assert.True(t, l.TrySpend(time.Hour+time.Second-1, AdditionalAttempt))
	assert.False(t, l.TrySpend(time.Hour+time.Second-1, AdditionalAttempt), "one unit is spent once")
	l.RecordCompleted(time.Hour)
	assert.False(t, l.TrySpend(time.Hour+time.Second, AdditionalAttempt), "what was earned lasts one span")
	assert.Equal(t, int64(3), l.Denied()[AdditionalAttempt])
	assert.True(t, l.TrySpend(0, HealthCheck), "a kind without a bound")
}

// Whatever comes in whatever order, a router never spends more in a span than it earned in that span and the one before.
func TestSpendsNoMoreThanEarned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Budget{Bounds: Bounds{Window: time.Second, ByKind: [NumWorkKinds]Bound{Cancellation: {PerCompleted: rapid.Float64Range(0, 3).Draw(t, "completed"), PerAdmitted: rapid.Float64Range(0, 1).Draw(t, "taken")}}},
			Random: detrand.Source{Seed: rapid.Uint64().Draw(t, "seed")}}
		now, earned, spent := time.Duration(0), map[time.Duration]int{}, map[time.Duration]int{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			before := len(l.units[Cancellation])
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				l.RecordAdmitted(now)
			case 1:
				l.RecordCompleted(now)
			default:
				if l.TrySpend(now, Cancellation) {
					spent[now]++
				}
				before = len(l.units[Cancellation])
			}
			earned[now] += len(l.units[Cancellation]) - before
		}
		for end := range spent {
			in, had := 0, 0
			for at, n := range spent {
				if at <= end && at > end-time.Second {
					in += n
				}
			}
			for at, n := range earned {
				if at <= end && at > end-2*time.Second {
					had += n
				}
			}
			assert.LessOrEqual(t, in, had)
		}
	})
}

func TestWorst(t *testing.T) {
	b := Bounds{ByKind: [NumWorkKinds]Bound{HealthCheck: {PerAdmitted: 0.5}, Cancellation: {PerCompleted: 0.1}}}
	assert.InDelta(t, 0.5*0.02/0.2+0.1*(0.2+0.01)/0.2, b.WorstCaseShare(UnitCosts{HealthCheck: 0.02, Cancellation: 0.01}, 0.2), 1e-9)
	for k := range NumWorkKinds {
		assert.NotEmpty(t, k.String())
	}
}
