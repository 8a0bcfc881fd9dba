// Package timerqueue implements a queue of functions that are to be called at later times. It reads no clock: the caller passes the
// current time.
package timerqueue

import (
	"container/heap"
	"slices"
	"time"
)

// minCancelledToCompact is the number of cancelled timers below which they are not removed before they are due.
const minCancelledToCompact = 1024

// Queue holds the scheduled timers. Its zero value is an empty queue. It is not safe for concurrent use.
//
// Cancelling a timer releases its function at once. The timer itself stays in the queue until it is due or until Cancel removes all
// cancelled timers. Cancel does so once there are at least minCancelledToCompact and they are more than half of all timers, so that
// cancelling takes amortized constant time and the number of cancelled timers stays bounded by minCancelledToCompact or by the number of
// other timers, whichever is larger.
type Queue struct {
	heap      timerHeap
	sequence  int
	cancelled int // timers in heap that were cancelled
}

// Timer is a scheduled function.
type Timer struct {
	at       time.Duration
	sequence int    // orders timers with the same time
	do       func() // nil once it was called or cancelled
}

// Schedule schedules a function to be called at a time. Functions with the same time are called in the order in which they were
// scheduled.
func (q *Queue) Schedule(at time.Duration, do func()) *Timer {
	q.sequence++
	t := &Timer{at: at, sequence: q.sequence, do: do}
	heap.Push(&q.heap, t)
	return t
}

// Cancel cancels a timer, so that its function is not called. It has no effect if the timer is nil, or was called or cancelled before.
func (q *Queue) Cancel(t *Timer) {
	if t == nil || t.do == nil {
		return
	}
	t.do = nil
	q.cancelled++
	if q.cancelled >= minCancelledToCompact && 2*q.cancelled > len(q.heap) {
		q.removeCancelled()
	}
}

func (q *Queue) removeCancelled() {
	q.heap = slices.DeleteFunc(q.heap, func(t *Timer) bool { return t.do == nil })
	q.heap = slices.Clip(q.heap)
	heap.Init(&q.heap)
	q.cancelled = 0
}

// RunDue calls all functions that are due at now, the earliest first. The functions may schedule further ones, which RunDue also
// calls if they are due.
func (q *Queue) RunDue(now time.Duration) {
	for len(q.heap) > 0 && q.heap[0].at <= now {
		t := heap.Pop(&q.heap).(*Timer)
		do := t.do
		t.do = nil
		if do == nil {
			q.cancelled--
			continue
		}
		do()
	}
}

// Next returns the earliest scheduled time, or limit if nothing is scheduled before it. The time may be that of a cancelled timer.
func (q *Queue) Next(limit time.Duration) time.Duration {
	if len(q.heap) > 0 && q.heap[0].at < limit {
		return q.heap[0].at
	}
	return limit
}

// timerHeap implements heap.Interface, the earliest timer first.
type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(*Timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil // releases the timer
	*h = old[:len(old)-1]
	return last
}
