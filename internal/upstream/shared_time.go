package upstream

import (
	"sync/atomic"
	"time"
)

// sharedTime is a point in time that is safe for concurrent use. It is stored as the duration since an origin with a
// monotonic reading rather than as a Unix time, since the difference between two Unix times changes when the wall clock is
// stepped.
type sharedTime struct{ nanosSinceOrigin atomic.Int64 }

// store sets the time; at must have a monotonic reading.
func (t *sharedTime) store(origin, at time.Time) { t.nanosSinceOrigin.Store(int64(at.Sub(origin))) }

// isSet reports whether a time was stored.
func (t *sharedTime) isSet() bool { return t.nanosSinceOrigin.Load() != 0 }

// load returns the stored time, with a monotonic reading.
func (t *sharedTime) load(origin time.Time) time.Time {
	return origin.Add(time.Duration(t.nanosSinceOrigin.Load()))
}
