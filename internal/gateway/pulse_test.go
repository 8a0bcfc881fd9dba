package gateway

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
	p.strike(at(2000))
	assert.Equal(t, at(450), p.arrived(at(2001)), "and just after it")
	p.strike(at(2000) + beat)
	assert.Equal(t, at(450), p.arrived(at(2000)+catchUp-1))
	assert.Equal(t, at(2000)+catchUp, p.arrived(at(2000)+catchUp), "what comes later came then")
	p.strike(at(2000) + catchUp)
	p.strike(at(2000) + catchUp + heldUp) // late by no more than a slow core may be
	assert.Equal(t, at(2400), p.arrived(at(2400)))
}
