package decision

// LoadReportField is one figure of a load report.
type LoadReportField int

// The fields of a load report.
const (
	FieldInFlight    LoadReportField = iota // statements at the engine, of all routers
	FieldQueueDepth                         // statements that wait at the engine
	FieldUtilisation                        // share of its cores in use, from 0 to 1
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

// LoadReportSettings says how load reports come and which fields they hold.
type LoadReportSettings struct {
	Source LoadReportSource
	Fields []LoadReportField
}

// LoadReport is one engine's report of its load. Value holds a field's figure where Known says that it was reported.
type LoadReport struct {
	Value [NumLoadReportFields]float64
	Known [NumLoadReportFields]bool
}
