package timerqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestRunDueOrder(t *testing.T) {
	var q Queue
	var ran []string
	record := func(name string) func() { return func() { ran = append(ran, name) } }
	q.Schedule(2*time.Second, record("second"))
	q.Schedule(time.Second, record("first"))
	q.Schedule(2*time.Second, record("second, scheduled later"))
	q.Schedule(3*time.Second, record("third"))

	assert.Equal(t, time.Second, q.Next(time.Minute))
	assert.Equal(t, time.Millisecond, q.Next(time.Millisecond), "nothing is scheduled before")
	q.RunDue(time.Second - 1)
	assert.Empty(t, ran)
	q.RunDue(2 * time.Second)
	assert.Equal(t, []string{"first", "second", "second, scheduled later"}, ran)
	assert.Equal(t, 3*time.Second, q.Next(time.Minute))
	q.RunDue(time.Hour)
	assert.Len(t, ran, 4)
	assert.Equal(t, time.Minute, q.Next(time.Minute), "the queue is empty")
}

func TestFunctionsScheduleFunctions(t *testing.T) {
	var q Queue
	var ran []string
	q.Schedule(time.Second, func() {
		q.Schedule(0, func() { ran = append(ran, "due at once") })
		q.Schedule(2*time.Second, func() { ran = append(ran, "due later") })
		ran = append(ran, "first")
	})
	q.RunDue(time.Second)
	assert.Equal(t, []string{"first", "due at once"}, ran)
	q.RunDue(2 * time.Second)
	assert.Equal(t, []string{"first", "due at once", "due later"}, ran)
}

// The functions of cancelled timers are not called, the others are called in the order of their times, and Cancel removes most cancelled
// timers from the queue at once.
func TestCancel(t *testing.T) {
	var q Queue
	var ran []int
	const timers = 10 * minCancelledToCompact
	scheduled := make([]*Timer, timers)
	for i := range timers {
		at := time.Duration(i*7919%timers) * time.Millisecond
		scheduled[i] = q.Schedule(at, func() { ran = append(ran, i*7919%timers) })
	}
	for i, timer := range scheduled {
		if i%10 != 0 {
			q.Cancel(timer)
			q.Cancel(timer) // a second time has no effect
		}
	}
	assert.LessOrEqual(t, len(q.heap), timers/10+minCancelledToCompact)
	q.RunDue(time.Hour)
	assert.Len(t, ran, timers/10)
	assert.IsIncreasing(t, ran)
	assert.Empty(t, q.heap)
	assert.Zero(t, q.cancelled)
	q.Cancel(scheduled[0]) // its function was called
	q.Cancel(nil)
	assert.Zero(t, q.cancelled)
}
