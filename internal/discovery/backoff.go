package discovery

import "time"

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// backoff computes the delay before the next connection: 0 at first, then doubling from minBackoff to maxBackoff.
type backoff struct{ delay time.Duration }

func (b *backoff) reset() { b.delay = 0 }

func (b *backoff) increase() { b.delay = min(maxBackoff, max(minBackoff, 2*b.delay)) }
