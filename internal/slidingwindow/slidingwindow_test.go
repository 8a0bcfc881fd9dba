package slidingwindow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestSumOfAWindow(t *testing.T) {
	var s Sum
	assert.Equal(t, 0.0, s.Since(0), "nothing was added")
	s.Add(time.Second, 1)
	s.Add(2*time.Second, 10)
	s.Add(2*time.Second, 100)
	assert.Equal(t, 111.0, s.Since(time.Second), "the window begins with its first moment")
	assert.Equal(t, 110.0, s.Since(time.Second+1))
	assert.Equal(t, 110.0, s.Since(0), "what was before the last window is forgotten")
	assert.Equal(t, 0.0, s.Since(time.Minute))
}
