package decision

// LoadReportField is one value of a load report.
type LoadReportField int

// The fields of a load report.
const (
	FieldInFlight    LoadReportField = iota // statements on the engine, from all routers
	FieldQueueDepth                         // statements that wait on the engine
	FieldUtilization                        // share of its cores in use, from 0 to 1
	FieldLatencyMS                          // mean latency of a statement, in milliseconds
	FieldThroughput                         // completed statements per second
	FieldErrorRate                          // failed statements per second
	FieldMemory                             // as reported by the engine; no decision depends on it
	FieldDisks                              // as reported by the engine; no decision depends on it
	NumLoadReportFields
)

// LoadReportSource says how load reports reach the router.
type LoadReportSource int

// The sources: no reports, reports in responses, or reports only in the results of health checks.
const (
	LoadReportsOff LoadReportSource = iota
	LoadReportsInResponses
	LoadReportsByHealthCheck
)

// LoadReportSettings configures the source and the fields of load reports.
type LoadReportSettings struct {
	Source LoadReportSource
	Fields []LoadReportField
}

// LoadReport is an engine's report of its load; the zero value has no fields. The settings choose the fields of a
// report, and their order, by name. Values are therefore indexed by LoadReportField: with struct fields, a decoder
// would need a switch from each name to a field. Arrays of a fixed size keep a report at one allocation.
type LoadReport struct {
	values [NumLoadReportFields]float64
	known  [NumLoadReportFields]bool
}

// Get returns the value of a field, in the field's unit; known is false if the engine did not report the field.
func (r *LoadReport) Get(field LoadReportField) (value float64, known bool) {
	return r.values[field], r.known[field]
}

// Set records the value that the engine reported for a field.
func (r *LoadReport) Set(field LoadReportField, value float64) {
	r.values[field] = value
	r.known[field] = true
}
