package faultlab

import "fmt"

// auditNonIdempotent checks that all routers together start a non-idempotent statement at most once.
func auditNonIdempotent(h *History) (found []Violation) {
	started := map[string]Event{}
	for _, e := range h.Events {
		w := workloadNamed(e.Workload)
		if e.Kind != AttemptStarted || w == nil || !w.nonIdempotent {
			continue
		}
		if first, twice := started[e.Statement]; twice {
			found = append(found, Violation{At: e.At, Text: fmt.Sprintf("%s was started on %s at %v and again on %s", e.Statement, first.Engine, first.At, e.Engine)})
		}
		started[e.Statement] = e
	}
	return found
}
