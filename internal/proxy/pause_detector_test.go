package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestPauseDetector(t *testing.T) {
	const interval = 50 * time.Millisecond
	var p pauseDetector
	at := func(ms int) time.Duration { return time.Hour + time.Duration(ms)*time.Millisecond }
	assert.Equal(t, at(7), p.earliestArrival(at(7)), "before the first heartbeat")
	for i := range 10 {
		p.heartbeat(at(i * 50))
	}
	assert.Equal(t, at(499), p.earliestArrival(at(499)))
	assert.Equal(t, at(450), p.earliestArrival(at(450)+pauseThreshold+1), "read before the next heartbeat")
	p.heartbeat(at(2450))
	assert.Equal(t, at(450), p.earliestArrival(at(2451)), "read just after that heartbeat")
	for now := at(2500); now <= at(3000); now += interval {
		p.heartbeat(now)
		if now <= at(2900) {
			assert.Equal(t, now <= at(2650), p.earliestArrival(now+interval-1) == at(450), "catch-up lasts a quarter of the pause, and at most a quarter of a second")
		}
	}
	assert.Equal(t, at(3001), p.earliestArrival(at(3001)), "later input is new")
	p.heartbeat(time.Hour + at(3000))
	assert.Equal(t, at(3000), p.earliestArrival(time.Hour+at(3000)+maxCatchUp-1), "catch-up after a long pause")
	assert.Equal(t, time.Hour+at(3000)+maxCatchUp, p.earliestArrival(time.Hour+at(3000)+maxCatchUp), "catch-up ends after maxCatchUp")
}

func TestPauseDetectorOnASlowCore(t *testing.T) {
	at := func(ms int) time.Duration { return time.Hour + time.Duration(ms)*time.Millisecond }
	var p pauseDetector
	p.heartbeat(at(3000))
	p.heartbeat(at(3000) + pauseThreshold) // late, but no more than a slow core may cause
	assert.Equal(t, at(3251), p.earliestArrival(at(3251)))
}
