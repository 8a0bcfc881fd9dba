package proxy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"bankledge/decision"
	"bankledge/internal/settings"
)

// Settings that are not valid as a version give the most restrictive rules. These have to be valid, since the lease client compares them
// with versions. Before, they were invalid where the settings state more routers than a version allows, and the error was ignored.
func TestRulesFromSettingsAreValid(t *testing.T) {
	for name, moduleSettings := range map[string]*settings.ModuleSettings{
		"too many routers":  {Settings: decision.Settings{Identity: decision.Identity{Routers: 2_000_000}}},
		"no routers":        {},
		"an invalid weight": {Settings: decision.Settings{Identity: decision.Identity{Routers: 3}, Workloads: []decision.Workload{{Name: "w", PriorityWeight: -1}}}},
	} {
		t.Run(name, func(t *testing.T) {
			localRules := RulesFromSettings(moduleSettings)
			assert.NoError(t, localRules.Validate())
			assert.GreaterOrEqual(t, localRules.Routers, 1)
		})
	}
}
