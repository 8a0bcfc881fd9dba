package decision

// Outcome is the result of an attempt or a health check.
type Outcome int

// The outcomes. Whether the statement may have run decides whether it may be retried.
const (
	Completed       Outcome = iota
	Errored                 // answered with an error; it may have run
	Overloaded              // rejected by the engine before it ran
	TimedOut                // it may have run, and may still run
	ConnectFailed           // it never ran
	ConnectionReset         // it may have run
	Cancelled               // it may have run
	NotSent                 // the statement was already finished, or had no attempts left
)

// Reason says why a statement was ended without a response, or an attempt was cancelled. It is only for logs: no
// decision depends on it.
type Reason string

// The reasons.
const (
	ReasonDeadline              Reason = "deadline reached"
	ReasonDeadlineUnreachable   Reason = "no response in time is possible"
	ReasonShutdown              Reason = "router shuts down"
	ReasonTooManyOpenStatements Reason = "too many open statements"
	ReasonNotRetryable          Reason = "last attempt failed and must not be retried"
	ReasonFinished              Reason = "statement finished"
	ReasonNoProgress            Reason = "attempt reports no progress"
	ReasonWaitingForBulkLoad    Reason = "attempt waits for a bulk load"
	ReasonSlow                  Reason = "attempt far slower than expected"
)
