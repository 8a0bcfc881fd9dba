//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["gone"] = goneCase }

// goneCase: a router is suspended while attempts that it decided on have not begun. Meanwhile the clients of these requests leave. After it
// goes on, the router must not begin an attempt for them.
func goneCase(p *platform) string {
	var mu sync.Mutex
	var starts []start
	first := make(chan struct{}, 1)
	decideStart := func(s start) (time.Duration, int) {
		mu.Lock()
		defer mu.Unlock()
		starts = append(starts, s)
		select {
		case first <- struct{}{}:
		default:
		}
		return 1500 * time.Millisecond, 0
	}
	var joining []member
	for i := range 6 {
		joining = append(joining, newEngine(p.record, fmt.Sprintf("s-%d", i+1), decideStart).member("active"))
	}
	old := newEngine(p.record, "s-0", decideStart)
	f := newFeed(p.record, old.member("leaving"))
	x := p.startRouter("n1", settings(), f, "LB_LOG_LEVEL="+os.Getenv("ROUTER_LOG"))
	awaitReady(p.record, x.address)
	time.Sleep(time.Second)
	var clients []*client
	for range 4 {
		c, err := dial(p.record, x.address)
		must(err)
		clients = append(clients, c)
	}
	for i := range 120 {
		id, c := fmt.Sprintf("%016x", 0x1000+i), clients[i%4]
		if i/4%2 == 0 {
			c.send(id, "price-load", 15*time.Second, 500*time.Millisecond, fmt.Sprintf("insert into prices_%d.items select a, b, c from staging.items where n = %d", i%40, i))
		} else {
			c.send(id, "report", 15*time.Second, 500*time.Millisecond, fmt.Sprintf("select a, b, c from sales_%d.orders where n = %d", i%40, i))
		}
	}
	time.Sleep(300 * time.Millisecond)
	f.publish(false, joining...)
	select {
	case <-first:
	case <-time.After(5 * time.Second):
		require(false, "no start")
	}
	if trouble {
		x.signal(syscall.SIGSTOP)
		p.line("n1 is stopped")
		time.Sleep(50 * time.Millisecond)
	}
	for _, c := range clients {
		c.conn.Close()
	}
	left := time.Now()
	p.line("the clients have closed their connections")
	time.Sleep(2 * time.Second)
	if trouble {
		x.signal(syscall.SIGCONT)
		p.line("n1 goes on")
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	late, lateLoads := 0, 0
	for _, s := range starts {
		if s.at.After(left.Add(100 * time.Millisecond)) {
			late++
			if s.class == "price-load" {
				lateLoads++
			}
			p.line("start of %s (%s) at %s, %v after its client left", s.id, s.class, s.engine, s.at.Sub(left).Round(time.Millisecond))
		}
	}
	p.line("starts: %d, of which %d for clients that had left", len(starts), late)
	if late > 0 {
		return fmt.Sprintf("%d attempts (%d of them loads, which must never run twice) began more than 0.1 s after their client had left", late, lateLoads)
	}
	return ""
}
