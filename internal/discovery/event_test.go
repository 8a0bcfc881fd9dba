package discovery

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

func TestParseEvent(t *testing.T) {
	for _, c := range []struct {
		name              string
		from, to          string // from is replaced by to in the member
		startedUnixMillis int64
		state             decision.EngineState
		err               string
	}{
		{"unchanged", "", "", 0, decision.Ready, ""},
		{"with a start time", `"size":4`, `"up_since_ms":1090000`, 1090000, decision.Ready, ""},
		{"draining", "active", "leaving", 0, decision.Draining, ""},
		{"removed, without address and other fields", `"127.0.0.1:9","locality":"z","flavor":"k","cell":2,"phase":"active"`, `"","phase":"left"`, 0, decision.Removed, ""},
		{"an unknown state", "active", "asleep", 0, 0, "unknown word"},
		{"no id", "e1", "", 0, 0, "without an id"},
		{"no address", "127.0.0.1:9", "nowhere", 0, 0, "host_port"},
		{"a field of the wrong type", `"cell":2`, `"cell":"x"`, 0, 0, "cell"},
	} {
		t.Run(c.name, func(t *testing.T) {
			raw := `{"n":3,"members":{"revision":9,"complete":true,"members":[` + strings.Replace(member, c.from, c.to, 1) + `]}}`
			event, hasList, err := ParseEvent([]byte(raw))
			if c.err != "" {
				require.ErrorContains(t, err, c.err)
				return
			}
			require.NoError(t, err)
			assert.True(t, hasList)
			assert.True(t, event.Complete)
			assert.Equal(t, int64(3), event.Number)
			assert.Equal(t, int64(9), event.Revision)
			require.Len(t, event.Endpoints, 1)
			assert.Equal(t, c.startedUnixMillis, event.Endpoints[0].startedUnixMillis)
			assert.Equal(t, c.state, event.Endpoints[0].State)
		})
	}
}
