package upstream

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

func TestParseLoadReport(t *testing.T) {
	type values map[decision.LoadReportField]float64
	for _, test := range []struct {
		text string
		want values
	}{
		{"inflight:7;util:0.61;x1:0.2", values{decision.FieldInFlight: 7, decision.FieldUtilization: 0.61, decision.FieldDisks: 0.2}},
		{" load_share : 0.5 ;", values{decision.FieldUtilization: 0.5}},
		{"inflight:x;util:0.5;odd:3;queue", values{decision.FieldUtilization: 0.5}},
		{"util:-1;inflight:Inf", nil},
		{"", nil},
	} {
		t.Run(test.text, func(t *testing.T) {
			report := parseLoadReport(test.text)
			if test.want == nil {
				assert.Nil(t, report)
				return
			}
			require.NotNil(t, report)
			for field := range decision.NumLoadReportFields {
				wantValue, wantKnown := test.want[field]
				value, known := report.Get(field)
				assert.Equal(t, wantKnown, known, field)
				assert.Equal(t, wantValue, value, field)
			}
		})
	}
}
