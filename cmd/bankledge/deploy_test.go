package main

import (
	"debug/elf"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
)

const root = "../.." // of the repository, from here

// deployFile is the file by which operators build and run the router.
type deployFile struct {
	Build, Run, Sim        string
	Policy, Node, Packages []string
}

func readDeploy(t *testing.T) (d deployFile) {
	t.Helper()
	_, err := toml.DecodeFile(filepath.Join(root, "deploy/balancer.toml"), &d)
	require.NoError(t, err)
	return d
}

// Operators read and account for the router by the folders that the deploy file names: each package that it is made of
// is one, and nothing else is.
func TestDeployNamesTheWholeRouter(t *testing.T) {
	deps, err := exec.Command("go", "list", "-deps", ".").Output()
	require.NoError(t, err)
	var parts []string
	for dep := range strings.Lines(string(deps)) {
		if part, ours := strings.CutPrefix(strings.TrimSpace(dep), "bankledge/"); ours && part != "policy" {
			parts = append(parts, part)
		}
	}
	d := readDeploy(t)
	assert.ElementsMatch(t, parts, d.Node)
	files, err := filepath.Glob(filepath.Join(root, "policy", "*.go"))
	require.NoError(t, err)
	var decisions []string
	for _, file := range files {
		if !strings.HasSuffix(file, "_test.go") {
			decisions = append(decisions, "policy/"+filepath.Base(file))
		}
	}
	assert.ElementsMatch(t, decisions, d.Policy)
}

// Some platforms start the router under a library of their own, preloaded by the C library's linker, and let it start
// no other program: it has to be one dynamically linked process. Built and run by the deploy file's own lines.
func TestDeployedRouterIsOneDynamicProcess(t *testing.T) {
	d := readDeploy(t)
	dir := t.TempDir()
	for _, part := range []string{"cmd", "decision", "internal", "policy"} {
		require.NoError(t, os.CopyFS(filepath.Join(dir, part), os.DirFS(filepath.Join(root, part))))
	}
	for _, file := range []string{"go.mod", "go.sum"} {
		text, err := os.ReadFile(filepath.Join(root, file))
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(dir, file), text, 0o600))
	}
	build := exec.Command("/bin/sh", "-c", d.Build)
	build.Dir = dir
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))

	feed := newControl(t)
	e := newEngine(t, "e", map[string][]step{"POST": {done("one\n")}})
	command := exec.Command("/bin/sh", "-c", d.Run)
	command.Dir = dir
	r := startProcess(t, command, patientConfig(feed, e))
	c, err := fakes.Dial(r.address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.AwaitReady(testTimeout))
	answer := <-c.Send(map[string]string{"c": "lookup", "i": "9b1f03aa5c7e2d41", "d": "4000", "t": "acme", "h": "1", "heap_mb": "8"}, "select 1 from sales_17.orders")
	require.NoError(t, answer.Err)
	assert.Equal(t, "one\n", answer.Body)

	// The process that was started is the router itself, and has started none.
	proc := fmt.Sprintf("/proc/%d", r.cmd.Process.Pid)
	exe, err := os.Readlink(filepath.Join(proc, "exe"))
	require.NoError(t, err)
	assert.Equal(t, "bankledge", filepath.Base(exe))
	tasks, err := filepath.Glob(filepath.Join(proc, "task/*/children"))
	require.NoError(t, err)
	require.NotEmpty(t, tasks)
	for _, task := range tasks {
		children, err := os.ReadFile(task)
		if err == nil { // else a thread that has ended
			assert.Empty(t, strings.TrimSpace(string(children)))
		}
	}
	file, err := elf.Open(exe)
	require.NoError(t, err)
	defer file.Close()
	libraries, err := file.ImportedLibraries()
	require.NoError(t, err)
	assert.True(t, slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }), libraries)
	assert.True(t, slices.ContainsFunc(file.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }), "no linker named")
	r.stop(t)
	r.awaitEnd(t)
}
