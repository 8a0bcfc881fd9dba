package proxy

import (
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/downstream"
)

// Relay: each statement's one final answer goes to its client. A result goes whole or not at all: it is held
// until its last page is in, so an engine that dies between pages leaves nothing half said.

const (
	rejected  = downstream.CodeRejected
	aborted   = downstream.CodeAborted
	completed = downstream.CodeCompleted
)

// relay passes on a result, unless the statement is over already.
func (r *route) relay(s *statement, result []byte) {
	if !s.over {
		r.answer(s, completed, result, reasonCompleted)
	}
}

// Reasons for an answer that the decisions do not give.
const (
	reasonCompleted  decision.Reason = "an execution completed"
	reasonIDInUse    decision.Reason = "the id is in use"
	reasonReleased   decision.Reason = "the client takes its answers in too slowly"
	reasonRule       decision.Reason = "a rule forbids what was decided"
	reasonUnanswered decision.Reason = "the decisions left it without an answer"
)

// answer gives the one final answer; a second is not sent. The reason is for the log.
func (r *route) answer(s *statement, code downstream.Code, body []byte, why decision.Reason) {
	if s.over {
		return
	}
	if code == rejected {
		if v := s.rules.CheckRejection(); v != nil {
			r.gateway.violations.Record(v)
			code, body, why = aborted, nil, reasonRule
		}
	}
	if v := s.rules.RecordAnswer(); v != nil {
		r.gateway.violations.Record(v)
		return
	}
	if r.open[s.id] == s {
		r.used.add(s.id)
	}
	r.close(s)
	if s.client.Answer(s.stream, code, body) {
		r.also = append(r.also, decision.ClientReadStateChanged{Statements: r.openOf(s.client)})
	}
	r.gateway.figures.answered(code)
	r.gateway.log.Debug("statement answered", zap.String("statement", string(s.id)), zap.Uint8("code", uint8(code)), zap.String("why", string(why)),
		zap.Int("executions", len(s.execs)), zap.Duration("after", time.Since(s.taken)))
}

// endUnanswered ends a statement for which nobody waits any more.
func (r *route) endUnanswered(s *statement) {
	s.rules.RecordCancellation()
	s.client.CloseStream(s.stream)
	r.gateway.log.Debug("client left", zap.String("statement", string(s.id)), zap.Int("executions", len(s.execs)), zap.Int("out", s.out))
	r.gateway.figures.left.Add(1)
	r.close(s)
}
