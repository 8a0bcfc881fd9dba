package upstream

import (
	"math"
	"strconv"
	"strings"

	"bankledge/decision"
	"bankledge/internal/http1"
	"bankledge/internal/settings"
)

// The protocol's headers.
const (
	fieldID       = "X-Txn"
	fieldWorkload = "X-Lane"
	fieldLimit    = "X-Limit-Ms"
	fieldNeverRan = "X-Unrun"
	fieldPages    = "X-Batches"
	fieldPage     = "X-Batch"
	fieldNote     = "X-How"
	fieldValue    = "X-Num"
	fieldReport   = "X-Gauges"
)

// reading is what an engine's answer to the start of an execution, or to a poll, says.
type reading struct {
	over    bool             // the execution has ended
	outcome decision.Outcome // with over
	pages   int              // with a good end, how many there are
	note    *decision.AttemptProgress
	report  *decision.LoadReport
}

var notes = map[string]decision.ProgressKind{"done": decision.ProgressShareDone, "spills": decision.ProgressSpilling,
	"waits": decision.ProgressWaiting}

// outcomeOf is the one table from answers to outcomes. Only where an answer says so did nothing run.
func outcomeOf(status int, neverRan bool) (outcome decision.Outcome, over bool) {
	switch {
	case status == 202:
		return 0, false
	case status == 200:
		return decision.Completed, true
	case status == 503 && neverRan:
		return decision.Overloaded, true
	case status == 504 && neverRan:
		return decision.NotSent, true
	}
	return decision.Errored, true // 500, and all that the protocol does not know: it may have run
}

// neverRan tells whether an answer says that nothing ran.
func neverRan(head http1.Header) bool { return head.Field(fieldNeverRan) == "1" }

// read reads an answer; odd or absent fields are passed over, but for the number of pages.
func read(head http1.Header) reading {
	var r reading
	r.report = parseReport(head.Field(fieldReport))
	r.outcome, r.over = outcomeOf(head.Status, neverRan(head))
	if r.over && r.outcome == decision.Completed {
		n, err := strconv.Atoi(head.Field(fieldPages))
		if err != nil || n < 1 || n > mostPages {
			r.outcome = decision.Errored // a result of unknown length is none
		}
		r.pages = n
	}
	if note, ok := notes[head.Field(fieldNote)]; ok && !r.over {
		if value, ok := number(head.Field(fieldValue)); ok {
			r.note = &decision.AttemptProgress{Kind: note, Value: value}
		}
	}
	return r
}

// parseReport reads name:value pairs with semicolons between them; nil if there is nothing to be had.
func parseReport(text string) *decision.LoadReport {
	var r *decision.LoadReport
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		field, known := settings.ResponseFieldWords[strings.TrimSpace(name)]
		v, ok := number(strings.TrimSpace(value))
		if !known || !ok {
			continue
		}
		if r == nil {
			r = &decision.LoadReport{}
		}
		r.Value[field], r.Known[field] = v, true
	}
	return r
}

func number(text string) (float64, bool) {
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && v >= 0 && !math.IsInf(v, 0)
}
