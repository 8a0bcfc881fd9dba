package policy

import "bankledge/decision"

// continueAfter decides how a statement goes on when one of its attempts has ended: with a retry elsewhere, or with a
// final answer where none is due from another attempt.
func (m *Module) continueAfter(a *attempt, answered bool) {
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
		m.endUnanswered(s, decision.ReasonNotRetryable)
	}
}
