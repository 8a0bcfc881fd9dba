package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
)

var update = flag.Bool("update", false, "rewrite the recorded output instead of comparing with it")

var versionPattern = regexp.MustCompile(`^bankledge \S+ go1\.\S+\n$`)

// The output and the exit codes of the commands are compared byte for byte with a recording, except for the folder of the files. The output
// of version, which depends on the build, is compared with a pattern.
func TestCommandLineOutput(t *testing.T) {
	dir := t.TempDir()
	engine := fakes.Member("e", "127.0.0.1:9", "active")
	good := string(fakes.Config("127.0.0.1:9", longDeadlineSettings, 192, 256, engine))
	for name, text := range map[string]string{
		"good.json":      good,
		"memory.json":    strings.Replace(good, `"memory_mb":192`, `"memory_mb":1`, 1),
		"listen.json":    strings.Replace(good, `"listen":"127.0.0.1:0"`, `"listen":"here"`, 1),
		"event.json":     strings.Replace(good, `"phase":"active"`, `"phase":"odd"`, 1),
		"workloads.json": strings.Replace(good, `"idempotency":"idempotent"`, `"idempotency":"odd"`, 1),
		"cut.json":       good[:len(good)/2],
		"empty.json":     "",
		"lines.jsonl": `{"body": "select a from sales_3.b where c = 5"}

{"c": "lookup", "h": 820, "heap_mb": 96, "body": "insert into sales_3.a select * from sales_4.b"}
{"c": "load", "body": "select a, count(*) from sales_3.a join sales_4.b on a.x = b.x where d in (1, 2, 3) group by a"}
{"c": "lookup", "body": "select '` + strings.Repeat("x", 20_000) + `'"}
{"c": "lookup", "body": "merge into a_1.b using c on d = e"}
`,
		"odd.jsonl": `{"c": "odd", "body": "select 1"}` + "\n",
		"no.jsonl":  `{"body": "select 1"}` + "\nselect 1\n",
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	var got strings.Builder
	for _, args := range []string{
		"check good.json", "check memory.json", "check listen.json", "check event.json", "check workloads.json", "check cut.json", "check empty.json", "check nowhere",
		"serve --config memory.json", "serve --config good.json --listen here", "serve --config good.json --control nowhere", "serve", "fly",
		"explain lines.jsonl", "explain --json lines.jsonl", "explain --config good.json lines.jsonl", "explain --json --config good.json lines.jsonl",
		"explain --config good.json odd.jsonl", "explain no.jsonl", "explain nowhere", "explain --config memory.json lines.jsonl",
	} {
		command := exec.Command(builtProgram, strings.Fields(args)...)
		command.Dir = dir
		out, err := command.CombinedOutput()
		if _, failed := err.(*exec.ExitError); !failed {
			require.NoError(t, err)
		}
		fmt.Fprintf(&got, "$ %s\n%sexit %d\n\n", args, bytes.ReplaceAll(out, []byte(dir), []byte("DIR")), command.ProcessState.ExitCode())
	}
	path := filepath.Join("testdata", "commandline.txt")
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, []byte(got.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), got.String())

	out, err := exec.Command(builtProgram, "version").Output()
	require.NoError(t, err)
	assert.Regexp(t, versionPattern, string(out))
}
