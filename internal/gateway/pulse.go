package gateway

import (
	"sync/atomic"
	"time"
)

const (
	heldUp  = 250 * time.Millisecond // without a beat: the router did not run
	catchUp = 4                      // one part in so many of that is given to reading what came meanwhile, once it runs again
)

// pulse guards against a router that was held up, stopped or without its core: what it then finds came while it stood, and its
// client's time has been running since. One goroutine beats.
type pulse struct{ beat, from, until atomic.Int64 } // on the module's clock

// strike is a beat.
func (p *pulse) strike(now time.Duration) {
	if last := time.Duration(p.beat.Load()); last > 0 && now-last > heldUp {
		p.from.Store(int64(last))
		p.until.Store(int64(now + (now-last)/catchUp))
	}
	p.beat.Store(int64(now))
}

// arrived is the earliest time at which what is read now may have come.
func (p *pulse) arrived(now time.Duration) time.Duration {
	if last := time.Duration(p.beat.Load()); last > 0 && now-last > heldUp {
		return last
	}
	if now < time.Duration(p.until.Load()) {
		return time.Duration(p.from.Load())
	}
	return now
}
