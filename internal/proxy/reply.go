package proxy

import (
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/downstream"
	"bankledge/internal/logevent"
)

// Reasons of answers that the router sends without a decision of the module.
const (
	reasonCompleted  decision.Reason = "an attempt completed"
	reasonIDInUse    decision.Reason = "the id is in use"
	reasonSlowClient decision.Reason = "the client reads its answers too slowly"
	reasonInvariant  decision.Reason = "the decision violates an invariant"
	reasonUnanswered decision.Reason = "the decision module did not answer by the deadline"
)

// forwardResult sends a result to its client, unless the request is already finished. Package upstream buffers the result until its last
// page has been received, so an engine that fails between two pages leaves no partial answer.
func (l *eventLoop) forwardResult(req *request, result []byte) {
	if !req.finished {
		l.reply(req, downstream.CodeCompleted, result, reasonCompleted)
	}
}

// reply sends the final answer of a request. It sends nothing if the request is already finished. The reason is logged.
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
	l.requests.rememberID(req)
	l.finish(req)
	if stalled := req.client.Answer(req.stream, code, body); stalled {
		l.followUps = append(l.followUps, decision.ClientReadStateChanged{Statements: l.requests.openRequestIDs(req.client)})
	}
	l.router.metrics.recordAnswer(code)
	l.router.log.Debug(logevent.RequestAnswered, logevent.RequestID(req.id), zap.Uint8("code", uint8(code)), logevent.Reason(reason),
		zap.Int("attempts", len(req.attempts)), logevent.Duration(time.Since(req.receivedAt)))
}

// finishUnanswered finishes a request that its client has cancelled, without an answer.
func (l *eventLoop) finishUnanswered(req *request) {
	req.invariants.RecordCancellation()
	req.client.CloseStream(req.stream)
	l.router.log.Debug(logevent.RequestCancelled, logevent.RequestID(req.id), zap.Int("attempts", len(req.attempts)),
		zap.Int("in_flight", req.attemptsInFlight))
	l.router.metrics.cancelled.Add(1)
	l.finish(req)
	for _, attempt := range req.attempts { // including attempts that were cancelled before
		attempt.AbortUnansweredStart()
	}
}
