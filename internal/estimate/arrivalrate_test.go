package estimate

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestArrivalRate(t *testing.T) {
	const windows = 60
	var r ArrivalRate
	assert.Equal(t, 3.0, r.Expected(3), "no observations yet")
	for range windows {
		r.Advance(1)
	}
	assert.Less(t, r.Expected(3), 0.45, "nothing arrived")
	for range windows {
		r.Advance(1)
		r.Observe(2)
	}
	assert.InDelta(t, 2, r.Expected(3), 0.3)
	for range windows {
		r.Advance(1)
	}
	assert.Less(t, r.Expected(3), 0.8, "past arrivals decay")
}
