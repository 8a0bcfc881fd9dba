package configversion

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/rules"
)

func TestDiff(t *testing.T) {
	before := rulesWithEngines(t, 4)
	after := rulesWithEngines(t, 4)
	after.SlowStartMultiple = 3
	after.Routers = 2
	after.Engines["new"] = rules.Engine{Phase: rules.Active, Address: "n:1"}
	delete(after.Engines, "e0")
	lines := Diff(before, after)
	require.Len(t, lines, 3)
	assert.Contains(t, lines[0], "routers: looser: 3 -> 2")
	assert.Contains(t, lines[1], "cold_multiple: tighter: 4 -> 3")
	assert.Contains(t, lines[2], "engines: looser and tighter")
	assert.Empty(t, Diff(after, after))
}
