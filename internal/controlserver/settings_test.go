package controlserver

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/controlclient"
)

// The error for an invalid settings file names the field.
func TestInvalidSettings(t *testing.T) {
	for text, want := range map[string]string{
		`{id: 0, members: {'1': {peer: 'a', client: 'b'}}}`:                               "settings: id: missing or 0: must be a whole number from 1",
		`{id: 1, dir: 'd', peer: 'x'}`:                                                    `settings: members: 1: peer: invalid address "x": must be an IP address and a port from 0 to 65535, such as 127.0.0.1:7200 or [::1]:7200`,
		`{id: 2, dir: 'd', members: {'1': {peer: '127.0.0.1:1', client: '127.0.0.1:2'}}}`: "settings: members: no entry for this process (id 2): must have one unless joins is true",
		`{id: 1, dir: ''}`: "settings: dir: empty: must be the path of the data directory",
		`{id: 1, dir: 'd', members: {'x': {peer: '127.0.0.1:1', client: '127.0.0.1:2'}}}`: `members: invalid id "x": must be a whole number from 1`,
		`{id: 1, unknown_key: 1}`: "unknown_key",
		`{id: 1, dir: 'd', members: {'1': {peer: '127.0.0.1:1', client: '127.0.0.1:1'}}}`: `members: 1: client: duplicate address "127.0.0.1:1": already used by member 1`,
		`{id: 1, dir: 'd', term_ms: 200}`:                                                 "settings: lease durations: renew: 400ms is not from 10ms to 200ms",
		`{id: 1, dir: 'd', drift: 0.5}`:                                                   "drift",
		`{id: 1, dir: 'd', most_gone: 2}`:                                                 "settings: most_gone: invalid value 2: must be above 0 and at most 1",
		`{id: 1, dir: 'd', election_ms: 100}`:                                             "settings: election_ms: invalid value 100ms: must be at least 300ms, three times heartbeat_ms",
		`{`:                                                                               "settings",
	} {
		t.Run(text, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.jsonnet")
			require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
			_, err := LoadSettings(path)
			assert.ErrorContains(t, err, want)
		})
	}
}

func TestDefaultSettings(t *testing.T) {
	settings, err := LoadSettings("")
	require.NoError(t, err)
	assert.Equal(t, uint64(1), settings.ID)
	assert.Equal(t, settings.LeaseDurations(), (&controlclient.Config{}).LeaseDurations(), "routers and group have the same defaults")
}
