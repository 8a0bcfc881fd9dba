package faultlab

import "fmt"

// auditSlowStart: no cold engine is sent more than it bears by all routers together.
func auditSlowStart(h *History) (found []Violation) {
	for _, e := range h.Events {
		if e.Kind == EngineCollapsed {
			found = append(found, Violation{At: e.At, Text: fmt.Sprintf("%s was sent %.2f of what it bears", e.Engine, e.ColdLoad)})
		}
	}
	return found
}
