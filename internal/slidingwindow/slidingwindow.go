// Package slidingwindow sums amounts over a window of time that ends now. It has no clock: its owner tells it the time.
package slidingwindow

import "time"

// Sum holds amounts by the times at which they were added. Its zero value is empty. One goroutine at a time may use it.
type Sum struct{ entries []entry }

type entry struct {
	at     time.Duration
	amount float64
}

// Add adds an amount. Times must not decrease from one call to the next.
func (s *Sum) Add(now time.Duration, amount float64) {
	s.entries = append(s.entries, entry{at: now, amount: amount})
}

// Since returns the sum of what was added at a time or later, and forgets what was added before.
func (s *Sum) Since(from time.Duration) float64 {
	for len(s.entries) > 0 && s.entries[0].at < from {
		s.entries = s.entries[1:]
	}
	total := 0.0
	for _, e := range s.entries {
		total += e.amount
	}
	return total
}
