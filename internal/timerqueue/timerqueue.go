// Package timerqueue keeps functions that are to be called at later times, ordered by their times. It has no clock: its
// owner tells it the time.
package timerqueue

import (
	"container/heap"
	"time"
)

// Queue holds what is scheduled. Its zero value is empty. One goroutine at a time may use it.
type Queue struct {
	heap     timerHeap
	sequence int
}

// Schedule has a function called at a time. Functions of the same time are called in the order of their scheduling.
func (q *Queue) Schedule(at time.Duration, do func()) {
	q.sequence++
	heap.Push(&q.heap, timer{at: at, sequence: q.sequence, do: do})
}

// RunDue calls all functions whose time has come, the earliest first. They may schedule further ones, which are called,
// too, if they are due.
func (q *Queue) RunDue(now time.Duration) {
	for len(q.heap) > 0 && q.heap[0].at <= now {
		heap.Pop(&q.heap).(timer).do()
	}
}

// Next returns the earliest time scheduled, or otherwise if nothing is scheduled before that.
func (q *Queue) Next(otherwise time.Duration) time.Duration {
	if len(q.heap) > 0 && q.heap[0].at < otherwise {
		return q.heap[0].at
	}
	return otherwise
}

type timer struct {
	at       time.Duration
	sequence int // orders timers of the same time
	do       func()
}

// timerHeap implements heap.Interface, the earliest timer first.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{} // releases the function
	*h = old[:len(old)-1]
	return last
}
