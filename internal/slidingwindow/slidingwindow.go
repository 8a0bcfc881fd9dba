// Package slidingwindow sums amounts over a window of time that ends now. It reads no clock: callers pass the time.
package slidingwindow

import "time"

// Sum holds amounts with the times at which they were added. The zero value is empty. It is not safe for concurrent
// use.
type Sum struct{ entries []entry }

type entry struct {
	at     time.Duration
	amount float64
}

// Add adds an amount. Times must not decrease between calls.
func (s *Sum) Add(now time.Duration, amount float64) {
	s.entries = append(s.entries, entry{at: now, amount: amount})
}

// Since returns the sum of the amounts added at or after a time, and discards earlier ones.
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
