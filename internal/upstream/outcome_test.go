package upstream

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
	"bankledge/internal/http1"
)

func TestRead(t *testing.T) {
	note := func(n decision.ProgressKind, v float64) *decision.AttemptProgress {
		return &decision.AttemptProgress{Kind: n, Value: v}
	}
	for _, c := range []struct {
		name, head string
		over       bool
		outcome    decision.Outcome
		pages      int
		note       *decision.AttemptProgress
	}{
		{"ok", "200 OK\r\nX-Batches: 3", true, decision.Completed, 3, nil},
		{"ok with no number of pages", "200 OK", true, decision.Errored, 0, nil},
		{"ok with an odd number of pages", "200 OK\r\nX-Batches: 0", true, decision.Errored, 0, nil},
		{"full", "503 Full\r\nx-unrun: 1", true, decision.Overloaded, 0, nil},
		{"503 that proves nothing", "503 Full", true, decision.Errored, 0, nil},
		{"over already", "504 Late\r\nX-Unrun: 1", true, decision.NotSent, 0, nil},
		{"504 that proves nothing", "504 Late", true, decision.Errored, 0, nil},
		{"error", "500 Error", true, decision.Errored, 0, nil},
		{"an error proves nothing, whatever it says", "500 Error\r\nX-Unrun: 1", true, decision.Errored, 0, nil},
		{"an unknown status", "418 Odd", true, decision.Errored, 0, nil},
		{"no news", "202 Wait", false, 0, 0, nil},
		{"share done", "202 Wait\r\nX-How: done\r\nX-Num: 0.25", false, 0, 0, note(decision.ProgressShareDone, 0.25)},
		{"spills", "202 Wait\r\nX-How: spills\r\nX-Num: 96", false, 0, 0, note(decision.ProgressSpilling, 96)},
		{"waits for a load", "202 Wait\r\nX-How: waits\r\nX-Num: 2", false, 0, 0, note(decision.ProgressWaiting, decision.WaitingForBulkLoad)},
		{"an unknown note", "202 Wait\r\nX-How: sings\r\nX-Num: 2", false, 0, 0, nil},
		{"a note without its number", "202 Wait\r\nX-How: done", false, 0, 0, nil},
		{"a note that is no number", "202 Wait\r\nX-How: done\r\nX-Num: NaN", false, 0, 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			head, err := http1.ParseHeader([]byte("HTTP/1.1 " + c.head))
			require.NoError(t, err)
			got := readStatus(head)
			assert.Equal(t, c.over, got.ended)
			assert.Equal(t, c.outcome, got.outcome)
			assert.Equal(t, c.note, got.progress)
			if c.outcome == decision.Completed {
				assert.Equal(t, c.pages, got.pageCount)
			}
		})
	}
}

func TestParseReport(t *testing.T) {
	for _, c := range []struct {
		text string
		want map[decision.LoadReportField]float64
	}{
		{"inflight:7;util:0.61;x1:0.2", map[decision.LoadReportField]float64{decision.FieldInFlight: 7, decision.FieldUtilisation: 0.61, decision.FieldDisks: 0.2}},
		{" load_share : 0.5 ;", map[decision.LoadReportField]float64{decision.FieldUtilisation: 0.5}},
		{"inflight:x;util:0.5;odd:3;queue", map[decision.LoadReportField]float64{decision.FieldUtilisation: 0.5}},
		{"util:-1;inflight:Inf", nil},
		{"", nil},
	} {
		got := parseLoadReport(c.text)
		if c.want == nil {
			assert.Nil(t, got, c.text)
			continue
		}
		require.NotNil(t, got, c.text)
		for f := range decision.NumLoadReportFields {
			v, known := c.want[f]
			assert.Equal(t, known, got.Known[f], "%s: %d", c.text, f)
			assert.Equal(t, v, got.Value[f], "%s: %d", c.text, f)
		}
	}
}
