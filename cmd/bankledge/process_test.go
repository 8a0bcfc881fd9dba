package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
	"bankledge/internal/logevent"
)

// testTimeout limits the wait for an expected event. A test that passes does not wait so long.
const testTimeout = 15 * time.Second

// builtProgram is the path of the program under test, built with the race detector.
var builtProgram string

// TestMain builds the program under test.
func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "bankledge")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	builtProgram = filepath.Join(dir, "bankledge")
	if out, err := exec.Command("go", "build", "-race", "-o", builtProgram, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// longDeadlineSettings let requests wait for seconds, since an answer after the SLO time still counts. The workloads are lookup, which is
// idempotent, and load, which is not.
const longDeadlineSettings = `{"bounds":{"mayCancel":true,"mayProbe":true,"maxAttempts":5,"maxOpen":1000,"connectTimeout":250000,"idleClose":15000000},
	"classes":[{"name":"lookup","idempotency":"idempotent","objective":2000000,"deadline":9000000,"gain":1,"lateShare":0.5},
		{"name":"load","idempotency":"at_most_once","objective":2000000,"deadline":9000000,"gain":1,"lateShare":0.5}],
	"discovery":"pushed","extra":{"cpuOfKind":[8],"ramOfKindMb":[32000],"threadsByClass":[1,2],"waitsForLoads":[true,false],
		"writesTables":[false,true],"tellsEvery":200000,"onShortage":"page"},
	"feedback":{"fields":["concurrent","load_share"],"via":"inline"},"guarantees":{"drainGrace":1000000},
	"machineTypes":["k"],"orgs":[{"name":"acme","quotaPerS":100}],"tick":1000,"zone":"z"}`

// routerConfig is the part of a router's configuration that tests choose.
type routerConfig struct {
	feed     *fakes.ControlFeed
	settings string
	memoryMB int
	sockets  int
	members  []string // of the endpoint list that the router knows at its start
}

// longDeadlineConfig returns a configuration with longDeadlineSettings and the given engines.
func longDeadlineConfig(feed *fakes.ControlFeed, engines ...*engine) routerConfig {
	return routerConfig{feed: feed, settings: longDeadlineSettings, memoryMB: 192, sockets: 256, members: activeMembers(engines)}
}

// smallConfig returns a configuration with the given settings for a machine with little memory.
func smallConfig(feed *fakes.ControlFeed, settings string, members ...string) routerConfig {
	return routerConfig{feed: feed, settings: settings, memoryMB: 64, sockets: 256, members: members}
}

// write writes the configuration to a new file and returns the file's path.
func (c routerConfig) write(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	text := fakes.Config(c.feed.Server.Listener.Addr().String(), c.settings, c.memoryMB, c.sockets, c.members...)
	require.NoError(t, os.WriteFile(path, text, 0o600))
	return path
}

// routerProcess is a running process of the router program.
type routerProcess struct {
	cmd        *exec.Cmd
	configFile string
	address    string // for clients, from the program's log
	log        *logBuffer
	exited     chan error
}

// startRouter starts the program and waits until it is ready.
func startRouter(t *testing.T, config routerConfig) *routerProcess {
	t.Helper()
	r := startProcess(t, exec.Command(builtProgram, "serve"), config)
	r.awaitReady(t)
	return r
}

// startProcess starts the router by a command and waits until it serves. The process is killed when the test ends; its log must not
// show a data race, a panic or a violated invariant.
func startProcess(t *testing.T, command *exec.Cmd, config routerConfig, environment ...string) *routerProcess {
	t.Helper()
	r := &routerProcess{cmd: command, configFile: config.write(t), log: &logBuffer{}, exited: make(chan error, 1)}
	command.Env = append(append(os.Environ(), "LB_CONFIG="+r.configFile), environment...)
	pipe, err := command.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	address := make(chan string, 1)
	go func() {
		for lines := bufio.NewScanner(pipe); lines.Scan(); {
			r.log.add(lines.Text())
			var line struct{ Msg, Listen string }
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == logevent.Serving {
				address <- line.Listen
			}
		}
		r.exited <- command.Wait()
	}()
	t.Cleanup(func() { r.killAndCheckLog(t) })
	select {
	case r.address = <-address:
	case <-time.After(testTimeout):
		t.Fatal("the program did not begin to serve")
	}
	return r
}

func (r *routerProcess) killAndCheckLog(t *testing.T) {
	if r.cmd.Process.Kill() == nil {
		<-r.exited
	}
	assert.NotContains(t, r.log.String(), "DATA RACE")
	assert.NotContains(t, r.log.String(), "panic")
	assert.NotContains(t, r.log.String(), logevent.InvariantViolated)
	if t.Failed() {
		t.Log(r.log.String())
	}
}

func (r *routerProcess) awaitReady(t *testing.T) {
	t.Helper()
	c, err := fakes.Dial(r.address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.AwaitReady(testTimeout))
}

func (r *routerProcess) signal(t *testing.T, signal os.Signal) {
	t.Helper()
	require.NoError(t, r.cmd.Process.Signal(signal))
}

// stop starts a graceful shutdown.
func (r *routerProcess) stop(t *testing.T) {
	t.Helper()
	r.signal(t, syscall.SIGTERM)
}

// awaitExit waits until the process has exited without an error.
func (r *routerProcess) awaitExit(t *testing.T) {
	t.Helper()
	select {
	case err := <-r.exited:
		require.NoError(t, err)
		r.exited <- nil
	case <-time.After(testTimeout):
		t.Fatal("the program did not exit")
	}
}

// suspend stops the process with SIGSTOP and returns when all of its threads have stopped.
func (r *routerProcess) suspend(t *testing.T) {
	t.Helper()
	r.signal(t, syscall.SIGSTOP)
	require.Eventually(t, func() bool {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", r.cmd.Process.Pid))
		require.NoError(t, err)
		for _, thread := range threads {
			if isRunning(thread) {
				return false
			}
		}
		return len(threads) > 0
	}, testTimeout, time.Millisecond)
}

// isRunning reports whether a thread is not stopped, according to its stat file. A thread that has ended has no stat file.
func isRunning(statFile string) bool {
	stat, err := os.ReadFile(statFile)
	if err != nil {
		return false
	}
	_, rest, found := strings.Cut(string(stat), ") ")
	return found && rest[0] != 'T'
}

// resume continues a suspended process.
func (r *routerProcess) resume(t *testing.T) {
	t.Helper()
	r.signal(t, syscall.SIGCONT)
}

// logBuffer holds the program's log, which can be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.WriteString(line + "\n")
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// hasEvent reports whether the log has an event.
func (l *logBuffer) hasEvent(event string) bool { return l.countEvent(event) > 0 }

func (l *logBuffer) countEvent(event string) int {
	return strings.Count(l.String(), fmt.Sprintf(`"msg":%q`, event))
}

// lastLine returns the last line of an event, or an empty string.
func (l *logBuffer) lastLine(event string) (last string) {
	for line := range strings.Lines(l.String()) {
		if strings.Contains(line, fmt.Sprintf(`"msg":%q`, event)) {
			last = line
		}
	}
	return last
}
