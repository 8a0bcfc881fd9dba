package settings

import "bankledge/decision"

// The words of the settings object. The empty word stands for a key that is left out.
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
	// pollWords tells for each kind of discovery whether the endpoint list has to be polled.
	pollWords = map[string]bool{
		"":           false,
		"pushed":     false,
		"on_request": true,
	}
)

// ReportFieldWords maps the words for a load report's fields in settings.
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

// ResponseFieldWords maps the words for a load report's fields in engines' responses, which may be those of the settings,
// too.
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

// LookUpWord returns the value that a field's word stands for, or a FieldError with an UnknownWordError.
func LookUpWord[T any](field, word string, words map[string]T) (T, error) {
	value, ok := words[word]
	if !ok {
		return value, &FieldError{Field: field, Err: UnknownWordError{Word: word}}
	}
	return value, nil
}
