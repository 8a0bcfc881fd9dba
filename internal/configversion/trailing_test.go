package configversion

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/rules"
)

// Data after the encoded version is not covered by the hash, so Decode must reject it.
func TestDecodeRejectsTrailingData(t *testing.T) {
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
