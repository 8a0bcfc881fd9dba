package flowcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestFrameRate(t *testing.T) {
	var steady FrameRate
	for second := range 1000 { // at the maximum rate, with bursts
		assert.Zero(t, steady.Record(time.Duration(second)*time.Second, frameBurst))
	}
	var flood FrameRate
	assert.Zero(t, flood.Record(0, frameBurst))
	assert.Equal(t, time.Second, flood.Record(0, maxFrameRate))
	assert.Equal(t, time.Second/2, flood.Record(time.Second/2, 0), "half of the excess is over")
	assert.Zero(t, flood.Record(time.Minute, frameBurst))
}
