package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/controlapi"
	"bankledge/internal/controlserver"
)

const (
	statusTimeout = 30 * time.Second
	exitTimeout   = 20 * time.Second
	pollInterval  = 20 * time.Millisecond
)

// testGroup is a control group whose processes run the built program in a temporary directory.
type testGroup struct {
	t         *testing.T
	dir       string
	members   map[string]controlserver.Member
	processes map[int]*exec.Cmd
	logs      map[int]*bytes.Buffer // standard error of each process
}

// newTestGroup returns a group whose processes have addresses and have not been started.
func newTestGroup(t *testing.T, members int) *testGroup {
	t.Helper()
	g := &testGroup{t: t, dir: t.TempDir(), members: map[string]controlserver.Member{}, processes: map[int]*exec.Cmd{}, logs: map[int]*bytes.Buffer{}}
	for i := range members {
		g.members[fmt.Sprint(i+1)] = newMember(t)
	}
	t.Cleanup(func() {
		for _, process := range g.processes {
			process.Process.Kill()
			process.Wait()
		}
	})
	return g
}

func newMember(t *testing.T) controlserver.Member {
	t.Helper()
	return controlserver.Member{Peer: freeAddress(t), Client: freeAddress(t)}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// writeSettings writes the settings of a process, with a short lease duration and frequent snapshots, and returns the path.
func (g *testGroup) writeSettings(id int, joining bool) string {
	g.t.Helper()
	ownMember := g.members[fmt.Sprint(id)]
	settings := controlserver.Settings{
		ID:                    uint64(id),
		DataDir:               fmt.Sprint("d", id),
		Members:               g.members,
		Joining:               joining,
		LeaseMillis:           400,
		RenewIntervalMillis:   60,
		ReplyTimeoutMillis:    60,
		MaxBatchMillis:        10,
		MaxPauseMillis:        10,
		HeartbeatMillis:       20,
		ElectionTimeoutMillis: 150,
		MaxRemovedShare:       0.5,
		CompactionInterval:    20,
	}
	if joining {
		settings.Members = maps.Clone(g.members)
		delete(settings.Members, fmt.Sprint(id))
		settings.PeerAddress = ownMember.Peer
		settings.ClientAddress = ownMember.Client
	}
	raw, err := json.Marshal(settings)
	require.NoError(g.t, err)
	return g.writeFile(fmt.Sprintf("s%d.json", id), string(raw))
}

func (g *testGroup) writeFile(name, text string) string {
	g.t.Helper()
	path := filepath.Join(g.dir, name)
	require.NoError(g.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// writeRules writes a file of rules with three active engines and the given additional fields, and returns the path.
func (g *testGroup) writeRules(name, more string) string {
	g.t.Helper()
	const base = `{routers: 2, cold_multiple: 2, engines: {a: {phase: 'active', address: 'h:1'}, b: {phase: 'active', address: 'h:2'}, c: {phase: 'active', address: 'h:3'}}}`
	return g.writeFile(name, base+` + {`+more+`}`)
}

// start starts a process that is a member of the group.
func (g *testGroup) start(id int) {
	g.t.Helper()
	g.run(id, exec.Command(program, "serve", g.writeSettings(id, false)))
}

// startJoining starts a process that was added to the group.
func (g *testGroup) startJoining(id int) {
	g.t.Helper()
	g.run(id, exec.Command(program, "serve", g.writeSettings(id, true)))
}

// startWithFileLimit starts a process with a limit on the size of its files, in blocks of 512 bytes.
func (g *testGroup) startWithFileLimit(id, blocks int) {
	g.t.Helper()
	script := fmt.Sprintf(`ulimit -f %d; exec "$0" serve "$1"`, blocks)
	g.run(id, exec.Command("sh", "-c", script, program, g.writeSettings(id, false)))
}

// startWithSettings starts a process whose settings file has the given contents.
func (g *testGroup) startWithSettings(id int, settings string) {
	g.t.Helper()
	g.run(id, exec.Command(program, "serve", g.writeFile(fmt.Sprintf("s%d.jsonnet", id), settings)))
}

func (g *testGroup) run(id int, process *exec.Cmd) {
	g.t.Helper()
	g.logs[id] = &bytes.Buffer{}
	process.Stderr = g.logs[id]
	require.NoError(g.t, process.Start())
	g.processes[id] = process
}

// stop sends a signal to a process and returns the error of waiting for its exit.
func (g *testGroup) stop(id int, signal syscall.Signal) error {
	g.t.Helper()
	process := g.processes[id]
	delete(g.processes, id)
	require.NoError(g.t, process.Process.Signal(signal))
	return process.Wait()
}

// awaitExit waits until a process exits by itself and returns its exit code. It kills the process after exitTimeout.
func (g *testGroup) awaitExit(id int) int {
	process := g.processes[id]
	timer := time.AfterFunc(exitTimeout, func() { process.Process.Kill() })
	defer timer.Stop()
	delete(g.processes, id)
	process.Wait()
	return process.ProcessState.ExitCode()
}

// command runs a command against all members and returns its output.
func (g *testGroup) command(exitCode int, args ...string) string {
	g.t.Helper()
	var addresses []string
	for _, member := range g.members {
		addresses = append(addresses, member.Client)
	}
	return g.commandAt(exitCode, addresses, args...)
}

// commandAt runs a command against the given addresses and returns its output.
func (g *testGroup) commandAt(exitCode int, addresses []string, args ...string) string {
	g.t.Helper()
	command := exec.Command(program, args...)
	command.Env = append(os.Environ(), "BANKLEDGE_CONTROL="+strings.Join(addresses, ","))
	out, err := command.CombinedOutput()
	if exitCode == 0 {
		assert.NoError(g.t, err, "%v: %s", args, out)
		return string(out)
	}
	var exit *exec.ExitError
	if assert.ErrorAs(g.t, err, &exit, "%v: %s", args, out) {
		assert.Equal(g.t, exitCode, exit.ExitCode(), "%v: %s", args, out)
	}
	return string(out)
}

func (g *testGroup) status() (status controlapi.Status) {
	g.t.Helper()
	out := g.command(0, "status", "--json")
	require.NoError(g.t, json.Unmarshal([]byte(out), &status), out)
	return status
}

func (g *testGroup) awaitStatus(condition func(controlapi.Status) bool) {
	g.t.Helper()
	require.Eventually(g.t, func() bool { return condition(g.status()) }, statusTimeout, pollInterval)
}

func (g *testGroup) awaitLeader() {
	g.t.Helper()
	g.awaitStatus(func(status controlapi.Status) bool { return status.IsLeader })
}
