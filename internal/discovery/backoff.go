package discovery

import "time"

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// backoff is the pause between connections: none at first, then doubling from minBackoff to maxBackoff.
type backoff struct{ pause time.Duration }

func (b *backoff) reset() { b.pause = 0 }

func (b *backoff) increase() { b.pause = min(maxBackoff, max(minBackoff, 2*b.pause)) }
