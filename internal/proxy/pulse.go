package proxy

import (
	"sync/atomic"
	"time"
)

const (
	heldUp  = 250 * time.Millisecond // without a beat: the router did not run
	catchUp = 4                      // one part in so many of that is given to reading what came meanwhile, once it runs again

	catchUpMost = 250 * time.Millisecond // and no more: what comes fresh then is taken to be old

	listFirst = 500 * time.Millisecond // at most, for what the control feed has told meanwhile: a long list on a slow core
	listLook  = time.Millisecond
)

// pulse guards against a router that was held up, stopped or without its core: what it then finds came while it stood, and its
// client's time has been running since. One goroutine beats.
type pulse struct{ beat, from, until atomic.Int64 } // on the module's clock

// strike is a beat. It tells whether the router was held up before it.
func (p *pulse) strike(now time.Duration) (stood bool) {
	last := time.Duration(p.beat.Load())
	if stood = last > 0 && now-last > heldUp; stood {
		p.from.Store(int64(last))
		p.until.Store(int64(now + min(catchUpMost, (now-last)/catchUp)))
	}
	p.beat.Store(int64(now))
	return stood
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

// hearList waits, where the router was held up just now, until what the control feed told meanwhile has come: nothing is decided, and
// nothing begins, on a list that old. The feed may have read it in the instant of the look, so there is one look more.
func (g *Router) hearList() {
	if now := g.now(); g.pulse.arrived(now) == now {
		return
	}
	for until, over := time.Now().Add(listFirst), false; !over && time.Now().Before(until); time.Sleep(listLook) {
		over = !g.follow.HasUnreadEvents()
	}
}
