package decision

// Names of enumerated values in logs and test output. No wire format uses them.
var (
	idempotencyNames = [...]string{
		Idempotent:    "idempotent",
		Deduplicated:  "deduplicated",
		NonIdempotent: "non-idempotent",
	}
	dedupScopeNames = [...]string{
		ScopeAll:  "all",
		ScopeZone: "zone",
		ScopeCell: "cell",
	}
	overcommitNames = [...]string{
		OvercommitUnknown: "unknown",
		OvercommitWait:    "wait",
		OvercommitShrink:  "shrink",
		OvercommitPage:    "page",
	}
	loadReportFieldNames = [...]string{
		FieldInFlight:    "in flight",
		FieldQueueDepth:  "queue depth",
		FieldUtilization: "utilization",
		FieldLatencyMS:   "latency ms",
		FieldThroughput:  "throughput",
		FieldErrorRate:   "error rate",
		FieldMemory:      "memory",
		FieldDisks:       "disks",
	}
	loadReportSourceNames = [...]string{
		LoadReportsOff:           "off",
		LoadReportsInResponses:   "in responses",
		LoadReportsByHealthCheck: "by health check",
	}
	engineStateNames = [...]string{
		Ready:    "ready",
		Draining: "draining",
		Removed:  "removed",
	}
	listKindNames = [...]string{
		ListPartial:   "partial",
		ListComplete:  "complete",
		ListPersisted: "persisted",
		ListFailed:    "failed",
	}
	outcomeNames = [...]string{
		Completed:       "completed",
		Errored:         "errored",
		Overloaded:      "overloaded",
		TimedOut:        "timed out",
		ConnectFailed:   "connect failed",
		ConnectionReset: "connection reset",
		Cancelled:       "cancelled",
		NotSent:         "not sent",
	}
	progressKindNames = [...]string{
		0:                 "none",
		ProgressShareDone: "share done",
		ProgressSpilling:  "spilling",
		ProgressWaiting:   "waiting",
	}
)

// nameOf returns the name of a value, or "unknown" if it has none.
func nameOf[T ~int](value T, names []string) string {
	if value < 0 || int(value) >= len(names) {
		return "unknown"
	}
	return names[value]
}

// String returns the name used in logs.
func (i Idempotency) String() string { return nameOf(i, idempotencyNames[:]) }

// String returns the name used in logs.
func (s DedupScope) String() string { return nameOf(s, dedupScopeNames[:]) }

// String returns the name used in logs.
func (p OvercommitPolicy) String() string { return nameOf(p, overcommitNames[:]) }

// String returns the name used in logs.
func (f LoadReportField) String() string { return nameOf(f, loadReportFieldNames[:]) }

// String returns the name used in logs.
func (s LoadReportSource) String() string { return nameOf(s, loadReportSourceNames[:]) }

// String returns the name used in logs.
func (s EngineState) String() string { return nameOf(s, engineStateNames[:]) }

// String returns the name used in logs.
func (k ListKind) String() string { return nameOf(k, listKindNames[:]) }

// String returns the name used in logs.
func (o Outcome) String() string { return nameOf(o, outcomeNames[:]) }

// String returns the name used in logs.
func (k ProgressKind) String() string { return nameOf(k, progressKindNames[:]) }
