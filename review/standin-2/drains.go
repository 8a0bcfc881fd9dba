//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Figures of the cases about drains.
const (
	drainGrace    = 250 * time.Millisecond // guarantees.drainGrace of the site
	socketSlack   = 50 * time.Millisecond  // by which each limit is longer on sockets
	latestTold    = 7 * time.Second        // after which an event counts as told at the latest
	trafficWork   = 20 * time.Millisecond  // of each statement
	trafficLimit  = 6 * time.Second
	trafficStream = 8 // connections
)

// traffic is what a drainWorld serves.
type traffic struct {
	engines int
	every   time.Duration // between two statements in the mean
}

// usualTraffic is that of the site: about 98 statements a second on 6 to 8 engines.
var usualTraffic = traffic{engines: 6, every: time.Second / 98}

// drainWorld is a router with traffic, its engines and its feed.
type drainWorld struct {
	*world
	engines []*engine
	feed    *feed
	router  *router
	stop    chan struct{}
	clients sync.WaitGroup

	mu      sync.Mutex
	foreign int // answers with rows that no engine made for the statement
}

// startDrainWorld starts engines, a router that follows the feed, and traffic.
func startDrainWorld(w *world, f *feed, t traffic) (*drainWorld, error) {
	d := &drainWorld{world: w, feed: f, stop: make(chan struct{})}
	for i := range t.engines {
		e, err := w.startEngine(fmt.Sprintf("s-%d", i+1), trafficWork)
		if err != nil {
			return nil, err
		}
		d.engines = append(d.engines, e)
	}
	r, err := w.startRouter(routerConfig{name: "n1", feed: f.address(), engines: d.engines, memoryMB: 192, sockets: 1024,
		graceMS: int(drainGrace.Milliseconds()), classes: []class{{"lookup", "idempotent", int(trafficLimit.Milliseconds())}}})
	if err != nil {
		return nil, err
	}
	d.router = r
	for i := range trafficStream {
		c, err := dialRouter(r.address)
		if err != nil {
			return nil, err
		}
		d.clients.Go(func() { d.sendTraffic(c, i, t.every) })
	}
	return d, nil
}

// sendTraffic sends statements on one connection until the traffic is stopped.
func (d *drainWorld) sendTraffic(c *client, number int, every time.Duration) {
	defer c.close()
	var open sync.WaitGroup
	defer open.Wait() // before the connection is closed
	for i := 0; ; i++ {
		select {
		case <-d.stop:
			return
		case <-time.After(rand.N(2 * trafficStream * every)):
		}
		text := fmt.Sprintf("select a from sales_%d.t where b = %d", i%7, i)
		id, channel, err := c.send("lookup", trafficLimit, text)
		if err != nil {
			d.note("client %d: %v", number, err)
			return
		}
		d.note("client %d: %s sent", number, id)
		open.Go(func() { d.check(number, id, <-channel) })
	}
}

func (d *drainWorld) stopTraffic() {
	close(d.stop)
	d.clients.Wait()
}

// drain tells that an engine drains, waits, and returns how many statements were sent there after the grace, counted from when the
// event counts as told.
func (d *drainWorld) drain(drained *engine, toldWithin, wait time.Duration) (broken int) {
	told := d.feed.publish(drained.member("leaving"))
	time.Sleep(wait)
	limit := told.Add(toldWithin + drainGrace + socketSlack)
	for _, s := range drained.startsAfter(limit) {
		d.noteAt(s.first, "BREAK: %s sent to the draining engine %s, %v after the event and %v after the limit", s.id, drained.id,
			s.first.Sub(told).Round(time.Millisecond), s.first.Sub(limit).Round(time.Millisecond))
		broken++
	}
	after := len(drained.startsAfter(told))
	d.note("statements sent to %s after the event: %d, of these after the limit: %d", drained.id, after, broken)
	return broken
}

func init() {
	cases["feed-line-ends"] = feedLineEndsCase
	cases["slow-feed"] = slowFeedCase
}

// feedLineEndsCase has the control feed end its lines with CR, a form of server-sent events that is as valid as LF and CR LF.
func feedLineEndsCase(w *world) (broken int, err error) {
	lineEnd := "\n"
	if w.trouble {
		lineEnd = "\r"
	}
	f, err := w.startFeed(lineEnd, 0)
	if err != nil {
		return 0, err
	}
	d, err := startDrainWorld(w, f, usualTraffic)
	if err != nil {
		return 0, err
	}
	for _, drained := range d.engines[1:5] {
		time.Sleep(time.Second + rand.N(2*time.Second)) // at no chosen moment between two comments
		broken += d.drain(drained, 0, 2*time.Second)
	}
	d.stopTraffic()
	return broken, nil
}

// slowFeedAnswer is the time after which a slow control feed answers a call. It tells its events much sooner than the protocol's 7 s.
const slowFeedAnswer = 3 * time.Second

// lookLonger is how long the case goes on after the event counts as told.
const lookLonger = 20 * time.Second

// slowFeedCase has the control feed answer each call after 3 s, and an engine begins to drain later.
func slowFeedCase(w *world) (broken int, err error) {
	delay := time.Duration(0)
	if w.trouble {
		delay = slowFeedAnswer
	}
	f, err := w.startFeed("\n", delay)
	if err != nil {
		return 0, err
	}
	d, err := startDrainWorld(w, f, usualTraffic)
	if err != nil {
		return 0, err
	}
	time.Sleep(10 * time.Second)
	broken = d.drain(d.engines[0], latestTold, latestTold+lookLonger)
	d.stopTraffic()
	return broken, nil
}

// check records an answer that was not served, or whose rows no engine made for the statement.
func (d *drainWorld) check(number int, id string, a answer) {
	if a.code != codeServed {
		d.noteAt(a.at, "client %d: %s ended with code %d, %v", number, id, a.code, a.err)
		return
	}
	for _, e := range d.engines {
		if a.body == rowsOf(id, e.id) {
			d.noteAt(a.at, "client %d: %s served with the rows of %s", number, id, e.id)
			return
		}
	}
	d.noteAt(a.at, "client %d: FOREIGN rows for %s: %q", number, id, a.body)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.foreign++
}
