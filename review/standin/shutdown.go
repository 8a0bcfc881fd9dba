//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["shutdown"] = shutdownCase }

// shutdownCase: the control feed is down for 8 s. In this time one of two routers stalls for half a second, and a second later both are told to
// end, as in a planned restart. Each must answer what it has taken before it ends. This is done in rounds, with new routers each.
func shutdownCase(p *platform) string {
	const rounds, outage, suspension, requests = 2, 8 * time.Second, 300 * time.Millisecond, 10
	lost := 0
	run := func(start) (time.Duration, int) { return 12 * time.Second, 0 } // longer than a shutdown takes
	var members []member
	for i := range 6 {
		members = append(members, newEngine(p.record, fmt.Sprintf("s-%d", i+1), run).member("active"))
	}
	for round := range rounds {
		f := newFeed(p.record, members...)
		var routers []*router
		var clients []*client
		for i := range 2 {
			x := p.startRouter(fmt.Sprintf("n%d%d", round+1, i+1), settings(), f, "LB_LOG_LEVEL="+os.Getenv("ROUTER_LOG"))
			awaitReady(p.record, x.address)
			c, err := dial(p.record, x.address)
			must(err)
			routers, clients = append(routers, x), append(clients, c)
		}
		time.Sleep(300 * time.Millisecond)
		began := time.Now()
		if trouble {
			f.close()
			p.line("the feed is down")
			time.Sleep(700 * time.Millisecond)
			routers[0].signal(syscall.SIGSTOP)
			p.line("%s is stopped", routers[0].name)
			time.Sleep(suspension)
			routers[0].signal(syscall.SIGCONT)
			p.line("%s goes on", routers[0].name)
		}
		time.Sleep(500 * time.Millisecond)
		id := func(router, i int) string { return fmt.Sprintf("%016x", 0x10000*(round+1)+0x1000*(router+1)+i) }
		for i := range requests {
			for n, c := range clients {
				if i%2 == 0 {
					c.send(id(n, i), "report", 14*time.Second, 3*time.Second, fmt.Sprintf("select a, b, c from sales_%d.orders where n = %d", i, n))
				} else {
					c.send(id(n, i), "price-load", 20*time.Second, 4*time.Second, fmt.Sprintf("insert into prices_%d.items select a from staging.items where n = %d", i, n))
				}
			}
		}
		time.Sleep(500 * time.Millisecond)
		for _, x := range routers {
			x.signal(syscall.SIGTERM)
		}
		p.line("the routers are told to end (SIGTERM)")
		var ended sync.WaitGroup
		for _, x := range routers {
			ended.Go(func() {
				select {
				case <-x.done:
					p.line("%s has ended", x.name)
				case <-time.After(4500 * time.Millisecond):
					p.line("%s has not ended", x.name)
				}
			})
		}
		ended.Wait()
		time.Sleep(200 * time.Millisecond) // for what is still in the sockets
		for n, c := range clients {
			for i := range requests {
				if _, ok := c.answerTo(id(n, i)); !ok {
					lost++
					p.line("request %s, taken 0.5 s before SIGTERM, has no answer from %s", id(n, i), routers[n].name)
				}
			}
			c.conn.Close()
		}
		if trouble {
			time.Sleep(time.Until(began.Add(outage)))
			f.open()
			p.line("the feed is up")
		}
		f.close()
	}
	if lost > 0 {
		return fmt.Sprintf("%d of %d requests that routers had taken were never answered", lost, rounds*2*requests)
	}
	return ""
}
