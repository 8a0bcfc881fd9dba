package configversion

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/rules"
)

// A version with something behind it is not what was hashed and sent.
func TestDecodeRefusesTrailingData(t *testing.T) {
	r := &rules.Rules{Routers: 3}
	require.NoError(t, r.Validate())
	encoded := New(nil, "l", r, nil, "").Encode()
	_, err := Decode(encoded)
	require.NoError(t, err)
	for _, trailing := range []string{"{}", " x", "]"} {
		_, err = Decode(append([]byte(string(encoded)), trailing...))
		assert.Error(t, err, trailing)
	}
}
