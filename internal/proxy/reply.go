package proxy

import (
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/downstream"
	"bankledge/internal/logevent"
)

// Reasons of answers that the router gives without a decision of the module.
const (
	reasonCompleted  decision.Reason = "an attempt completed"
	reasonIDInUse    decision.Reason = "the id is in use"
	reasonSlowClient decision.Reason = "the client reads its answers too slowly"
	reasonInvariant  decision.Reason = "an invariant forbids what was decided"
	reasonUnanswered decision.Reason = "the decision module gave no answer"
)

// forwardResult sends a result to its client, unless the request is finished already. It is buffered until its last page has been
// received and then forwarded complete, so an engine that dies between pages leaves no partial answer.
func (l *eventLoop) forwardResult(req *request, result []byte) {
	if !req.finished {
		l.reply(req, downstream.CodeCompleted, result, reasonCompleted)
	}
}

// reply sends the one final answer; a second is not sent. The reason is for the log.
func (l *eventLoop) reply(req *request, code downstream.Code, body []byte, reason decision.Reason) {
	if req.finished {
		return
	}
	if code == downstream.CodeRejected {
		if violation := req.invariants.CheckRejection(); violation != nil {
			l.router.violations.Record(violation)
			code = downstream.CodeAborted
			body = nil
			reason = reasonInvariant
		}
	}
	if violation := req.invariants.RecordAnswer(); violation != nil {
		l.router.violations.Record(violation)
		return
	}
	l.requests.recordAnswer(req)
	l.finish(req)
	if stalled := req.client.Answer(req.stream, code, body); stalled {
		l.followUps = append(l.followUps, decision.ClientReadStateChanged{Statements: l.requests.openOf(req.client)})
	}
	l.router.metrics.recordAnswer(code)
	l.router.log.Debug(logevent.RequestAnswered, logevent.RequestID(req.id), zap.Uint8("code", uint8(code)), logevent.Reason(reason),
		zap.Int("attempts", len(req.attempts)), logevent.Duration(time.Since(req.receivedAt)))
}

// finishUnanswered finishes a request that its client has cancelled.
func (l *eventLoop) finishUnanswered(req *request) {
	req.invariants.RecordCancellation()
	req.client.CloseStream(req.stream)
	l.router.log.Debug(logevent.RequestCancelled, logevent.RequestID(req.id), zap.Int("attempts", len(req.attempts)),
		zap.Int("in_flight", req.attemptsInFlight))
	l.router.metrics.cancelled.Add(1)
	l.finish(req)
	for _, attempt := range req.attempts { // also those that were called off before
		attempt.WithholdStart()
	}
}
