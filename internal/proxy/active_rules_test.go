package proxy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"bankledge/decision"
	"bankledge/internal/settings"
)

// Settings that no version could hold give the most cautious rules, which are valid: the lease client compares them with versions. With more
// routers than a version may count they were not, and the error was dropped.
func TestRulesFromSettingsAreValid(t *testing.T) {
	for name, moduleSettings := range map[string]*settings.ModuleSettings{
		"too many routers": {Settings: decision.Settings{Identity: decision.Identity{Routers: 2_000_000}}},
		"no routers":       {},
		"a bad weight":     {Settings: decision.Settings{Identity: decision.Identity{Routers: 3}, Workloads: []decision.Workload{{Name: "w", PriorityWeight: -1}}}},
	} {
		t.Run(name, func(t *testing.T) {
			own := RulesFromSettings(moduleSettings)
			assert.NoError(t, own.Validate())
			assert.GreaterOrEqual(t, own.Routers, 1)
		})
	}
}
