// Package span sums amounts over a sliding span of time.
package slidingwindow

import "time"

type entry struct {
	at     time.Duration
	amount float64
}

// Sum holds amounts by the time they were added; its zero value is empty.
type Sum struct{ entries []entry }

// Add adds an amount now.
func (s *Sum) Add(now time.Duration, amount float64) {
	s.entries = append(s.entries, entry{now, amount})
}

// Over drops what was added before from, and returns the sum of the rest.
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
