package detrand

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The numbers must not change: the order of engines for a table group is derived from them, and routers of different
// versions have to agree on it.
func TestNumbersStayTheSame(t *testing.T) {
	s := Source{Seed: 42}
	assert.Equal(t, []float64{0.5685276028935324, 0.3478296597159207, 0.7097838437940551}, []float64{s.Float64(), s.Float64(), s.Float64()})
	assert.Equal(t, uint64(0x880e1bcf4fd640af), Hash("10.0.0.1:80", 17))
	assert.Equal(t, uint64(0x82c35581295aff0b), Hash("", 17, 3))
	assert.Equal(t, uint64(0x325029fb63764d3b), Hash("name"))
	assert.Equal(t, 0.6684611334803338, Fraction("engine statement", 7))
}
