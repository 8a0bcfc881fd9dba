package decision

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestEachValueHasAName(t *testing.T) {
	for _, c := range []struct {
		first, last, beyond fmt.Stringer
		names               []string
	}{
		{Idempotent, NonIdempotent, NonIdempotent + 1, idempotencyNames[:]},
		{ScopeAll, ScopeCell, ScopeCell + 1, dedupScopeNames[:]},
		{OvercommitUnknown, OvercommitPage, OvercommitPage + 1, overcommitNames[:]},
		{FieldInFlight, FieldDisks, NumLoadReportFields, loadReportFieldNames[:]},
		{LoadReportsOff, LoadReportsByHealthCheck, LoadReportsByHealthCheck + 1, loadReportSourceNames[:]},
		{Ready, Removed, Removed + 1, engineStateNames[:]},
		{ListPartial, ListFailed, ListFailed + 1, listKindNames[:]},
		{Completed, NotSent, NotSent + 1, outcomeNames[:]},
		{ProgressKind(0), ProgressWaiting, ProgressWaiting + 1, progressKindNames[:]},
	} {
		t.Run(fmt.Sprintf("%T", c.first), func(t *testing.T) {
			assert.Equal(t, c.names[0], c.first.String())
			assert.Equal(t, c.names[len(c.names)-1], c.last.String())
			assert.Equal(t, "unknown", c.beyond.String())
			assert.NotContains(t, c.names, "")
		})
	}
	assert.Equal(t, "unknown", Outcome(-1).String())
}
