package faultlab

import "fmt"

// auditInvariants checks that no router has logged a violated invariant or a panic, and that every restart after a shutdown succeeded.
func auditInvariants(h *History) (found []Violation) {
	for _, e := range h.Events {
		if e.Kind == InvariantViolated {
			found = append(found, Violation{At: e.At, Text: fmt.Sprintf("router %d: %s", e.Router, e.Text)})
		}
	}
	return found
}
