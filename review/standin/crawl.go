//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["crawl"] = crawlCase }

// cancel sends type 9 for a request.
func (c *client) cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for stream, sent := range c.ids {
		if sent == id {
			c.conn.Write(frame(frameCancel, stream, nil))
		}
	}
}

// crawlCase: the control feed is down for 8 s; in its first second the router is suspended for 0.3 s. Some clients cancel early, before, during
// and after that.
func crawlCase(p *platform) string {
	const outage, suspension, allowed = 8 * time.Second, 300 * time.Millisecond, 100 * time.Millisecond
	var mu sync.Mutex
	starts := map[string]start{}
	decideStart := func(s start) (time.Duration, int) {
		mu.Lock()
		defer mu.Unlock()
		starts[s.id] = s
		if s.class == "price-load" {
			return time.Second, 0
		}
		return 400 * time.Millisecond, 0
	}
	var members []member
	for i := range 6 {
		members = append(members, newEngine(p.record, fmt.Sprintf("s-%d", i+1), decideStart).member("active"))
	}
	f := newFeed(p.record, members...)
	x := p.startRouter("n1", settings(), f, "LB_LOG_LEVEL="+os.Getenv("ROUTER_LOG"))
	awaitReady(p.record, x.address)
	c, err := dial(p.record, x.address)
	must(err)
	sentAt, cancelledAt := map[string]time.Time{}, map[string]time.Time{}
	end := time.Now().Add(13 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		random := rand.New(rand.NewPCG(1, 2))
		for i := 0; time.Now().Before(end); i++ {
			id := fmt.Sprintf("%016x", 0x1000+i)
			mu.Lock()
			sentAt[id] = time.Now()
			mu.Unlock()
			if i%10 < 2 {
				c.send(id, "price-load", 15*time.Second, time.Second, fmt.Sprintf("insert into prices_%d.items select a from staging.items where n = %d", i%40, i))
			} else {
				c.send(id, "lookup", 4*time.Second, 400*time.Millisecond, fmt.Sprintf("select a, b, c from sales_%d.orders where n = %d", i%40, i))
			}
			if i%5 == 0 { // a fifth of the clients cancel early
				time.AfterFunc(150*time.Millisecond, func() {
					c.cancel(id)
					mu.Lock()
					cancelledAt[id] = time.Now()
					mu.Unlock()
					p.line("client: cancels %s", id)
				})
			}
			time.Sleep(time.Duration(10+random.IntN(60)) * time.Millisecond)
		}
	}()
	time.Sleep(2 * time.Second)
	if trouble {
		f.close()
		p.line("the feed is down")
	}
	time.Sleep(700 * time.Millisecond)
	var resumed time.Time
	if trouble {
		x.signal(syscall.SIGSTOP)
		p.line("n1 is stopped")
		time.Sleep(suspension)
		x.signal(syscall.SIGCONT)
		resumed = time.Now()
		p.line("n1 goes on")
	}
	time.Sleep(outage - 700*time.Millisecond - suspension)
	if trouble {
		f.open()
		p.line("the feed is up")
	}
	<-done
	time.Sleep(2 * time.Second)
	require(!x.exited(), "the router has ended")
	mu.Lock()
	defer mu.Unlock()
	late, lateLoads, cancelled, answered := 0, 0, 0, 0
	var waited time.Duration
	for id, at := range cancelledAt {
		cancelled++
		s, ok := starts[id]
		if ok && s.at.After(at.Add(allowed)) && !(trouble && at.Before(resumed)) { // what was cancelled during the suspension is left out
			late++
			if s.class == "price-load" {
				lateLoads++
			}
			p.line("start of %s (%s) at %s, %v after its cancel", id, s.class, s.engine, s.at.Sub(at).Round(time.Millisecond))
		}
	}
	for id, at := range sentAt {
		if a, ok := c.answerTo(id); ok && starts[id].class == "lookup" {
			answered++
			waited += a.at.Sub(at)
		}
	}
	p.line("requests: %d, cancelled: %d, of which begun more than %v later: %d; mean time of %d answered lookups: %v",
		len(sentAt), cancelled, allowed, late, answered, (waited / time.Duration(max(1, answered))).Round(time.Millisecond))
	if late > 0 {
		return fmt.Sprintf("of %d requests that their clients cancelled, attempts for %d (%d of them loads) began more than %v later", cancelled, late, lateLoads, allowed)
	}
	return ""
}
