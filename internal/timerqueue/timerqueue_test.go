package timerqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestFunctionsRunInTheOrderOfTheirTimes(t *testing.T) {
	var q Queue
	var ran []string
	note := func(name string) func() { return func() { ran = append(ran, name) } }
	q.Schedule(2*time.Second, note("second"))
	q.Schedule(time.Second, note("first"))
	q.Schedule(2*time.Second, note("second, scheduled later"))
	q.Schedule(3*time.Second, note("third"))

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

func TestFunctionsScheduleFurtherOnes(t *testing.T) {
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
