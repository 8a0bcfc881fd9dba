package upstream

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
	"bankledge/internal/http1"
)

func TestReadStatus(t *testing.T) {
	progress := func(kind decision.ProgressKind, value float64) *decision.AttemptProgress {
		return &decision.AttemptProgress{Kind: kind, Value: value}
	}
	ended := func(outcome decision.Outcome) attemptStatus { return attemptStatus{ended: true, outcome: outcome} }
	for _, test := range []struct {
		name, header string
		want         attemptStatus
	}{
		{"completed", "200 OK\r\nX-Batches: 3", attemptStatus{ended: true, outcome: decision.Completed, pageCount: 3}},
		{"completed without a number of pages", "200 OK", ended(decision.Errored)},
		{"completed with an invalid number of pages", "200 OK\r\nX-Batches: 0", ended(decision.Errored)},
		{"overloaded", "503 Full\r\nx-unrun: 1", ended(decision.Overloaded)},
		{"503 without the header that nothing ran", "503 Full", ended(decision.Errored)},
		{"deadline passed before the start", "504 Late\r\nX-Unrun: 1", ended(decision.NotSent)},
		{"504 without the header that nothing ran", "504 Late", ended(decision.Errored)},
		{"error", "500 Error", ended(decision.Errored)},
		{"500 with the header that nothing ran", "500 Error\r\nX-Unrun: 1", ended(decision.Errored)},
		{"an unknown status", "418 Odd", ended(decision.Errored)},
		{"no progress", "202 Wait", attemptStatus{}},
		{"share done", "202 Wait\r\nX-How: done\r\nX-Num: 0.25", attemptStatus{progress: progress(decision.ProgressShareDone, 0.25)}},
		{"spills", "202 Wait\r\nX-How: spills\r\nX-Num: 96", attemptStatus{progress: progress(decision.ProgressSpilling, 96)}},
		{"waits for a bulk load", "202 Wait\r\nX-How: waits\r\nX-Num: 2", attemptStatus{progress: progress(decision.ProgressWaiting, decision.WaitingForBulkLoad)}},
		{"an unknown kind of progress", "202 Wait\r\nX-How: sings\r\nX-Num: 2", attemptStatus{}},
		{"progress without a value", "202 Wait\r\nX-How: done", attemptStatus{}},
		{"progress with an invalid value", "202 Wait\r\nX-How: done\r\nX-Num: NaN", attemptStatus{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			header, err := http1.ParseHeader([]byte("HTTP/1.1 " + test.header))
			require.NoError(t, err)
			assert.Equal(t, test.want, readStatus(header))
		})
	}
}
