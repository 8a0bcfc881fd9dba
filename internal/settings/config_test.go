package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const config = `{"name":"n1","listen":"127.0.0.1:4100","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"feed":"127.0.0.1:4222","known":{"n":3,"events":[{"n":3}]},
	"settings":{"classes":[{"name":"lookup","idempotency":"idempotent"}],"bounds":{"connectTimeout":250000}}}`

func TestParseConfig(t *testing.T) {
	for _, c := range []struct{ name, from, to, err string }{
		{"valid", "", "", ""},
		{"invalid JSON", `{"name"`, `"name"`, "configuration"},
		{"a field of the wrong type", `"n":3,"events"`, `"n":"x","events"`, "known.n"},
		{"no seed", "8c1f30d27a5be964", "", "seed"},
		{"a seed that is not hexadecimal", "8c1f30d27a5be964", "xyz", "seed"},
		{"no address to listen on", "127.0.0.1:4100", "", "listen"},
		{"a host name instead of an IP address", "127.0.0.1:4222", "feed:1", "feed"},
		{"a port too large", "127.0.0.1:4222", "127.0.0.1:99999", "feed"},
		{"no core", `"cores":1.0`, `"cores":0`, "limits.cores"},
		{"too little memory", `"memory_mb":192`, `"memory_mb":3`, "limits.memory_mb"},
		{"too few descriptors", `"sockets":1024`, `"sockets":10`, "limits.sockets"},
		{"a negative event number", `"known":{"n":3`, `"known":{"n":-3`, "known.n"},
		{"no workloads", `{"name":"lookup","idempotency":"idempotent"}`, "", "classes"},
		{"an unknown idempotency", `"idempotency":"idempotent"`, `"idempotency":"odd"`, "idempotency"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := ParseConfig([]byte(strings.Replace(config, c.from, c.to, 1)))
			if c.err != "" {
				require.ErrorContains(t, err, c.err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, uint64(0x8c1f30d27a5be964), got.Seed)
			assert.Equal(t, int64(3), got.LastEventID)
			assert.Equal(t, 250*time.Millisecond, got.Module.Connections.ConnectTimeout)
		})
	}
	_, err := Load("nowhere")
	require.ErrorContains(t, err, "configuration")
}

func TestErrorsAreTyped(t *testing.T) {
	_, err := ParseConfig([]byte(strings.Replace(config, `"idempotency":"idempotent"`, `"idempotency":"odd"`, 1)))
	var field *FieldError
	require.ErrorAs(t, err, &field)
	assert.Equal(t, "settings", field.Field)
	var value UnknownValueError
	require.ErrorAs(t, err, &value)
	assert.Equal(t, "odd", value.Value)

	_, err = ParseConfig([]byte(strings.Replace(config, "127.0.0.1:4222", "feed:1", 1)))
	var address AddressError
	require.ErrorAs(t, err, &address)
	assert.Equal(t, "feed:1", address.Text)
}
