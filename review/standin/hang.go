//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hang"] = hangCase }

// engineEvent is what an engine in a process of its own tells of a run.
type engineEvent struct {
	Engine, What, ID, Class string
	At                      time.Time
}

// serveEngine is an engine in a process of its own. It writes its events to standard output.
func serveEngine(id, address string, run time.Duration) {
	listener, err := net.Listen("tcp", address)
	must(err)
	var mu sync.Mutex
	out := json.NewEncoder(os.Stdout)
	null, _ := os.Open(os.DevNull)
	e := &engine{id: id, address: address, queries: map[string]*query{}, log: &record{file: null, start: time.Now()}}
	tell := func(what, id, class string) {
		mu.Lock()
		defer mu.Unlock()
		out.Encode(engineEvent{e.id, what, id, class, time.Now()})
	}
	e.decide = func(s start) (time.Duration, int) { tell("start", s.id, s.class); return run, 0 }
	e.over = func(id, why string) { tell(why, id, "") }
	http.Serve(listener, e)
}

type engineProcess struct {
	member member
	cmd    *exec.Cmd
}

func (p *platform) startEngineProcess(id string, run time.Duration, tell func(engineEvent)) *engineProcess {
	address := freeAddress()
	cmd := exec.Command(os.Args[0], "engine", id, address, run.String())
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	must(err)
	must(cmd.Start())
	started := &process{name: id, cmd: cmd, done: make(chan struct{})}
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var event engineEvent
			if json.Unmarshal(lines.Bytes(), &event) == nil {
				tell(event)
			}
		}
		cmd.Wait()
		close(started.done)
	}()
	p.mu.Lock()
	p.processes = append(p.processes, started)
	p.mu.Unlock()
	await("engine", 5*time.Second, func() bool {
		c, err := net.Dial("tcp", address)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	return &engineProcess{member{ID: id, HostPort: address, Locality: "east", Flavor: "std", Phase: "active", Size: 16}, cmd}
}

func hangCase(p *platform) string {
	const hang, run = 6 * time.Second, 8 * time.Second
	var mu sync.Mutex
	var events []engineEvent
	tell := func(e engineEvent) {
		mu.Lock()
		events = append(events, e)
		mu.Unlock()
		p.line("%s: %s %s at %.3f", e.Engine, e.What, e.ID, e.At.Sub(p.record.start).Seconds())
	}
	var engines []*engineProcess
	var members []member
	for i := range 6 {
		engines = append(engines, p.startEngineProcess(fmt.Sprintf("s-%d", i+1), run, tell))
		members = append(members, engines[i].member)
	}
	f := newFeed(p.record, members...)
	x := p.startRouter("n1", settings(), f, "LB_LOG_LEVEL="+os.Getenv("ROUTER_LOG"))
	awaitReady(p.record, x.address)
	c, err := dial(p.record, x.address)
	must(err)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		engines[0].cmd.Process.Signal(syscall.SIGSTOP)
		p.line("s-1 hangs")
	}
	for i := range 24 {
		c.send(fmt.Sprintf("%016x", 0x1000+i), "report", 25*time.Second, 7*time.Second, fmt.Sprintf("select a, b, c from sales_%d.orders where n = %d", i, i))
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(hang - 240*time.Millisecond)
	resumed := time.Now()
	if trouble {
		engines[0].cmd.Process.Signal(syscall.SIGCONT)
		p.line("s-1 goes on")
	}
	time.Sleep(7 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	type span struct {
		engine   string
		from, to time.Time
	}
	spans := map[string][]span{}
	for _, e := range events {
		if e.What == "start" {
			spans[e.ID] = append(spans[e.ID], span{e.Engine, e.At, time.Now()})
			continue
		}
		for i := range spans[e.ID] {
			if s := &spans[e.ID][i]; s.engine == e.Engine && e.At.Before(s.to) {
				s.to = e.At
			}
		}
	}
	twice := 0
	for id, all := range spans {
		for _, a := range all {
			for _, b := range all {
				if a.engine != b.engine && a.from.After(resumed) && b.from.Before(a.from) && b.to.After(a.from) {
					twice++
					p.line("%s is begun at %s while it runs at %s, for %v", id, a.engine, b.engine, a.to.Sub(a.from).Round(time.Millisecond))
				}
			}
		}
	}
	p.line("requests begun: %d, begun again while they ran elsewhere: %d", len(spans), twice)
	if twice > 0 {
		return fmt.Sprintf("%d requests were begun at an engine while they ran at another", twice)
	}
	return ""
}
