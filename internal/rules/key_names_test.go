package rules

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A workload or table group without a name, or with one that is too long, is named in the error. Its text ended in "%!w(<nil>)", since the
// list under the name was valid.
func TestKeyOfListIsNoName(t *testing.T) {
	for _, key := range []string{"", strings.Repeat("x", maxNameBytes+1)} {
		kinds := &Rules{Routers: 1, AllowedMachineTypes: map[string][]string{key: {"k"}}}
		assert.EqualError(t, kinds.Validate(), `kinds: "`+key+`" is no name`)
		exclusions := &Rules{Routers: 1, PlacementExclusions: map[string][]string{key: {"e"}}}
		assert.EqualError(t, exclusions.Validate(), `kept_off: "`+key+`" is no name`)
	}
}
