package policy

import (
	"time"

	"bankledge/internal/slidingwindow"
)

// retryBudget limits the attempts beyond each statement's first one, retries and hedges alike, to a share of the
// arrivals in a sliding window.
type retryBudget struct {
	arrivals slidingwindow.Sum
	retries  slidingwindow.Sum
}

// recordArrival counts a statement, and discards arrivals that are older than the window.
func (b *retryBudget) recordArrival(now, window time.Duration) {
	b.arrivals.Add(now, 1)
	b.arrivals.Since(now - window)
}

// recordRetry counts an attempt beyond a statement's first.
func (b *retryBudget) recordRetry(now time.Duration) { b.retries.Add(now, 1) }

// isWithinRetryBudget reports whether the budget allows a statement's next attempt. A statement that arrived exactly
// one window ago no longer counts; a retry sent at that time still does. Since the host may send late by up to
// MaxSendDelay, retries count for that much longer and arrivals for that much less.
func (m *Module) isWithinRetryBudget(s *statement) bool {
	if m.rules.RetryBudgetWindow == 0 || len(s.attempts) == 0 {
		return true
	}
	from := m.now - m.rules.RetryBudgetWindow
	retries := m.retryBudget.retries.Since(from - m.limits.MaxSendDelay)
	arrivals := m.retryBudget.arrivals.Since(from + m.limits.MaxSendDelay + 1)
	return retries+1 <= m.rules.RetryBudgetFree+m.rules.RetryBudgetShare*arrivals
}
