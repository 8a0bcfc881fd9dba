package upstream

import (
	"net/http"
	"strconv"

	"bankledge/decision"
	"bankledge/internal/http1"
)

// Headers of the engine protocol.
const (
	headerStatementID   = "X-Txn"
	headerWorkload      = "X-Lane"
	headerTimeLeft      = "X-Limit-Ms" // milliseconds
	headerNeverRan      = "X-Unrun"    // "1": the engine did not run the attempt
	headerPageCount     = "X-Batches"
	headerPageNumber    = "X-Batch"
	headerProgressKind  = "X-How"
	headerProgressValue = "X-Num"
	headerLoadReport    = "X-Gauges"
)

// attemptStatus is the state of an attempt as reported by an engine's response to a start or a poll.
type attemptStatus struct {
	ended      bool
	outcome    decision.Outcome // valid if ended
	pageCount  int              // valid if completed
	progress   *decision.AttemptProgress
	loadReport *decision.LoadReport
}

var progressKinds = map[string]decision.ProgressKind{
	"done":   decision.ProgressShareDone,
	"spills": decision.ProgressSpilling,
	"waits":  decision.ProgressWaiting,
}

// outcomeOf maps a response to the outcome of the attempt. The attempt counts as not run only if the response says so;
// after a response that the protocol does not define it may have run.
func outcomeOf(status int, neverRan bool) (outcome decision.Outcome, ended bool) {
	switch {
	case status == http.StatusAccepted:
		return 0, false
	case status == http.StatusOK:
		return decision.Completed, true
	case status == http.StatusServiceUnavailable && neverRan:
		return decision.Overloaded, true
	case status == http.StatusGatewayTimeout && neverRan:
		return decision.NotSent, true
	}
	return decision.Errored, true
}

func reportsNeverRan(header http1.Header) bool { return header.Field(headerNeverRan) == "1" }

// readStatus reads a response's headers. It ignores missing and invalid headers, except for the number of pages: a result
// with an unknown number of pages is an error.
func readStatus(header http1.Header) attemptStatus {
	status := attemptStatus{loadReport: parseLoadReport(header.Field(headerLoadReport))}
	status.outcome, status.ended = outcomeOf(header.Status, reportsNeverRan(header))
	if !status.ended {
		status.progress = readProgress(header)
		return status
	}
	if status.outcome == decision.Completed {
		count, err := strconv.Atoi(header.Field(headerPageCount))
		if err != nil || count < 1 || count > maxPages {
			status.outcome = decision.Errored
		}
		status.pageCount = count
	}
	return status
}

// readProgress returns a response's progress report, or nil if there is none. The caller sets the statement, the attempt
// and the engine.
func readProgress(header http1.Header) *decision.AttemptProgress {
	kind, known := progressKinds[header.Field(headerProgressKind)]
	if !known {
		return nil
	}
	value, valid := parseNonNegative(header.Field(headerProgressValue))
	if !valid {
		return nil
	}
	return &decision.AttemptProgress{Kind: kind, Value: value}
}
