package flowcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDeriveLimits(t *testing.T) {
	const mb = 1 << 20
	for _, c := range []struct {
		name                    string
		memoryMB                int64
		peers                   int
		answerBytes             int64
		sendBufferBytes         int64
		maxTotalSendBufferBytes int64
	}{
		{"divided among connections", 32, 85, 4 * mb, 4 * mb / 85, 4 * mb},
		{"divided among more connections", 48, 170, 6 * mb, 6 * mb / 170, 6 * mb},
		{"at most the maximum", 192, 341, 24 * mb, maxSendBufferBytes, 22 * mb},
		{"at least the minimum", 32, 341, 4 * mb, minSendBufferBytes, 6 * mb},
	} {
		t.Run(c.name, func(t *testing.T) {
			limits := DeriveLimits(c.memoryMB, c.peers)
			assert.Equal(t, c.answerBytes, limits.AnswerBytes)
			assert.Equal(t, c.sendBufferBytes, limits.SendBufferBytes)
			assert.LessOrEqual(t, limits.SendBufferBytes*int64(c.peers), c.maxTotalSendBufferBytes)
		})
	}
}

func TestFrameReadTimeout(t *testing.T) {
	limits := DeriveLimits(48, 170)
	assert.Equal(t, defaultFrameGrace+frameReadSlack, limits.FrameReadTimeout(0, 0))
	assert.Equal(t, frameReadSlack, limits.FrameReadTimeout(defaultFrameGrace, 0))
	assert.Negative(t, limits.FrameReadTimeout(3*time.Second, 10), "a slow frame times out soon after the grace")
	for second := range 16 { // a frame of 256 KiB at the minimum rate arrives completely
		elapsed := defaultFrameGrace + time.Duration(second)*time.Second
		assert.Positive(t, limits.FrameReadTimeout(elapsed, int64(second)*defaultMinWriteRate))
	}
}
