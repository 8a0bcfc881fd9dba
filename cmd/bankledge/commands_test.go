package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each command succeeds, or fails with an error that names what is wrong.
func TestCommands(t *testing.T) {
	good := longDeadlineConfig(newControl(t)).write(t)
	bad := filepath.Join(t.TempDir(), "bad.json")
	raw, err := os.ReadFile(good)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(bad, bytes.Replace(raw, []byte(`"memory_mb":192`), []byte(`"memory_mb":1`), 1), 0o600))
	for _, c := range []struct {
		name, wantOutput string
		args             []string
		succeeds         bool
	}{
		{"version", "bankledge ", []string{"version"}, true},
		{"check", "fit to serve n1", []string{"check", good}, true},
		{"check of an invalid configuration names the field", "limits.memory_mb", []string{"check", bad}, false},
		{"check of a missing file", "no such file", []string{"check", "nowhere"}, false},
		{"serve with an invalid configuration", "limits.memory_mb", []string{"serve", "--config", bad}, false},
		{"serve without a configuration", "--config", []string{"serve"}, false},
		{"serve on an invalid address", "listen", []string{"serve", "--config", good, "--listen", "here"}, false},
		{"serve on an address of another host", "listen", []string{"serve", "--config", good, "--listen", "192.0.2.1:1"}, false},
		{"explain of a missing file", "no such file", []string{"explain", "nowhere"}, false},
		{"an unknown command", "unexpected argument", []string{"fly"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, err := exec.Command(builtProgram, c.args...).CombinedOutput()
			assert.Contains(t, string(out), c.wantOutput)
			var failed *exec.ExitError
			assert.Equal(t, c.succeeds, !errors.As(err, &failed), string(out))
		})
	}
}
