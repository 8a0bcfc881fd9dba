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
	headerStatementID   = "X-Txn"
	headerWorkload      = "X-Lane"
	headerTimeLeft      = "X-Limit-Ms"
	headerNeverRan      = "X-Unrun"
	headerPageCount     = "X-Batches"
	headerPageNumber    = "X-Batch"
	headerProgressKind  = "X-How"
	headerProgressValue = "X-Num"
	headerLoadReport    = "X-Gauges"
)

// reading is what an engine's answer to the start of an execution, or to a poll, says.
type attemptStatus struct {
	ended      bool             // the execution has ended
	outcome    decision.Outcome // with over
	pageCount  int              // with a good end, how many there are
	progress   *decision.AttemptProgress
	loadReport *decision.LoadReport
}

var progressKinds = map[string]decision.ProgressKind{"done": decision.ProgressShareDone, "spills": decision.ProgressSpilling,
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
func saysNeverRan(head http1.Header) bool { return head.Field(headerNeverRan) == "1" }

// read reads an answer; odd or absent fields are passed over, but for the number of pages.
func readStatus(head http1.Header) attemptStatus {
	var r attemptStatus
	r.loadReport = parseLoadReport(head.Field(headerLoadReport))
	r.outcome, r.ended = outcomeOf(head.Status, saysNeverRan(head))
	if r.ended && r.outcome == decision.Completed {
		n, err := strconv.Atoi(head.Field(headerPageCount))
		if err != nil || n < 1 || n > maxPages {
			r.outcome = decision.Errored // a result of unknown length is none
		}
		r.pageCount = n
	}
	if note, ok := progressKinds[head.Field(headerProgressKind)]; ok && !r.ended {
		if value, ok := parseNonNegative(head.Field(headerProgressValue)); ok {
			r.progress = &decision.AttemptProgress{Kind: note, Value: value}
		}
	}
	return r
}

// parseReport reads name:value pairs with semicolons between them; nil if there is nothing to be had.
func parseLoadReport(text string) *decision.LoadReport {
	var r *decision.LoadReport
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		field, known := settings.ResponseFieldWords[strings.TrimSpace(name)]
		v, ok := parseNonNegative(strings.TrimSpace(value))
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

func parseNonNegative(text string) (float64, bool) {
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && v >= 0 && !math.IsInf(v, 0)
}
