package settings

import "bankledge/decision"

// Allowed words of enumerated fields in the settings object. The empty word represents an absent key.
var (
	idempotencyWords = map[string]decision.Idempotency{
		"idempotent":   decision.Idempotent,
		"deduplicated": decision.Deduplicated,
		"at_most_once": decision.NonIdempotent,
	}
	dedupScopeWords = map[string]decision.DedupScope{
		"":     decision.ScopeAll,
		"all":  decision.ScopeAll,
		"zone": decision.ScopeZone,
		"cell": decision.ScopeCell,
	}
	overcommitWords = map[string]decision.OvercommitPolicy{
		"":       decision.OvercommitUnknown,
		"wait":   decision.OvercommitWait,
		"shrink": decision.OvercommitShrink,
		"page":   decision.OvercommitPage,
	}
	reportSourceWords = map[string]decision.LoadReportSource{
		"":         decision.LoadReportsOff,
		"off":      decision.LoadReportsOff,
		"inline":   decision.LoadReportsInResponses,
		"on_probe": decision.LoadReportsByHealthCheck,
	}
	// pollWords states for each kind of discovery whether the router has to poll the endpoint list.
	pollWords = map[string]bool{
		"":           false,
		"pushed":     false,
		"on_request": true,
	}
)

// ReportFieldWords maps the names of load report fields in settings.
var ReportFieldWords = map[string]decision.LoadReportField{
	"concurrent": decision.FieldInFlight,
	"depth":      decision.FieldQueueDepth,
	"load_share": decision.FieldUtilization,
	"mean_ms":    decision.FieldLatencyMS,
	"tps":        decision.FieldThroughput,
	"err_ps":     decision.FieldErrorRate,
	"x0":         decision.FieldMemory,
	"x1":         decision.FieldDisks,
}

// ResponseFieldWords maps the names of load report fields in engines' responses. Engines may also use the names of
// ReportFieldWords.
var ResponseFieldWords = map[string]decision.LoadReportField{
	"inflight":   decision.FieldInFlight,
	"queue":      decision.FieldQueueDepth,
	"util":       decision.FieldUtilization,
	"latency_ms": decision.FieldLatencyMS,
	"qps":        decision.FieldThroughput,
	"eps":        decision.FieldErrorRate,
	"x0":         decision.FieldMemory,
	"x1":         decision.FieldDisks,
	"concurrent": decision.FieldInFlight,
	"depth":      decision.FieldQueueDepth,
	"load_share": decision.FieldUtilization,
	"mean_ms":    decision.FieldLatencyMS,
	"tps":        decision.FieldThroughput,
	"err_ps":     decision.FieldErrorRate,
}

// LookUpWord returns the value of a field's word, or a FieldError with an UnknownWordError.
func LookUpWord[T any](field, word string, words map[string]T) (T, error) {
	value, ok := words[word]
	if !ok {
		return value, &FieldError{Field: field, Err: UnknownWordError{Word: word}}
	}
	return value, nil
}
