//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// record is the text of record.txt: what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cannotRun ends the case: it could not run, which is neither a pass nor a failure.
type cannotRun struct{ reason string }

func must(err error) {
	if err != nil {
		panic(cannotRun{err.Error()})
	}
}

func require(ok bool, format string, args ...any) {
	if !ok {
		panic(cannotRun{fmt.Sprintf(format, args...)})
	}
}

// await polls a condition until it holds, or gives the case up.
func await(what string, within time.Duration, holds func() bool) {
	deadline := time.Now().Add(within)
	for !holds() {
		require(time.Now().Before(deadline), "no %s within %v", what, within)
		time.Sleep(2 * time.Millisecond)
	}
}

// platform starts the project's programs in a temporary folder and ends them all at the end.
type platform struct {
	*record
	dir       string
	mu        sync.Mutex
	processes []*process
}

// process is a process that the case started, with its own group, so that all of it can be ended.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *platform) start(name, command string, env ...string) *process {
	log, err := os.Create(filepath.Join(p.dir, name+".log"))
	must(err)
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	started := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		cmd.Wait()
		log.Close()
		close(started.done)
	}()
	p.mu.Lock()
	p.processes = append(p.processes, started)
	p.mu.Unlock()
	p.line("%s is started: %s", name, command)
	return started
}

// signal sends a signal to the process that `exec` left in the place of the shell.
func (p *process) signal(s syscall.Signal) { must(p.cmd.Process.Signal(s)) }

func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stop ends all processes.
func (p *platform) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, started := range p.processes {
		syscall.Kill(-started.cmd.Process.Pid, syscall.SIGKILL)
		<-started.done
	}
}

// deployCommand returns a command of the deploy file.
func deployCommand(key string) string {
	raw, err := os.ReadFile("deploy/balancer.toml")
	must(err)
	found := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(raw)
	require(found != nil, "deploy/balancer.toml has no %s", key)
	return string(found[1])
}

var usedPorts = map[int]bool{}

// freeAddress returns a free address on loopback, below the ports that the kernel gives to outgoing connections.
func freeAddress() string {
	for {
		port := 10000 + rand.IntN(20000)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil || usedPorts[port] {
			continue
		}
		listener.Close()
		usedPorts[port] = true
		return address
	}
}

// router is a router's process and its address for clients.
type router struct {
	*process
	name    string
	address string
}

// startRouter starts a router as the platform does. known is the first event of the control feed.
func (p *platform) startRouter(name string, settings map[string]any, f *feed, extraEnv ...string) *router {
	address := freeAddress()
	config := map[string]any{
		"name": name, "listen": address, "seed": fmt.Sprintf("8c1f30d27a5be9%02x", name[len(name)-1]),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"feed":     f.address,
		"known":    map[string]any{"n": 1, "events": []json.RawMessage{f.first()}},
		"settings": settings,
	}
	raw, err := json.MarshalIndent(config, "", " ")
	must(err)
	path := filepath.Join(p.dir, name+".json")
	must(os.WriteFile(path, raw, 0o644))
	env := append([]string{"LB_CONFIG=" + path, "LB_NAME=" + name, "LB_LISTEN=" + address, "TMPDIR=" + p.dir}, extraEnv...)
	return &router{process: p.start(name, deployCommand("run"), env...), name: name, address: address}
}
