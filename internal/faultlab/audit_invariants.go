package faultlab

import "fmt"

// auditInvariants: no router's own check has found a violation, and no router has panicked.
func auditInvariants(h *History) (found []Violation) {
	for _, e := range h.Events {
		if e.Kind == InvariantViolated {
			found = append(found, Violation{At: e.At, Text: fmt.Sprintf("router %d: %s", e.Router, e.Text)})
		}
	}
	return found
}
