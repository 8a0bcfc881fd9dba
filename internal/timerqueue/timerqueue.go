// Package timerqueue keeps functions that are to be called at later times, ordered by their times. It has no clock: its
// owner tells it the time.
package timerqueue

import (
	"container/heap"
	"slices"
	"time"
)

// minCancelledToCompact is the least number of cancelled timers that are removed before they are due.
const minCancelledToCompact = 1024

// Queue holds what is scheduled. Its zero value is empty. One goroutine at a time may use it.
//
// A cancelled timer releases its function at once. The timer itself stays until it is due, or until more than half of the timers are
// cancelled ones: so cancelling takes constant time in the mean, and at most minCancelledToCompact, or as many as are left, are kept.
type Queue struct {
	heap      timerHeap
	sequence  int
	cancelled int // timers in heap that were cancelled
}

// Timer is a function that is scheduled.
type Timer struct {
	at       time.Duration
	sequence int    // orders timers of the same time
	do       func() // nil: it was called or cancelled
}

// Schedule has a function called at a time. Functions of the same time are called in the order of their scheduling.
func (q *Queue) Schedule(at time.Duration, do func()) *Timer {
	q.sequence++
	t := &Timer{at: at, sequence: q.sequence, do: do}
	heap.Push(&q.heap, t)
	return t
}

// Cancel has a timer's function not called. It has no effect on nil, or once the function was called or cancelled.
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

// RunDue calls all functions whose time has come, the earliest first. They may schedule further ones, which are called,
// too, if they are due.
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

// Next returns the earliest time scheduled, or otherwise if nothing is scheduled before that. The time may be a cancelled timer's.
func (q *Queue) Next(otherwise time.Duration) time.Duration {
	if len(q.heap) > 0 && q.heap[0].at < otherwise {
		return q.heap[0].at
	}
	return otherwise
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
