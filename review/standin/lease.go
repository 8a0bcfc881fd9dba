//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lease"] = leaseCase }

// leaseCase: requests wait for a further execution, which the version in force does not allow. The operators allow it, the router decides on
// these attempts, and is suspended while most of them have not begun. Meanwhile its lease ends, and the operators take the version back.
// After it goes on, the router must not send what it had decided under the lease.
func leaseCase(p *platform) string {
	const stall = 1900 * time.Millisecond
	g := p.startGroup()
	g.propose(0)

	var mu sync.Mutex
	starts := map[string]int{}
	var again []start // starts beyond a request's first
	firstAgain := make(chan struct{}, 1)
	decideStart := func(s start) (time.Duration, int) {
		mu.Lock()
		defer mu.Unlock()
		starts[s.id]++
		if starts[s.id] == 1 {
			return 0, http.StatusServiceUnavailable
		}
		again = append(again, s)
		select {
		case firstAgain <- struct{}{}:
		default:
		}
		return 500 * time.Millisecond, 0
	}
	var engines []*engine
	var members []member
	for i := range 6 {
		e := newEngine(p.record, fmt.Sprintf("s-%d", i+1), decideStart)
		engines = append(engines, e)
		members = append(members, e.member("active"))
	}
	f := newFeed(p.record, members...)
	config := settings()
	guarantees := config["guarantees"].(map[string]any)
	guarantees["ratioSpan"], guarantees["budgetFree"], guarantees["budgetShare"] = 10000000, 0, 0
	control := filepath.Join(p.dir, "control.json")
	raw, _ := json.Marshal(map[string]any{"addresses": []string{g.client}, "term_ms": 1000, "renew_ms": 200, "answer_ms": 200})
	must(os.WriteFile(control, raw, 0o644))
	x := p.startRouter("n1", config, f, "LB_CONTROL="+control, "LB_LOG_LEVEL="+os.Getenv("ROUTER_LOG"))
	y := p.startRouter("n2", config, f, "LB_CONTROL="+control)
	awaitReady(p.record, x.address)
	awaitReady(p.record, y.address)
	await("leases", 10*time.Second, func() bool { s, err := g.status(); return err == nil && len(s.Sessions) == 2 })
	time.Sleep(time.Second)

	var clients []*client
	for range 4 {
		c, err := dial(p.record, x.address)
		must(err)
		clients = append(clients, c)
	}
	const requests = 80
	for i := range requests {
		clients[i%4].send(fmt.Sprintf("%016x", 0x1000+i), "report", 15*time.Second, 500*time.Millisecond, fmt.Sprintf("select a, b, c from sales_%d.orders where n = %d", i%8, i))
	}
	time.Sleep(time.Second)
	go g.propose(1000)
	select {
	case <-firstAgain:
	case <-time.After(5 * time.Second):
		require(false, "no further execution under the version that allows 1,000 of them")
	}
	stopped := time.Now()
	if trouble {
		x.signal(syscall.SIGSTOP)
		p.line("n1 is stopped")
	}
	proposed := make(chan struct{})
	go func() {
		defer close(proposed)
		g.propose(0)
	}()
	var state groupStatus
	await("version 3 at n2", 5*time.Second, func() bool {
		state, _ = g.status()
		return state.knows("n2", 3)
	})
	received := time.Now() // n2 received it no later than this
	bound := time.Duration(state.TMillis) * time.Millisecond
	p.line("n2 has a lease on version 3, which allows no further execution; T is %v", bound)
	<-proposed
	p.line("version 3 is in force, %v after n1 was stopped", time.Since(stopped).Round(time.Millisecond))
	time.Sleep(time.Until(stopped.Add(stall)))
	require(time.Now().After(received.Add(bound)), "T has not passed")
	if trouble {
		x.signal(syscall.SIGCONT)
		p.line("n1 goes on; T has passed")
	}
	time.Sleep(4 * time.Second)
	state, err := g.status()
	must(err)
	p.line("sessions %v", state.Sessions)
	require(!x.exited() && !y.exited(), "a router has ended")

	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, s := range again {
		if s.at.After(received.Add(bound)) {
			late++
			p.line("further execution of %s at %s, %v after n2 had received the version that forbids it", s.id, s.engine, s.at.Sub(received).Round(time.Millisecond))
		}
	}
	p.line("further executions: %d, of which %d after T", len(again), late)
	if late > 0 {
		return fmt.Sprintf("%d further executions were sent more than T (%v) after another router had received the version that forbids them", late, bound)
	}
	return ""
}
