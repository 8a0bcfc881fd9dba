//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["outage"] = outageCase }

// outageCase: the control feed is down for 8 s. An engine begins to drain right after the outage has begun; its event is in the feed.
func outageCase(p *platform) string {
	const outage, tellLimit, slack = 8 * time.Second, 7 * time.Second, 50 * time.Millisecond
	const grace = 250 * time.Millisecond
	var mu sync.Mutex
	var starts []start
	decideStart := func(s start) (time.Duration, int) {
		mu.Lock()
		defer mu.Unlock()
		starts = append(starts, s)
		if s.class == "price-load" {
			return 2500 * time.Millisecond, 0
		}
		return 150 * time.Millisecond, 0
	}
	var engines []*engine
	var members []member
	for i := range 6 {
		engines = append(engines, newEngine(p.record, fmt.Sprintf("s-%d", i+1), decideStart))
		members = append(members, engines[i].member("active"))
	}
	f := newFeed(p.record, members...)
	config := settings()
	config["guarantees"].(map[string]any)["drainGrace"] = grace.Microseconds()
	x := p.startRouter("n1", config, f, "LB_LOG_LEVEL="+os.Getenv("ROUTER_LOG"))
	awaitReady(p.record, x.address)
	c, err := dial(p.record, x.address)
	must(err)
	end := time.Now().Add(14 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; time.Now().Before(end); i++ {
			if i%20 == 0 {
				c.send(fmt.Sprintf("%016x", 0x1000+i), "price-load", 12*time.Second, 2500*time.Millisecond, fmt.Sprintf("insert into prices_%d.items select a from staging.items where n = %d", i%40, i))
			} else {
				c.send(fmt.Sprintf("%016x", 0x1000+i), "lookup", 4*time.Second, 150*time.Millisecond, fmt.Sprintf("select a, b, c from sales_%d.orders where n = %d", i%40, i))
			}
			time.Sleep(15 * time.Millisecond)
		}
	}()
	time.Sleep(2 * time.Second)
	if trouble {
		f.close()
		p.line("the feed is down")
	}
	drained := time.Now()
	f.publish(false, engines[0].member("leaving"))
	time.Sleep(outage)
	if trouble {
		f.open()
		p.line("the feed is up")
	}
	<-done
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	late, lateLoads := 0, 0
	limit := drained.Add(tellLimit + grace + slack)
	for _, s := range starts {
		if s.engine == engines[0].id && s.at.After(limit) {
			late++
			if s.class == "price-load" {
				lateLoads++
			}
			p.line("start of %s (%s) at %s, %v after its drain was in the feed", s.id, s.class, s.engine, s.at.Sub(drained).Round(time.Millisecond))
		}
	}
	if late > 0 {
		return fmt.Sprintf("%d statements (%d of them loads) were sent to a draining engine later than %v after its drain was in the feed", late, lateLoads, tellLimit+grace+slack)
	}
	return ""
}
