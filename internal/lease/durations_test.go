package lease

import (
	"fmt"
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

// TestRecordedDurations checks the values that are derived from the configured durations, and the texts of the errors.
func TestRecordedDurations(t *testing.T) {
	var lines []string
	for _, s := range []Durations{
		DefaultDurations(),
		{LeaseDuration: time.Second, RenewInterval: 200 * ms, ReplyTimeout: 200 * ms, MaxClockDrift: 0.05},
		{LeaseDuration: 3*time.Second + 1, RenewInterval: 333 * ms, ReplyTimeout: 77 * ms, MaxClockDrift: 0.2, MaxBatch: time.Second, MaxPause: 7},
		{LeaseDuration: 2 * time.Second, RenewInterval: 900 * ms, ReplyTimeout: 400 * ms},
		{LeaseDuration: time.Second, RenewInterval: ms, ReplyTimeout: 200 * ms},
		{LeaseDuration: time.Second, RenewInterval: 200 * ms, ReplyTimeout: 2 * time.Second},
		{LeaseDuration: time.Second, RenewInterval: 200 * ms, ReplyTimeout: 200 * ms, MaxBatch: 600 * ms},
		{LeaseDuration: time.Second, RenewInterval: 200 * ms, ReplyTimeout: 200 * ms, MaxPause: -1},
		{LeaseDuration: time.Second, RenewInterval: 200 * ms, ReplyTimeout: 200 * ms, MaxClockDrift: 0.21},
		{LeaseDuration: 2 * time.Hour},
	} {
		lines = append(lines, fmt.Sprintf("%d %d %d %d %s: %v", s.ClientLease(), s.CoordinatorLease(), s.MaxContradiction(), s.MaxActivation(), s.CompatibilityKey(), s.Validate()))
	}
	assert.Equal(t, []string{
		"1980000000 2020000000 2100000000 2440404040 term 2s, drift 0.01: <nil>",
		"950000000 1050000000 1000000000 1305263157 term 1s, drift 0.05: <nil>",
		"2400000000 3600000001 4000000008 4833000001 term 3.000000001s, drift 0.2: <nil>",
		"2000000000 2000000000 2000000000 2900000000 term 2s, drift 0: term: 2s, less drift, is under 2.6s: one answer that is lost would end it",
		"1000000000 1000000000 1000000000 1001000000 term 1s, drift 0: renew: 1ms is not from 10ms to 1s",
		"1000000000 1000000000 1000000000 1200000000 term 1s, drift 0: answer: 2s is not from 10ms to 1s",
		"1000000000 1000000000 1600000000 1200000000 term 1s, drift 0: batch: 600ms is not from 0s to 500ms",
		"1000000000 1000000000 999999999 1200000000 term 1s, drift 0: pause: -1ns is not from 0s to 500ms",
		"790000000 1210000000 1000000000 1731645569 term 1s, drift 0.21: drift: 0.21 is not from 0 to 0.2",
		"7200000000000 7200000000000 7200000000000 7200000000000 term 2h0m0s, drift 0: term: 2h0m0s is not from 100ms to 1h0m0s",
	}, lines)
}
