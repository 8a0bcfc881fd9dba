package rules

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// The error for an empty or overlong map key quotes the key. Its text once ended in "%!w(<nil>)": it wrapped the error of the list under
// the key, and that list was valid.
func TestInvalidKeyOfNameList(t *testing.T) {
	for _, key := range []string{"", strings.Repeat("x", maxNameBytes+1)} {
		kinds := &Rules{Routers: 1, AllowedMachineTypes: map[string][]string{key: {"k"}}}
		assert.EqualError(t, kinds.Validate(), `kinds: "`+key+`" is no name`)
		exclusions := &Rules{Routers: 1, PlacementExclusions: map[string][]string{key: {"e"}}}
		assert.EqualError(t, exclusions.Validate(), `kept_off: "`+key+`" is no name`)
	}
}
