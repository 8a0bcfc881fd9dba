//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds what a case has started, and its record.
type world struct {
	trouble bool
	dir     string // temporary folder, deleted at the end

	mu        sync.Mutex
	record    *os.File
	began     time.Time
	processes []*process
	listeners []net.Listener
}

func newWorld(record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: file, began: time.Now()}
	w.note("disruption: %v", w.trouble)
	return w, nil
}

// close ends all processes and closes all listeners.
func (w *world) close() {
	for _, p := range w.processes {
		p.kill()
	}
	for _, l := range w.listeners {
		l.Close()
	}
	os.RemoveAll(w.dir)
}

// note writes a line with the time since the start to the record.
func (w *world) note(format string, args ...any) { w.noteAt(time.Now(), format, args...) }

func (w *world) noteAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", at.Sub(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// listen returns a listener on a free port of a loopback address.
func (w *world) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		w.listeners = append(w.listeners, l)
	}
	return l, err
}

// process is a program of the project that a case has started.
type process struct {
	cmd    *exec.Cmd
	output string // file with its output
	ended  chan struct{}
}

// start runs a command line with a shell from the root of the repository, as the deploy file says, with variables added to the environment.
func (w *world) start(name, command string, env ...string) (*process, error) {
	output := filepath.Join(w.dir, name+".log")
	file, err := os.Create(output)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = os.Getenv("ROOT")
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout = file
	cmd.Stderr = file
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, output: output, ended: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.ended)
	}()
	w.processes = append(w.processes, p)
	return p, nil
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

func (p *process) kill() {
	if p.hasEnded() {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// lines returns the lines of the process's output that contain a text.
func (p *process) lines(text string) []string {
	raw, _ := os.ReadFile(p.output)
	var found []string
	for line := range bytes.Lines(raw) {
		if strings.Contains(string(line), text) {
			found = append(found, strings.TrimSpace(string(line)))
		}
	}
	return found
}

// class is a workload in the settings.
type class struct {
	name, effect string
	deadlineMS   int
}

// routerConfig describes a router of a small deployment. Its figures are those of the site ikeja-head-office unless a case says otherwise.
type routerConfig struct {
	name     string
	feed     string
	engines  []*engine
	memoryMB int
	sockets  int
	classes  []class
	graceMS  int // guarantees.drainGrace
}

func (c routerConfig) encode(listen string) []byte {
	var members, classes []any
	for _, e := range c.engines {
		members = append(members, e.member("active"))
	}
	for _, k := range c.classes {
		classes = append(classes, map[string]any{"name": k.name, "idempotency": k.effect, "objective": k.deadlineMS * 1000 / 4,
			"deadline": k.deadlineMS * 1000, "gain": 1, "aimStretch": 1.5, "lateShare": 0.3})
	}
	settings := map[string]any{
		"bounds": map[string]any{"mayCancel": true, "mayProbe": true, "secondCopies": true, "maxAttempts": 4, "maxOpen": 20000,
			"connectTimeout": 250000, "idleClose": 30000000},
		"classes": classes, "discovery": "pushed", "machineTypes": []string{"eight-core"}, "areas": []string{"ikeja-room"},
		"zone": "ikeja-room", "tick": 5000, "replicasOfMe": 1,
		"extra": map[string]any{"cpuOfKind": []int{8}, "ramOfKindMb": []int{32768}, "threadsByClass": []int{1}, "tellsEvery": 0,
			"onShortage": "wait"},
		"feedback": map[string]any{"via": "on_probe", "fields": []string{"depth"}},
		"guarantees": map[string]any{"drainGrace": c.graceMS * 1000, "coldShare": 0.31, "warmAfter": 15000000, "overloadFactor": 2,
			"fall": 1500000, "graceToAnswer": 20000},
	}
	config := map[string]any{
		"name": c.name, "listen": listen, "seed": "8c1f30d27a5be964", "feed": c.feed,
		"limits": map[string]any{"cores": 1.0, "memory_mb": c.memoryMB, "sockets": c.sockets},
		"known": map[string]any{"n": 1, "events": []any{map[string]any{"n": 1,
			"members": map[string]any{"revision": 1, "complete": true, "members": members}}}},
		"settings": settings,
	}
	raw, _ := json.MarshalIndent(config, "", " ") // maps of plain values can be encoded
	return raw
}

// router is a running router.
type router struct {
	*process
	address string
}

// startRouter starts a router by the deploy file's run command and waits until it is ready.
func (w *world) startRouter(c routerConfig, env ...string) (*router, error) {
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := reserved.Addr().String()
	reserved.Close()
	file := filepath.Join(w.dir, c.name+".json")
	if err := os.WriteFile(file, c.encode(address), 0o600); err != nil {
		return nil, err
	}
	env = append(env, "LB_CONFIG="+file, "LB_NAME="+c.name, "LB_LISTEN="+address, "LB_LOG_LEVEL="+os.Getenv("REVIEW_LOG"))
	p, err := w.start(c.name, os.Getenv("RUN"), env...)
	if err != nil {
		return nil, err
	}
	r := &router{process: p, address: address}
	for range 300 {
		if p.hasEnded() {
			break
		}
		if r.isReady() {
			w.note("router %s is ready at %s", c.name, address)
			return r, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, fmt.Errorf("router %s is not ready: %v", c.name, p.lines(""))
}

func (r *router) isReady() bool {
	c, err := dialRouter(r.address)
	if err != nil {
		return false
	}
	defer c.close()
	return c.ready(time.Second)
}
