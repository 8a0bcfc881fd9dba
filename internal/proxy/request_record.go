package proxy

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/classify"
	"bankledge/internal/invariant"
	"bankledge/internal/logevent"
	"bankledge/internal/sqltext"
	"bankledge/internal/upstream"
)

// request is the record of one request. The event loop owns it after admission.
type request struct {
	id         decision.StatementID
	workload   string // as declared by the client
	text       []byte
	client     client
	stream     uint32
	receivedAt time.Time
	deadline   time.Time          // after this time the client no longer waits
	invariants *invariant.Request // history for the run-time checks

	finished         bool // answered, or cancelled by the client
	attempts         []*upstream.Attempt
	attemptsInFlight int
	outcomes         []decision.Outcome // of the ended attempts, in the order of their ends

	analysis        *sqltext.Statement   // of the text; nil once the request is classified
	observation     classify.Observation // classification that the ends of attempts are recorded for
	missingMemoryMB float64              // largest amount of missing memory that an engine reported
}

// finish marks a request as finished. It cancels attempts that have not been sent yet, before the client can receive the answer.
func (l *eventLoop) finish(req *request) {
	req.finished = true
	l.requests.removeStream(req)
	for _, attempt := range req.attempts {
		attempt.CancelUnsent()
	}
	l.router.metrics.open.Add(-1)
	l.releaseIfDone(req)
}

// releaseIfDone removes the record of a finished request once none of its attempts is in flight.
func (l *eventLoop) releaseIfDone(req *request) {
	if !req.finished || req.attemptsInFlight != 0 {
		return
	}
	if req.mayHaveRun() {
		l.requests.rememberID(req)
	}
	l.requests.remove(req)
	req.client.ReleaseText(len(req.text))
}

// mayHaveRun reports whether an ended attempt may have run at an engine.
func (req *request) mayHaveRun() bool {
	return slices.ContainsFunc(req.outcomes, func(outcome decision.Outcome) bool { return !isKnownNotRun(outcome) })
}

// attemptEnded is the end of an attempt.
type attemptEnded struct {
	event  decision.AttemptEnded
	result []byte // of an attempt that completed
}

func (m attemptEnded) apply(l *eventLoop, _ time.Duration) decision.Event {
	req := l.requests.find(m.event.Statement)
	if req == nil {
		return nil
	}
	if m.event.Outcome == decision.Completed {
		l.forwardResult(req, m.result)
	}
	m.event.StatementFinished = req.finished
	l.recordAttemptEnd(req, m.event)
	return m.event
}

// recordAttemptEnd records the end of an attempt in the request's record, the invariant checks, the classifier and the metrics.
func (l *eventLoop) recordAttemptEnd(req *request, ended decision.AttemptEnded) {
	req.attemptsInFlight--
	req.outcomes = append(req.outcomes, ended.Outcome)
	req.invariants.EndAttempt(ended.Attempt, isKnownNotRun(ended.Outcome))
	l.recordRunTime(req, ended)
	l.router.metrics.outcomes.add(ended.Outcome)
	l.router.log.Debug(logevent.UpstreamAttemptResultRecorded, logevent.RequestID(req.id), logevent.Attempt(ended.Attempt),
		logevent.Endpoint(ended.Engine), logevent.Workload(req.workload), logevent.Outcome(ended.Outcome),
		logevent.Duration(ended.Elapsed), zap.Any("report", ended.Report))
	l.releaseIfDone(req)
}

// isKnownNotRun reports whether an outcome confirms that the attempt did not run.
func isKnownNotRun(outcome decision.Outcome) bool {
	switch outcome {
	case decision.Overloaded, decision.ConnectFailed, decision.NotSent:
		return true
	default:
		return false
	}
}

// recordProgress records the missing memory that an attempt's progress report states.
func (l *eventLoop) recordProgress(progress decision.AttemptProgress) {
	if progress.Kind != decision.ProgressSpilling {
		return
	}
	if req := l.requests.find(progress.Statement); req != nil {
		req.missingMemoryMB = max(req.missingMemoryMB, progress.Value)
	}
}

// AttemptProgressed handles a progress report of an attempt. The attempt's goroutine calls it.
func (r *Router) AttemptProgressed(ev decision.AttemptProgress) { r.loop.post(input{event: ev}) }

// AttemptEnded handles the end of an attempt. The attempt's goroutine calls it.
func (r *Router) AttemptEnded(ev decision.AttemptEnded, result []byte) {
	r.loop.post(input{message: attemptEnded{event: ev, result: result}})
}

// HealthCheckEnded handles the end of a health check. The health check's goroutine calls it.
func (r *Router) HealthCheckEnded(ev decision.HealthCheckEnded) { r.loop.post(input{event: ev}) }
