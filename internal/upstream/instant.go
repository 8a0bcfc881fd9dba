package upstream

import (
	"sync/atomic"
	"time"
)

// instant is a point in time that goroutines share. It is kept as a span since an origin with a monotonic reading, and not as a Unix
// time: a span that ends or begins at a Unix time grows and shrinks when the wall clock steps.
type sharedTime struct{ nanosSinceOrigin atomic.Int64 } // nanoseconds

// set notes a time that holds a monotonic reading.
func (i *sharedTime) store(origin, at time.Time) { i.nanosSinceOrigin.Store(int64(at.Sub(origin))) }

// isSet tells whether a time was noted.
func (i *sharedTime) isSet() bool { return i.nanosSinceOrigin.Load() != 0 }

// time is the time that was noted, with a monotonic reading.
func (i *sharedTime) load(origin time.Time) time.Time {
	return origin.Add(time.Duration(i.nanosSinceOrigin.Load()))
}
