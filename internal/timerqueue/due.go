// Package due keeps things to be done at later times in one ordered structure.
package timerqueue

import (
	"container/heap"
	"time"
)

type item struct {
	at  time.Duration
	seq int
	do  func()
}

type items []item

func (h items) Len() int { return len(h) }
func (h items) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h items) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *items) Push(x any)   { *h = append(*h, x.(item)) }
func (h *items) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = item{}
	*h = old[:len(old)-1]
	return last
}

// Times holds what is due, earliest first, and what was added first among equals.
type Queue struct {
	heap items
	seq  int
}

// At adds something to be done at a time.
func (t *Queue) Schedule(at time.Duration, do func()) {
	t.seq++
	heap.Push(&t.heap, item{at, t.seq, do})
}

// Run does all that is due by now.
func (t *Queue) RunDue(now time.Duration) {
	for len(t.heap) > 0 && t.heap[0].at <= now {
		heap.Pop(&t.heap).(item).do()
	}
}

// Next is the earliest due time, or otherwise if nothing is due before it.
func (t *Queue) Next(otherwise time.Duration) time.Duration {
	if len(t.heap) > 0 && t.heap[0].at < otherwise {
		return t.heap[0].at
	}
	return otherwise
}
