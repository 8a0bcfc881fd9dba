package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The one verdict passes over just the tests that KNOWN-RED.txt names, and prints them; it fails on any other failing test, a fourth
// line, a name that is no test, and a line that does not say why.
func TestKnownRed(t *testing.T) {
	const fine, red = "func TestFine(t *testing.T) {}\n", "func TestRed(t *testing.T) { t.Fatal(1) }\nfunc TestRedder(t *testing.T) {}\n"
	for _, c := range []struct {
		name, known, tests string
		passes             bool
		says               string
		linter             string // a command of the README, beside its tests
	}{
		{"nothing is known", "", fine, true, "ok", ""},
		{"a test fails", "", fine + red, false, "--- FAIL: TestRed", ""},
		{"it is known", "TestRed, a cause, 35\n", fine + red, true, "known red, passed over: TestRed, a cause, 35", ""},
		{"another fails beside it", "TestRed, a cause, 35\n", red + "func TestOther(t *testing.T) { t.Fatal(1) }\n", false, "--- FAIL: TestOther", ""},
		{"one whose name begins like it", "TestRed, a cause, 35\n", "func TestRed(t *testing.T) {}\nfunc TestRedder(t *testing.T) { t.Fatal(1) }\n", false, "--- FAIL: TestRedder", ""},
		{"a name that is no test", "TestGone, a cause, 35\n", fine, false, "TestGone is no test", ""},
		{"a pattern", "Test.*, a cause, 35\n", fine + red, false, "not \"TestName, cause, issue\"", ""},
		{"no cause", "TestRed, , 35\n", fine + red, false, "not \"TestName, cause, issue\"", ""},
		{"no issue", "TestRed, a cause\n", fine + red, false, "not \"TestName, cause, issue\"", ""},
		{"three lines", "TestRed, a, 1\n\nTestRedder, b, 2\nTestFine, c, 3\n", fine + red, true, "passed over: TestFine", ""},
		{"a linter finds something", "", fine, false, "no such tool", "    go tool missing ./...\n"},
		{"a linter finds nothing", "", fine, true, "ok", "    go tool fix -V=full\n"},
		{"a fourth line", "TestRed, a, 1\nTestRedder, b, 2\nTestFine, c, 3\nTestFine, d, 4\n", fine + red, false, "4 lines, three at most", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			script, err := os.ReadFile(filepath.Join(root, ".ci/run"))
			require.NoError(t, err)
			for name, text := range map[string]string{".ci/run": string(script), "go.mod": "module m\n\ngo 1.26\n", "cmd/m/m.go": "package main\n\nfunc main() {}\n",
				"decision/x.txt": "", "policy/x.txt": "", "internal/x.txt": "", "deploy/balancer.toml": "build = \"true\"\n", "README.md": c.linter + "    go test -count=1 ./...\n",
				"cmd/m/m_test.go": "package main\n\nimport \"testing\"\n\n" + c.tests, "KNOWN-RED.txt": c.known} {
				path := filepath.Join(dir, name)
				require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
				if text != "" || name != "KNOWN-RED.txt" {
					require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
				}
			}
			format := exec.Command("gofmt", "-w", filepath.Join(dir, "cmd/m/m_test.go"))
			require.NoError(t, format.Run())
			out, err := exec.Command("bash", filepath.Join(dir, ".ci/run")).CombinedOutput()
			assert.Equal(t, c.passes, err == nil, string(out))
			assert.Contains(t, string(out), c.says)
		})
	}
}
