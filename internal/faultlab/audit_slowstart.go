package faultlab

import "fmt"

// auditSlowStart checks that all routers together send no cold engine more load than it can take.
func auditSlowStart(h *History) (found []Violation) {
	for _, e := range h.Events {
		if e.Kind == ColdEngineOverloaded {
			found = append(found, Violation{At: e.At, Text: fmt.Sprintf("%s was sent %.2f times the load that it can take while cold", e.Engine, e.ColdLoad)})
		}
	}
	return found
}
