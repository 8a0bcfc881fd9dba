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
	assert.Equal(t, at(7), p.earliestArrival(at(7)), "before the first beat")
	for i := range 10 {
		p.beat(at(i * 50))
	}
	assert.Equal(t, at(499), p.earliestArrival(at(499)))
	assert.Equal(t, at(450), p.earliestArrival(at(450)+pauseThreshold+1), "read before the next beat")
	p.beat(at(2450))
	assert.Equal(t, at(450), p.earliestArrival(at(2451)), "and just after it")
	for now := at(2500); now <= at(3000); now += interval {
		p.beat(now)
		if now <= at(2900) {
			assert.Equal(t, now <= at(2650), p.earliestArrival(now+interval-1) == at(450), "for a quarter of the time, and a quarter second at most")
		}
	}
	assert.Equal(t, at(3001), p.earliestArrival(at(3001)), "input after it is new")
	p.beat(time.Hour + at(3000))
	assert.Equal(t, at(3000), p.earliestArrival(time.Hour+at(3000)+maxCatchUp-1), "however long the pause")
	assert.Equal(t, time.Hour+at(3000)+maxCatchUp, p.earliestArrival(time.Hour+at(3000)+maxCatchUp), "that ends soon")
}

func TestPauseDetectorOnASlowCore(t *testing.T) {
	at := func(ms int) time.Duration { return time.Hour + time.Duration(ms)*time.Millisecond }
	var p pauseDetector
	p.beat(at(3000))
	p.beat(at(3000) + pauseThreshold) // late by no more than a slow core may be
	assert.Equal(t, at(3251), p.earliestArrival(at(3251)))
}
