package decision

// LoadReportField is one figure of a load report.
type LoadReportField int

// The fields of a load report.
const (
	FieldInFlight    LoadReportField = iota // statements at the engine, of all routers
	FieldQueueDepth                         // statements that wait at the engine
	FieldUtilization                        // share of its cores in use, from 0 to 1
	FieldLatencyMS                          // mean time of a statement, in milliseconds
	FieldThroughput                         // statements completed a second
	FieldErrorRate                          // statements failed a second
	FieldMemory                             // as the engine has it; nothing is decided by it
	FieldDisks                              // as the engine has it; nothing is decided by it
	NumLoadReportFields
)

// LoadReportSource says how load reports reach the router.
type LoadReportSource int

// The sources: there are no reports, they come with responses, or only with the results of health checks.
const (
	LoadReportsOff LoadReportSource = iota
	LoadReportsInResponses
	LoadReportsByHealthCheck
)

// LoadReportSettings says how load reports come and which fields they have.
type LoadReportSettings struct {
	Source LoadReportSource
	Fields []LoadReportField
}

// LoadReport is one engine's report of its load; the zero value is a report without fields. The settings choose the
// fields of a report, and their order, by name, so figures are stored by LoadReportField and not as named members: a
// decoder would have to map each name to a member by a switch. Arrays of a fixed size keep a report at one allocation.
type LoadReport struct {
	values [NumLoadReportFields]float64
	known  [NumLoadReportFields]bool
}

// Get returns the figure of a field in the field's unit; known is false if the engine did not report it.
func (r *LoadReport) Get(field LoadReportField) (value float64, known bool) {
	return r.values[field], r.known[field]
}

// Set records that the engine reported a figure for a field.
func (r *LoadReport) Set(field LoadReportField, value float64) {
	r.values[field] = value
	r.known[field] = true
}
