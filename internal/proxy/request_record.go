package proxy

import (
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/classify"
	"bankledge/internal/invariant"
	"bankledge/internal/logevent"
	"bankledge/internal/sqltext"
	"bankledge/internal/upstream"
)

// request is the record of one request. The event loop owns it once it is admitted.
type request struct {
	id         decision.StatementID
	workload   string // as declared
	text       []byte
	client     client
	stream     uint32
	receivedAt time.Time
	deadline   time.Time          // after it the client does not wait any more
	invariants *invariant.Request // its history for the run-time checks

	finished         bool // answered, or cancelled by its client
	attempts         []*upstream.Attempt
	attemptsInFlight int
	outcomes         []decision.Outcome // of the attempts that have ended, in the order in which they did

	analysis        *sqltext.Statement   // of its text, until it was classified
	observation     classify.Observation // the classification that the ends of its attempts are recorded for
	missingMemoryMB float64              // the most that an engine reported to be missing
}

// finish marks a request as finished. Attempts that have not been sent yet will not be, before its client can know of the end.
func (l *eventLoop) finish(req *request) {
	req.finished = true
	l.requests.removeStream(req)
	for _, attempt := range req.attempts {
		attempt.CancelUnsent()
	}
	l.router.metrics.open.Add(-1)
	l.releaseIfDone(req)
}

// releaseIfDone drops the record of a request that is finished once none of its attempts is in flight.
func (l *eventLoop) releaseIfDone(req *request) {
	if !req.finished || req.attemptsInFlight != 0 {
		return
	}
	l.requests.remove(req)
	req.client.ReleaseText(len(req.text))
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
	m.event.Finished = req.finished
	l.recordAttemptEnd(req, m.event)
	return m.event
}

// recordAttemptEnd records the end of an attempt.
func (l *eventLoop) recordAttemptEnd(req *request, ended decision.AttemptEnded) {
	req.attemptsInFlight--
	req.outcomes = append(req.outcomes, ended.Outcome)
	req.invariants.EndAttempt(ended.Attempt, isKnownNotRun(ended.Outcome))
	l.learn(req, ended)
	l.router.metrics.outcomes.add(ended.Outcome)
	l.router.log.Debug(logevent.UpstreamAttemptRecorded, logevent.RequestID(req.id), logevent.Attempt(ended.Attempt),
		logevent.Endpoint(ended.Engine), logevent.Workload(req.workload), logevent.Outcome(ended.Outcome),
		logevent.Duration(ended.Elapsed), zap.Any("report", ended.Report))
	l.releaseIfDone(req)
}

// isKnownNotRun reports whether an outcome proves that the attempt did not run.
func isKnownNotRun(outcome decision.Outcome) bool {
	switch outcome {
	case decision.Overloaded, decision.ConnectFailed, decision.NotSent:
		return true
	default:
		return false
	}
}

// recordProgress records the missing memory that an attempt's progress report names.
func (l *eventLoop) recordProgress(note decision.AttemptProgress) {
	if note.Kind != decision.ProgressSpilling {
		return
	}
	if req := l.requests.find(note.Statement); req != nil {
		req.missingMemoryMB = max(req.missingMemoryMB, note.Value)
	}
}

// AttemptProgressed receives a progress report of an attempt, from its goroutine.
func (r *Router) AttemptProgressed(ev decision.AttemptProgress) { r.loop.post(input{event: ev}) }

// AttemptEnded receives the end of an attempt, from its goroutine.
func (r *Router) AttemptEnded(ev decision.AttemptEnded, result []byte) {
	r.loop.post(input{message: attemptEnded{event: ev, result: result}})
}

// HealthCheckEnded receives the end of a health check, from its goroutine.
func (r *Router) HealthCheckEnded(ev decision.HealthCheckEnded) { r.loop.post(input{event: ev}) }
