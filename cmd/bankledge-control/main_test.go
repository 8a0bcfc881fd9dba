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
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/controlapi"
	"bankledge/internal/controlserver"
)

// bed has a folder, and processes that it started.
type bed struct {
	t       *testing.T
	dir     string
	members map[string]controlserver.Member
	procs   map[int]*exec.Cmd
	logs    map[int]*bytes.Buffer
}

// program is the built program, for all tests.
var program string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (code int, err error) {
	dir, err := os.MkdirTemp("", "bankledge-control-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "bankledge-control")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		return 0, fmt.Errorf("%w: %s", err, out)
	}
	return m.Run(), nil
}

func newBed(t *testing.T, members int) *bed {
	b := &bed{t: t, dir: t.TempDir(), members: map[string]controlserver.Member{}, procs: map[int]*exec.Cmd{}, logs: map[int]*bytes.Buffer{}}
	for i := range members {
		b.members[fmt.Sprint(i+1)] = controlserver.Member{Peer: free(t), Client: free(t)}
	}
	t.Cleanup(func() {
		for _, cmd := range b.procs {
			cmd.Process.Kill()
			cmd.Wait()
		}
	})
	return b
}

func free(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func (b *bed) settings(id int, joins bool) string {
	s := controlserver.Settings{ID: uint64(id), DataDir: fmt.Sprint("d", id), Members: b.members, Joining: joins, LeaseMillis: 400, RenewIntervalMillis: 60, ReplyTimeoutMillis: 60, MaxBatchMillis: 10, MaxPauseMillis: 10, HeartbeatMillis: 20, ElectionTimeoutMillis: 150, MaxRemovedShare: 0.5, CompactionInterval: 20}
	if joins {
		others := map[string]controlserver.Member{}
		for k, m := range b.members {
			if k != fmt.Sprint(id) {
				others[k] = m
			}
		}
		s.Members, s.PeerAddress, s.ClientAddress = others, b.members[fmt.Sprint(id)].Peer, b.members[fmt.Sprint(id)].Client
	}
	raw, err := json.Marshal(s)
	require.NoError(b.t, err)
	path := filepath.Join(b.dir, fmt.Sprintf("s%d.json", id))
	require.NoError(b.t, os.WriteFile(path, raw, 0o600))
	return path
}

// start starts a process, by a shell that first does what it is told.
func (b *bed) start(id int, joins bool, before string) *exec.Cmd {
	return b.serve(id, exec.Command("sh", "-c", before+` exec "$0" serve "$1"`, program, b.settings(id, joins)))
}

// startWith starts a process with a text of settings.
func (b *bed) startWith(id int, settings string) {
	path := filepath.Join(b.dir, fmt.Sprintf("s%d.jsonnet", id))
	require.NoError(b.t, os.WriteFile(path, []byte(settings), 0o600))
	b.serve(id, exec.Command(program, "serve", path))
}

func (b *bed) serve(id int, cmd *exec.Cmd) *exec.Cmd {
	b.logs[id] = &bytes.Buffer{}
	cmd.Stderr = b.logs[id]
	require.NoError(b.t, cmd.Start())
	b.procs[id] = cmd
	return cmd
}

func (b *bed) end(id int, s syscall.Signal) error {
	cmd := b.procs[id]
	delete(b.procs, id)
	require.NoError(b.t, cmd.Process.Signal(s))
	return cmd.Wait()
}

// gone waits until a process has ended by itself, and returns its exit code.
func (b *bed) gone(id int) int {
	cmd := b.procs[id]
	late := time.AfterFunc(20*time.Second, func() { cmd.Process.Kill() })
	defer late.Stop()
	delete(b.procs, id)
	cmd.Wait()
	return cmd.ProcessState.ExitCode()
}

// run runs a command against all members, and returns what it wrote.
func (b *bed) run(code int, args ...string) string {
	var at []string
	for _, m := range b.members {
		at = append(at, m.Client)
	}
	return b.runAt(code, at, args...)
}

// runAt runs a command against some addresses, and returns what it wrote.
func (b *bed) runAt(code int, at []string, args ...string) string {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), "BANKLEDGE_CONTROL="+strings.Join(at, ","))
	out, err := cmd.CombinedOutput()
	if code == 0 {
		assert.NoError(b.t, err, "%v: %s", args, out)
	} else if exit := (&exec.ExitError{}); assert.ErrorAs(b.t, err, &exit, "%v: %s", args, out) {
		assert.Equal(b.t, code, exit.ExitCode(), "%v: %s", args, out)
	}
	return string(out)
}

func (b *bed) rules(name, more string) string {
	path := filepath.Join(b.dir, name)
	require.NoError(b.t, os.WriteFile(path, []byte(`{routers: 2, cold_multiple: 2, engines: {a: {phase: 'active', address: 'h:1'}, b: {phase: 'active', address: 'h:2'}, c: {phase: 'active', address: 'h:3'}}} + {`+more+`}`), 0o600))
	return path
}

func (b *bed) status() (s controlapi.Status) {
	out := b.run(0, "status", "--json")
	require.NoError(b.t, json.Unmarshal([]byte(out), &s), out)
	return s
}

func (b *bed) until(what func(controlapi.Status) bool) {
	require.Eventually(b.t, func() bool { return what(b.status()) }, 30*time.Second, 20*time.Millisecond)
}

// A new user: one process, versions, guards, a rollback; three, one of which is killed, loses its disk and is replaced.
func TestOperators(t *testing.T) {
	b := newBed(t, 3)
	for id := 1; id <= 3; id++ {
		b.start(id, false, "")
	}
	b.until(func(s controlapi.Status) bool { return s.IsLeader })
	assert.Contains(t, b.run(0, "propose", b.rules("one", ""), "--note", "first", "--wait"), "version 1, in force")
	assert.Contains(t, b.run(1, "propose", b.rules("none", "engines: {}")), "no engine is active")
	assert.Contains(t, b.run(1, "propose", b.rules("less", "engines: {a: {phase: 'active', address: 'h:1'}}")), "share-of-engines")
	assert.Contains(t, b.run(0, "propose", b.rules("less", "engines: {a: {phase: 'active', address: 'h:1'}}"), "--force", "share-of-engines", "--wait"), "version 2")
	assert.Contains(t, b.run(0, "rollback", "1", "--wait"), "version 3")
	assert.Contains(t, b.run(0, "diff", "1", "2"), "engines: tighter")
	assert.Contains(t, b.run(0, "diff", "1", "3"), "nothing differs")
	assert.Contains(t, b.run(0, "log"), "rollback to 1")
	assert.Contains(t, b.run(1, "propose", b.rules("bad", "cold_share: 7")), "cold_share: 7")
	assert.Contains(t, b.run(80, "propose"), "expected")

	assert.Error(t, b.end(2, syscall.SIGKILL))
	require.NoError(t, os.RemoveAll(filepath.Join(b.dir, "d2")))
	assert.Contains(t, b.run(0, "propose", b.rules("two", "cold_multiple: 3"), "--wait"), "version 4")
	b.run(0, "members", "remove", "2")
	assert.Contains(t, b.run(1, "members", "remove", "2"), "no member")
	delete(b.members, "2")
	b.members["4"] = controlserver.Member{Peer: free(t), Client: free(t)}
	b.run(0, "members", "add", "4", b.members["4"].Peer, b.members["4"].Client)
	b.start(4, true, "")
	b.until(func(s controlapi.Status) bool { return s.Members[4].Voter })
	for i := range 30 { // past a snapshot
		b.run(0, "propose", b.rules("more", fmt.Sprintf("cold_multiple: 3, further_free: %d", i+1)), "--wait")
	}
	assert.Error(t, b.end(1, syscall.SIGKILL)) // the group goes on by the new one
	b.until(func(s controlapi.Status) bool { return s.IsLeader })
	assert.Contains(t, b.run(0, "propose", b.rules("last", "cold_multiple: 9"), "--wait"), "version 35")
	b.start(1, false, "")
	for _, id := range []int{3, 4} {
		assert.NoError(t, b.end(id, syscall.SIGTERM))
	}
	b.start(3, false, "")
	b.until(func(s controlapi.Status) bool { return s.IsLeader && s.NewestVersion == 35 && s.Activated == 35 })
}

// A process whose disk is full, or whose files were changed, serves no more and says why; the others go on.
func TestDisks(t *testing.T) {
	b := newBed(t, 3)
	b.start(1, false, "")
	b.start(2, false, "")
	b.start(3, false, "ulimit -f 8;") // no file may grow beyond 4 KiB
	b.until(func(s controlapi.Status) bool { return s.IsLeader })
	for i := range 40 {
		b.run(0, "propose", b.rules("more", fmt.Sprintf("further_free: %d", i+1)), "--wait")
	}
	assert.Positive(t, b.gone(3), "it ends, and not as if nothing were")
	assert.Contains(t, b.logs[3].String(), "log")
	b.run(0, "propose", b.rules("more", "further_free: 99"), "--wait")
	assert.Error(t, b.end(2, syscall.SIGKILL))
	files, err := filepath.Glob(filepath.Join(b.dir, "d2", "log", "*.log"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	changed := false
	for _, file := range files {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		if data := len(bytes.TrimRight(raw, "\x00")); data > 100 { // the rest was set aside
			raw[data/3] ^= 0xff
			require.NoError(t, os.WriteFile(file, raw, 0o600))
			changed = true
		}
	}
	require.True(t, changed)
	b.start(2, false, "")
	assert.Equal(t, 1, b.gone(2))
	assert.Contains(t, b.logs[2].String(), "damaged")
}

func TestCheck(t *testing.T) {
	b := newBed(t, 3)
	out := b.run(0, "check", b.settings(1, false))
	assert.Contains(t, out, "T = 420ms")
	assert.Contains(t, out, "2 of 3 processes")
	assert.Contains(t, b.run(1, "check", "no/such"), "settings")
	assert.Contains(t, b.run(0, "--help"), "rollback")
	assert.Contains(t, b.run(0, "router", "../../deploy/control.jsonnet"), `"term_ms": 2000`)
	for _, file := range []string{"group", "control"} {
		assert.FileExists(t, "../../deploy/"+file+".jsonnet")
	}
	assert.Contains(t, b.run(0, "check", "../../deploy/group.jsonnet"), "T = 2.1s")
	r, err := readRules("../../deploy/rules.jsonnet")
	require.NoError(t, err)
	assert.Nil(t, r.Engines)
	assert.Contains(t, b.run(1, "status"), "does not answer")
}
