package slidingwindow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestSumOfAWindow(t *testing.T) {
	var s Sum
	assert.Equal(t, 0.0, s.Since(0), "empty")
	s.Add(time.Second, 1)
	s.Add(2*time.Second, 10)
	s.Add(2*time.Second, 100)
	assert.Equal(t, 111.0, s.Since(time.Second), "the start of the window is included")
	assert.Equal(t, 110.0, s.Since(time.Second+1))
	assert.Equal(t, 110.0, s.Since(0), "amounts before the last window are discarded")
	assert.Equal(t, 0.0, s.Since(time.Minute))
}
