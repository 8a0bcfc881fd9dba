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

// Each command ends well, or with an error that names what is wrong.
func TestCommands(t *testing.T) {
	good := patientConfig(newControl(t)).write(t)
	bad := filepath.Join(t.TempDir(), "bad.json")
	raw, err := os.ReadFile(good)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(bad, bytes.Replace(raw, []byte(`"memory_mb":192`), []byte(`"memory_mb":1`), 1), 0o600))
	for _, c := range []struct {
		name, out string
		args      []string
		fine      bool
	}{
		{"version", "bankledge ", []string{"version"}, true},
		{"check", "fit to serve n1", []string{"check", good}, true},
		{"check of a bad one names the field", "limits.memory_mb", []string{"check", bad}, false},
		{"check of none", "no such file", []string{"check", "nowhere"}, false},
		{"serve with a bad one", "limits.memory_mb", []string{"serve", "--config", bad}, false},
		{"serve with none", "--config", []string{"serve"}, false},
		{"serve on a bad address", "listen", []string{"serve", "--config", good, "--listen", "here"}, false},
		{"serve on an address that is not ours", "listen", []string{"serve", "--config", good, "--listen", "192.0.2.1:1"}, false},
		{"explain of a file that is not there", "no such file", []string{"explain", "nowhere"}, false},
		{"an unknown command", "unexpected argument", []string{"fly"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, err := exec.Command(builtProgram, c.args...).CombinedOutput()
			assert.Contains(t, string(out), c.out)
			var failed *exec.ExitError
			assert.Equal(t, c.fine, !errors.As(err, &failed), string(out))
		})
	}
}
