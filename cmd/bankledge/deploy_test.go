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

const repositoryRoot = "../.." // relative to this package

// deployFile is the content of deploy/balancer.toml, by which operators build and run the router.
type deployFile struct {
	Build, Run, Sim        string
	Policy, Node, Packages []string
}

func readDeployFile(t *testing.T) (d deployFile) {
	t.Helper()
	_, err := toml.DecodeFile(filepath.Join(repositoryRoot, "deploy/balancer.toml"), &d)
	require.NoError(t, err)
	return d
}

// Operators review and account for the router by the folders and policy files that the deploy file names. It has to name
// exactly the packages and files that the router consists of.
func TestDeployFileNamesAllPackages(t *testing.T) {
	deps, err := exec.Command("go", "list", "-deps", ".").Output()
	require.NoError(t, err)
	var packages []string
	for dep := range strings.Lines(string(deps)) {
		if name, inModule := strings.CutPrefix(strings.TrimSpace(dep), "bankledge/"); inModule && name != "policy" {
			packages = append(packages, name)
		}
	}
	d := readDeployFile(t)
	assert.ElementsMatch(t, packages, d.Node)
	files, err := filepath.Glob(filepath.Join(repositoryRoot, "policy", "*.go"))
	require.NoError(t, err)
	var policyFiles []string
	for _, file := range files {
		if !strings.HasSuffix(file, "_test.go") {
			policyFiles = append(policyFiles, "policy/"+filepath.Base(file))
		}
	}
	assert.ElementsMatch(t, policyFiles, d.Policy)
}

// Some platforms preload a library of their own into the router through the C library's dynamic linker, and don't let it
// start other programs, so the router has to be a single dynamically linked process. The test builds and runs it with the
// commands of the deploy file.
func TestDeployedRouterIsOneDynamicProcess(t *testing.T) {
	d := readDeployFile(t)
	dir := t.TempDir()
	for _, part := range []string{"cmd", "decision", "internal", "policy"} {
		require.NoError(t, os.CopyFS(filepath.Join(dir, part), os.DirFS(filepath.Join(repositoryRoot, part))))
	}
	for _, file := range []string{"go.mod", "go.sum"} {
		text, err := os.ReadFile(filepath.Join(repositoryRoot, file))
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(dir, file), text, 0o600))
	}
	build := exec.Command("/bin/sh", "-c", d.Build)
	build.Dir = dir
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))

	feed := newControl(t)
	e := newEngine(t, "e", map[string][]step{"POST": {respondResult("one\n")}})
	command := exec.Command("/bin/sh", "-c", d.Run)
	command.Dir = dir
	r := startProcess(t, command, longDeadlineConfig(feed, e))
	c, err := fakes.Dial(r.address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.AwaitReady(testTimeout))
	answer := <-c.Send(map[string]string{"c": "lookup", "i": "9b1f03aa5c7e2d41", "d": "4000", "t": "acme", "h": "1", "heap_mb": "8"}, "select 1 from sales_17.orders")
	require.NoError(t, answer.Err)
	assert.Equal(t, "one\n", answer.Body)

	// The started process is the router itself and has no child processes.
	proc := fmt.Sprintf("/proc/%d", r.cmd.Process.Pid)
	exe, err := os.Readlink(filepath.Join(proc, "exe"))
	require.NoError(t, err)
	assert.Equal(t, "bankledge", filepath.Base(exe))
	tasks, err := filepath.Glob(filepath.Join(proc, "task/*/children"))
	require.NoError(t, err)
	require.NotEmpty(t, tasks)
	for _, task := range tasks {
		children, err := os.ReadFile(task)
		if err == nil { // otherwise the thread has ended
			assert.Empty(t, strings.TrimSpace(string(children)))
		}
	}
	file, err := elf.Open(exe)
	require.NoError(t, err)
	defer file.Close()
	libraries, err := file.ImportedLibraries()
	require.NoError(t, err)
	assert.True(t, slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }), libraries)
	assert.True(t, slices.ContainsFunc(file.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }), "the binary names no dynamic linker")
	r.stop(t)
	r.awaitExit(t)
}
