package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestPulse(t *testing.T) {
	const beat = 50 * time.Millisecond
	var p pulse
	at := func(ms int) time.Duration { return time.Hour + time.Duration(ms)*time.Millisecond }
	assert.Equal(t, at(7), p.arrived(at(7)), "before the first beat")
	for i := range 10 {
		p.strike(at(i * 50))
	}
	assert.Equal(t, at(499), p.arrived(at(499)))
	assert.Equal(t, at(450), p.arrived(at(450)+heldUp+1), "read before the next beat")
	p.strike(at(2450))
	assert.Equal(t, at(450), p.arrived(at(2451)), "and just after it")
	for now := at(2500); now <= at(3000); now += beat {
		p.strike(now)
		if now <= at(2900) {
			assert.Equal(t, now <= at(2650), p.arrived(now+beat-1) == at(450), "for a quarter of the time, and a quarter second at most")
		}
	}
	assert.Equal(t, at(3001), p.arrived(at(3001)), "what comes later came then")
	p.strike(time.Hour + at(3000))
	assert.Equal(t, at(3000), p.arrived(time.Hour+at(3000)+catchUpMost-1), "however long it stood")
	assert.Equal(t, time.Hour+at(3000)+catchUpMost, p.arrived(time.Hour+at(3000)+catchUpMost), "that ends soon")
}

func TestPulseOfASlowCore(t *testing.T) {
	at := func(ms int) time.Duration { return time.Hour + time.Duration(ms)*time.Millisecond }
	var p pulse
	p.strike(at(3000))
	p.strike(at(3000) + heldUp) // late by no more than a slow core may be
	assert.Equal(t, at(3251), p.arrived(at(3251)))
}
