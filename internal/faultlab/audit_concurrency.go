package faultlab

import "fmt"

// auditConcurrentAttempts checks that no statement runs on two engines at the same time.
func auditConcurrentAttempts(h *History) (found []Violation) {
	running := map[string]Event{}
	for _, e := range h.Events {
		switch e.Kind {
		case AttemptStarted:
			first, runs := running[e.Statement]
			if runs && first.Engine != e.Engine {
				text := fmt.Sprintf("%s (%s) runs on %s since %v and was also started on %s", e.Statement, e.Workload, first.Engine, first.At, e.Engine)
				found = append(found, Violation{At: e.At, Text: text})
			}
			running[e.Statement] = e
		case AttemptEnded, AttemptCancelled, AttemptAbandoned:
			if running[e.Statement].Engine == e.Engine {
				delete(running, e.Statement)
			}
		case EngineStopped:
			for id, s := range running {
				if s.Engine == e.Engine {
					delete(running, id)
				}
			}
		}
	}
	return found
}
