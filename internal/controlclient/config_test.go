package controlclient

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// LoadConfig accepts valid control files and names the invalid field of others.
func TestLoadConfig(t *testing.T) {
	const addresses = `"addresses": ["127.0.0.1:7201"]`
	for text, want := range map[string]string{
		``:                                        "control: EOF",
		`{`:                                       "control: unexpected EOF",
		`{"unknown": 1}`:                          `control: json: unknown field "unknown"`,
		`{` + addresses + `} {}`:                  "control: something stands behind it",
		`{}`:                                      "control: addresses: invalid number of entries 0: must be from 1 to 16",
		`{"addresses": ["x"]}`:                    `control: addresses: invalid address "x": must be an IP address and a port from 0 to 65535, such as 127.0.0.1:7200 or [::1]:7200`,
		`{"addresses": ["[::1]:x"]}`:              `control: addresses: invalid address "[::1]:x": must be an IP address and a port from 0 to 65535, such as 127.0.0.1:7200 or [::1]:7200`,
		`{` + addresses + `, "most_gone": 1.5}`:   "control: most_gone: invalid value 1.5: must be from 0 to 1",
		`{` + addresses + `, "term_ms": 99}`:      "control: term: 99ms is not from 100ms to 1h0m0s",
		`{` + addresses + `, "term_ms": 200}`:     "control: renew: 400ms is not from 10ms to 200ms",
		`{` + addresses + `, "renew_ms": 1}`:      "control: renew: 1ms is not from 10ms to 2s",
		`{` + addresses + `, "answer_ms": 1}`:     "control: answer: 1ms is not from 10ms to 2s",
		`{` + addresses + `, "answer_ms": 1990}`:  "control: term: 2s, less drift, is under 4.78s: one answer that is lost would end it",
		`{` + addresses + `, "batch_ms": 1001}`:   "control: batch: 1.001s is not from 0s to 1s",
		`{` + addresses + `, "pause_ms": -1}`:     "control: pause: -1ms is not from 0s to 1s",
		`{` + addresses + `, "drift": 0.21}`:      "control: drift: 0.21 is not from 0 to 0.2",
		`{` + addresses + `, "lineage": "a"}`:     "",
		`{` + addresses + `, "term_ms": 3600000}`: "",
	} {
		path := filepath.Join(t.TempDir(), "control.json")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		config, err := LoadConfig(path)
		if want == "" {
			require.NoError(t, err, text)
			assert.Equal(t, []string{"127.0.0.1:7201"}, config.Addresses)
			continue
		}
		assert.EqualError(t, err, want, text)
	}
	_, err := LoadConfig("no/such/file")
	assert.EqualError(t, err, "control: open no/such/file: no such file or directory")
}
