package settings

import "bankledge/decision"

// Allowed values of enumerated fields in the settings object. The empty text represents an absent key.
var (
	idempotencyValues = map[string]decision.Idempotency{
		"idempotent":   decision.Idempotent,
		"deduplicated": decision.Deduplicated,
		"at_most_once": decision.NonIdempotent,
	}
	dedupScopeValues = map[string]decision.DedupScope{
		"":     decision.ScopeAll,
		"all":  decision.ScopeAll,
		"zone": decision.ScopeZone,
		"cell": decision.ScopeCell,
	}
	overcommitValues = map[string]decision.OvercommitPolicy{
		"":       decision.OvercommitUnknown,
		"wait":   decision.OvercommitWait,
		"shrink": decision.OvercommitShrink,
		"page":   decision.OvercommitPage,
	}
	reportSourceValues = map[string]decision.LoadReportSource{
		"":         decision.LoadReportsOff,
		"off":      decision.LoadReportsOff,
		"inline":   decision.LoadReportsInResponses,
		"on_probe": decision.LoadReportsByHealthCheck,
	}
	// pollValues states for each kind of discovery whether the router has to poll the endpoint list.
	pollValues = map[string]bool{
		"":           false,
		"pushed":     false,
		"on_request": true,
	}
)

// ReportFieldNames maps the names of load report fields in settings.
var ReportFieldNames = map[string]decision.LoadReportField{
	"concurrent": decision.FieldInFlight,
	"depth":      decision.FieldQueueDepth,
	"load_share": decision.FieldUtilization,
	"mean_ms":    decision.FieldLatencyMS,
	"tps":        decision.FieldThroughput,
	"err_ps":     decision.FieldErrorRate,
	"x0":         decision.FieldMemory,
	"x1":         decision.FieldDisks,
}

// ResponseFieldNames maps the names of load report fields in engines' responses. Engines may also use the names of
// ReportFieldNames.
var ResponseFieldNames = map[string]decision.LoadReportField{
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

// ParseEnum returns the value that a field's text represents, or a FieldError with an UnknownValueError.
func ParseEnum[T any](field, value string, values map[string]T) (T, error) {
	result, ok := values[value]
	if !ok {
		return result, &FieldError{Field: field, Err: UnknownValueError{Value: value}}
	}
	return result, nil
}
