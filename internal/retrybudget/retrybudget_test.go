package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"bankledge/internal/detrand"
)

func TestUnitsAreEarnedByStatementsOnly(t *testing.T) {
	b := Budget{Bounds: Bounds{
		Window: time.Second,
		ByKind: [NumWorkKinds]Bound{AdditionalAttempt: {PerCompleted: 1}},
	}}
	assert.False(t, b.TrySpend(time.Hour, AdditionalAttempt), "a router that has just started has earned nothing")
	b.RecordCompleted(time.Hour)
	b.RecordAdmitted(time.Hour)
	assert.True(t, b.TrySpend(time.Hour+time.Second-1, AdditionalAttempt))
	assert.False(t, b.TrySpend(time.Hour+time.Second-1, AdditionalAttempt), "a unit is spent only once")
	b.RecordCompleted(time.Hour)
	assert.False(t, b.TrySpend(time.Hour+time.Second, AdditionalAttempt), "a unit expires after one window")
	assert.Equal(t, int64(3), b.Denied()[AdditionalAttempt])
	assert.True(t, b.TrySpend(0, HealthCheck), "a kind without a bound")
}

func TestKindWithoutBoundIsNeverDenied(t *testing.T) {
	b := Budget{Bounds: Bounds{Window: time.Second}}
	for range 2 * maxUnits {
		assert.True(t, b.TrySpend(0, Cancellation))
	}
	assert.Zero(t, b.Denied())
}

// For any sequence of statements, a router spends at most as many units in a window as it earned in that window and the one before. If
// the kind has no bound, the router is never denied a unit.
func TestSpendsNoMoreThanEarned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := Bound{
			PerCompleted: rapid.Float64Range(0, 3).Draw(t, "completed"),
			PerAdmitted:  rapid.Float64Range(0, 1).Draw(t, "admitted"),
		}
		b := Budget{
			Bounds: Bounds{Window: time.Second, ByKind: [NumWorkKinds]Bound{Cancellation: bound}},
			Random: detrand.Source{Seed: rapid.Uint64().Draw(t, "seed")},
		}
		now := time.Duration(0)
		earned, spent := map[time.Duration]int{}, map[time.Duration]int{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			before := len(b.expiries[Cancellation])
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				b.RecordAdmitted(now)
			case 1:
				b.RecordCompleted(now)
			default:
				if b.TrySpend(now, Cancellation) {
					spent[now]++
				}
				before = len(b.expiries[Cancellation])
			}
			earned[now] += len(b.expiries[Cancellation]) - before
		}
		if bound == (Bound{}) {
			assert.Zero(t, b.Denied())
			return
		}
		for end := range spent {
			assert.LessOrEqual(t, sumAfter(spent, end-time.Second, end), sumAfter(earned, end-2*time.Second, end))
		}
	})
}

// sumAfter returns the sum of the amounts at times later than after and not later than upTo.
func sumAfter(amounts map[time.Duration]int, after, upTo time.Duration) int {
	sum := 0
	for at, n := range amounts {
		if at > after && at <= upTo {
			sum += n
		}
	}
	return sum
}

func TestWorstCaseShare(t *testing.T) {
	b := Bounds{ByKind: [NumWorkKinds]Bound{HealthCheck: {PerAdmitted: 0.5}, Cancellation: {PerCompleted: 0.1}}}
	costs := UnitCosts{HealthCheck: 0.02, Cancellation: 0.01}
	assert.InDelta(t, 0.5*0.02/0.2+0.1*(0.2+0.01)/0.2, b.WorstCaseShare(costs, 0.2), 1e-9)
}

func TestWorkKindNames(t *testing.T) {
	for k := range NumWorkKinds {
		assert.NotEmpty(t, k.String())
	}
}
