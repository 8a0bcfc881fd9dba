package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDurations(t *testing.T) {
	d := DefaultDurations()
	require.NoError(t, d.Validate())
	assert.Equal(t, 2100*ms, d.MaxContradiction())
	assert.Less(t, d.ClientLease(), d.LeaseDuration)
	assert.Greater(t, d.CoordinatorLease(), d.LeaseDuration)
}

func TestDurationsValidateNamesTheSetting(t *testing.T) {
	for wantError, change := range map[string]func(*Durations){
		"term: 1":  func(d *Durations) { d.LeaseDuration = ms },
		"term: 2s": func(d *Durations) { d.RenewInterval = 900 * ms },
		"drift":    func(d *Durations) { d.MaxClockDrift = 0.5 },
		"batch":    func(d *Durations) { d.MaxBatch = 2 * time.Second },
		"pause":    func(d *Durations) { d.MaxPause = -1 },
		"answer":   func(d *Durations) { d.ReplyTimeout = 0 },
	} {
		t.Run(wantError, func(t *testing.T) {
			d := DefaultDurations()
			change(&d)
			assert.ErrorContains(t, d.Validate(), wantError)
		})
	}
}
