package proxy

import (
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/downstream"
	"bankledge/internal/logevent"
	"bankledge/internal/upstream"
)

// perform executes an action of the module. It never blocks.
func (l *eventLoop) perform(action decision.Action) {
	log := l.router.log
	switch a := action.(type) {
	case decision.StartAttempt:
		l.startAttempt(a)
	case decision.CancelAttempt:
		l.cancelAttempt(a)
	case decision.Reject:
		if req := l.requests.find(a.Statement); req != nil {
			l.reply(req, downstream.CodeRejected, nil, a.Reason) // the protocol has no field for RetryIn
		}
	case decision.Abort:
		if req := l.requests.find(a.Statement); req != nil {
			l.reply(req, downstream.CodeAborted, nil, a.Reason)
		}
	case decision.HealthCheck:
		l.router.metrics.healthChecks.Add(1)
		l.router.upstream.CheckHealth(a.Engine)
	case decision.CloseIdleConnections:
		l.router.upstream.CloseIdleConnections(a.Engine)
	case decision.SetTimer:
		l.timers = append(l.timers, a)
	case decision.Log:
		log.Info(logevent.DecisionModuleMessage, logevent.Message(a.Text))
	case decision.Crash:
		log.Error(logevent.DecisionModuleFailed, logevent.Message(a.Text))
	case decision.WatchEndpoints, decision.FetchEndpoints, decision.SetResources, decision.SendToPeers:
		// Nothing to do: the router always follows the control feed, and the protocol has no frames for resources or for other routers.
	default:
		log.Error(logevent.ActionUnsupported, zap.Any("action", action))
	}
}

// startAttempt passes an attempt to package upstream. An attempt that must not begin is passed with an expired deadline: it ends as not
// sent, and the module receives that end like any other.
func (l *eventLoop) startAttempt(start decision.StartAttempt) {
	req := l.requests.find(start.Statement)
	if req == nil || req.finished {
		l.router.log.Error(logevent.UpstreamAttemptNotStarted, logevent.RequestID(start.Statement))
		return
	}
	violation := req.invariants.BeginAttempt(l.locations.lookUp(start.Engine), l.decidedAt) // checked for the time of the module's decision
	attempt := l.newAttemptRequest(req, start)
	if violation != nil {
		attempt.Deadline = expiredDeadline()
	}
	l.router.log.Debug(logevent.UpstreamAttemptStarted, logevent.RequestID(req.id), logevent.Attempt(attempt.Attempt),
		logevent.Endpoint(start.Engine), zap.Stringers("earlier_outcomes", req.outcomes),
		logevent.Milliseconds("time_left_ms", time.Until(attempt.Deadline)))
	req.attemptsInFlight++
	l.router.metrics.attempts.Add(1)
	req.attempts = append(req.attempts, l.router.upstream.StartAttempt(attempt))
	if violation != nil { // the module's further decisions about this request are not trusted
		l.router.violations.Record(violation)
		l.reply(req, downstream.CodeAborted, nil, reasonInvariant)
		l.followUps = append(l.followUps, decision.ClientCancelled{Statement: req.id})
	}
}

func (l *eventLoop) newAttemptRequest(req *request, start decision.StartAttempt) upstream.AttemptRequest {
	now := l.router.now()
	attempt := upstream.AttemptRequest{
		Statement: req.id,
		Attempt:   decision.AttemptID(len(req.attempts)),
		Engine:    start.Engine,
		Workload:  req.workload,
		Text:      req.text,
		Deadline:  req.deadline,

		ClientWaits: func() bool { return l.router.clientWaits(req) },
	}
	if start.Timeout > 0 {
		timeout := l.router.clockOrigin.Add(now + start.Timeout)
		if timeout.Before(attempt.Deadline) {
			attempt.Deadline = timeout
		}
	}
	if l.lease != nil && l.lease.hasExpired(now) { // the router was suspended after the decision, so the module has to decide again
		attempt.Deadline = expiredDeadline()
	}
	if start.StartBefore > 0 {
		attempt.StartBefore = l.router.clockOrigin.Add(start.StartBefore)
	}
	return attempt
}

// expiredDeadline returns a deadline that has already passed.
func expiredDeadline() time.Time { return time.Now().Add(-time.Second) }

func (l *eventLoop) cancelAttempt(cancel decision.CancelAttempt) {
	req := l.requests.find(cancel.Statement)
	if req == nil || int(cancel.Attempt) >= len(req.attempts) {
		return
	}
	l.router.log.Debug(logevent.UpstreamAttemptCancelled, logevent.RequestID(req.id), logevent.Attempt(cancel.Attempt), logevent.Reason(cancel.Reason))
	attempt := req.attempts[cancel.Attempt]
	if req.finished {
		attempt.Cancel()
	} else {
		attempt.CancelKeepingStart()
	}
}
