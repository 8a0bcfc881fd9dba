package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The script .ci/run skips exactly the tests and subtests that KNOWN-RED.txt names, and prints them. It fails if another test fails, if a
// name is not that of a test, or if a line lacks the cause, the issue, the command and seed that show the failure, or what was seen.
func TestKnownRed(t *testing.T) {
	const (
		passing = "func TestFine(t *testing.T) {}\n"
		failing = "func TestRed(t *testing.T) { t.Fatal(1) }\nfunc TestRedder(t *testing.T) {}\n"
		lineEnd = ", go test ./..., seed 7, it fails\n" // the end of a line, after the issue

		failingSubtest = "func TestParts(t *testing.T) {\nt.Run(\"a (b)\", func(t *testing.T) { t.Fatal(1) })\nt.Run(\"a (b) c\", func(t *testing.T) {})\n}\n"
		failingSibling = "func TestParts(t *testing.T) {\nt.Run(\"a (b)\", func(t *testing.T) {})\nt.Run(\"a (b) c\", func(t *testing.T) { t.Fatal(1) })\n}\n"
	)
	for _, c := range []struct {
		name, knownRed, tests string
		succeeds              bool
		wantOutput            string
		linterCommand         string // in the README, in addition to its tests
	}{
		{"no known failures", "", passing, true, "ok", ""},
		{"a test fails", "", passing + failing, false, "--- FAIL: TestRed", ""},
		{"a known failure", "TestRed, a cause, 35" + lineEnd, passing + failing, true, "known red, passed over: TestRed, a cause, 35", ""},
		{"the result of a known failure is printed", "TestRed, a cause, 35" + lineEnd, passing + failing, true, "known red, run apart: FAIL: TestRed", ""},
		{"another test fails, too", "TestRed, a cause, 35" + lineEnd, failing + "func TestOther(t *testing.T) { t.Fatal(1) }\n", false, "--- FAIL: TestOther", ""},
		{"a failing test whose name begins with a known one", "TestRed, a cause, 35" + lineEnd, "func TestRed(t *testing.T) {}\nfunc TestRedder(t *testing.T) { t.Fatal(1) }\n", false, "--- FAIL: TestRedder", ""},
		{"a subtest", "TestParts/a_(b), a cause, 35" + lineEnd, passing + failingSubtest, true, "known red, run apart: FAIL: TestParts/a_(b)", ""},
		{"another subtest fails, too", "TestParts/a_(b), a cause, 35" + lineEnd, failingSibling, false, "--- FAIL: TestParts/a_(b)_c", ""},
		{"a name that is not a test", "TestGone, a cause, 35" + lineEnd, passing, false, "TestGone is no test", ""},
		{"a name that is not a subtest", "TestParts/gone, a cause, 35" + lineEnd, failingSubtest, false, "TestParts/gone is no test", ""},
		{"a pattern", "Test.*, a cause, 35" + lineEnd, passing + failing, false, "not \"TestName[/subtest], cause, issue, command, seed, what was seen\"", ""},
		{"no cause", "TestRed, , 35" + lineEnd, passing + failing, false, "not \"TestName[/subtest], cause, issue, command, seed, what was seen\"", ""},
		{"no issue", "TestRed, a cause" + lineEnd, passing + failing, false, "not \"TestName[/subtest], cause, issue, command, seed, what was seen\"", ""},
		{"no command, seed and figures", "TestRed, a cause, 35\n", passing + failing, false, "not \"TestName[/subtest], cause, issue, command, seed, what was seen\"", ""},
		{"no observation", "TestRed, a cause, 35, go test ./..., seed 7\n", passing + failing, false, "not \"TestName[/subtest], cause, issue, command, seed, what was seen\"", ""},
		{"several lines", "TestRed, a, 1" + lineEnd + "\nTestRedder, b, 2" + lineEnd + "TestFine, c, 3" + lineEnd + "TestParts/a_(b), d, 4" + lineEnd, passing + failing + failingSubtest, true, "passed over: TestParts/a_(b)", ""},
		{"a linter finds something", "", passing, false, "no such tool", "    go tool missing ./...\n"},
		{"a linter finds nothing", "", passing, true, "ok", "    go tool fix -V=full\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			script, err := os.ReadFile(filepath.Join(repositoryRoot, ".ci/run"))
			require.NoError(t, err)
			for name, text := range map[string]string{".ci/run": string(script), "go.mod": "module m\n\ngo 1.26\n", "cmd/m/m.go": "package main\n\nfunc main() {}\n",
				"decision/x.txt": "", "policy/x.txt": "", "internal/x.txt": "", "deploy/balancer.toml": "build = \"true\"\n", "README.md": c.linterCommand + "    go test -count=1 ./...\n",
				"cmd/m/m_test.go": "package main\n\nimport \"testing\"\n\n" + c.tests, "KNOWN-RED.txt": c.knownRed} {
				path := filepath.Join(dir, name)
				require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
				if text != "" || name != "KNOWN-RED.txt" {
					require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
				}
			}
			format := exec.Command("gofmt", "-w", filepath.Join(dir, "cmd/m/m_test.go"))
			require.NoError(t, format.Run())
			out, err := exec.Command("bash", filepath.Join(dir, ".ci/run")).CombinedOutput()
			assert.Equal(t, c.succeeds, err == nil, string(out))
			assert.Contains(t, string(out), c.wantOutput)
		})
	}
}
