package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/controlapi"
)

// Runs the operators' commands against a group of three: proposals, guards and a rollback, and then the replacement of a process that was
// killed and has lost its data. The group must keep its versions and its quorum.
func TestOperators(t *testing.T) {
	g := newTestGroup(t, 3)
	for id := 1; id <= 3; id++ {
		g.start(id)
	}
	g.awaitLeader()
	assert.Contains(t, g.command(0, "propose", g.writeRules("one", ""), "--note", "first", "--wait"), "version 1, in force")
	assert.Contains(t, g.command(1, "propose", g.writeRules("none", "engines: {}")), "no engine is active")
	assert.Contains(t, g.command(1, "propose", g.writeRules("less", "engines: {a: {phase: 'active', address: 'h:1'}}")), "share-of-engines")
	assert.Contains(t, g.command(0, "propose", g.writeRules("less", "engines: {a: {phase: 'active', address: 'h:1'}}"), "--force", "share-of-engines", "--wait"), "version 2")
	assert.Contains(t, g.command(0, "rollback", "1", "--wait"), "version 3")
	assert.Contains(t, g.command(0, "diff", "1", "2"), "engines: tighter")
	assert.Contains(t, g.command(0, "diff", "1", "3"), "nothing differs")
	assert.Contains(t, g.command(0, "log"), "rollback to 1")
	assert.Contains(t, g.command(1, "propose", g.writeRules("bad", "cold_share: 7")), "cold_share: 7")
	assert.Contains(t, g.command(80, "propose"), "expected")

	assert.Error(t, g.stop(2, syscall.SIGKILL))
	require.NoError(t, os.RemoveAll(filepath.Join(g.dir, "d2")))
	assert.Contains(t, g.command(0, "propose", g.writeRules("two", "cold_multiple: 3"), "--wait"), "version 4")
	g.command(0, "members", "remove", "2")
	assert.Contains(t, g.command(1, "members", "remove", "2"), "no member")
	delete(g.members, "2")
	g.members["4"] = newMember(t)
	g.command(0, "members", "add", "4", g.members["4"].Peer, g.members["4"].Client)
	g.startJoining(4)
	g.awaitStatus(func(s controlapi.Status) bool { return s.Members[4].Voter })
	for i := range 30 { // enough to make the log be replaced by a snapshot
		g.command(0, "propose", g.writeRules("more", fmt.Sprintf("cold_multiple: 3, further_free: %d", i+1)), "--wait")
	}
	assert.Error(t, g.stop(1, syscall.SIGKILL)) // with the new member, the group keeps its quorum
	g.awaitLeader()
	assert.Contains(t, g.command(0, "propose", g.writeRules("last", "cold_multiple: 9"), "--wait"), "version 35")
	g.start(1)
	for _, id := range []int{3, 4} {
		assert.NoError(t, g.stop(id, syscall.SIGTERM))
	}
	g.start(3)
	g.awaitStatus(func(s controlapi.Status) bool { return s.IsLeader && s.NewestVersion == 35 && s.Activated == 35 })
}

// A process whose disk is full, or whose stored data is corrupt, exits and logs the reason; the other processes continue.
func TestStorageFaults(t *testing.T) {
	g := newTestGroup(t, 3)
	g.start(1)
	g.start(2)
	g.startWithFileLimit(3, 8) // no file may grow beyond 4 KiB
	g.awaitLeader()
	for i := range 40 {
		g.command(0, "propose", g.writeRules("more", fmt.Sprintf("further_free: %d", i+1)), "--wait")
	}
	assert.Positive(t, g.awaitExit(3), "the process exits with an error")
	assert.Contains(t, g.logs[3].String(), "log")
	g.command(0, "propose", g.writeRules("more", "further_free: 99"), "--wait")
	assert.Error(t, g.stop(2, syscall.SIGKILL))
	files, err := filepath.Glob(filepath.Join(g.dir, "d2", "log", "*.log"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	changed := false
	for _, file := range files {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		if data := len(bytes.TrimRight(raw, "\x00")); data > 100 { // the trailing zeros are preallocated space
			raw[data/3] ^= 0xff
			require.NoError(t, os.WriteFile(file, raw, 0o600))
			changed = true
		}
	}
	require.True(t, changed)
	g.start(2)
	assert.Equal(t, 1, g.awaitExit(2))
	assert.Contains(t, g.logs[2].String(), "damaged")
}

func TestCheckCommand(t *testing.T) {
	g := newTestGroup(t, 3)
	out := g.command(0, "check", g.writeSettings(1, false))
	assert.Contains(t, out, "T = 420ms")
	assert.Contains(t, out, "2 of 3 processes")
	assert.Contains(t, g.command(1, "check", "no/such"), "settings")
	assert.Contains(t, g.command(0, "--help"), "rollback")
	assert.Contains(t, g.command(0, "router", "../../deploy/control.jsonnet"), `"term_ms": 2000`)
	for _, file := range []string{"group", "control"} {
		assert.FileExists(t, "../../deploy/"+file+".jsonnet")
	}
	assert.Contains(t, g.command(0, "check", "../../deploy/group.jsonnet"), "T = 2.1s")
	r, err := readRules("../../deploy/rules.jsonnet")
	require.NoError(t, err)
	assert.Nil(t, r.Engines)
	assert.Contains(t, g.command(1, "status"), "does not answer")
}
