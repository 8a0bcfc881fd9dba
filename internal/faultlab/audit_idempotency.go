package faultlab

import "fmt"

// auditNonIdempotent: a non-idempotent statement is started at most once, by all routers together.
func auditNonIdempotent(h *History) (found []Violation) {
	started := map[string]Event{}
	for _, e := range h.Events {
		w := workloadNamed(e.Workload)
		if e.Kind != AttemptStarted || w == nil || !w.nonIdempotent {
			continue
		}
		if first, twice := started[e.Statement]; twice {
			found = append(found, Violation{At: e.At, Text: fmt.Sprintf("%s ran on %s at %v and on %s", e.Statement, first.Engine, first.At, e.Engine)})
		}
		started[e.Statement] = e
	}
	return found
}
