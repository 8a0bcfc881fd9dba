package policy

import "bankledge/decision"

// retryOrFinish handles a statement one of whose attempts has ended: it retries the statement on another engine or
// gives a final answer, unless another attempt is still open.
func (m *Module) retryOrFinish(a *attempt, answered bool) {
	s := a.statement
	switch {
	case s.finished:
	case answered:
		m.finish(s)
	case s.openAttempts > 0:
	case m.now < s.answerBy && m.mayRepeat(s):
		s.avoid = a.engine
		m.enqueue(s)
	default:
		m.rejectOrAbort(s, decision.ReasonNotRetryable)
	}
}
