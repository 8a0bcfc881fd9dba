package faultlab

import (
	"fmt"
	"time"
)

// cancelSlack is how long after a client's cancellation an attempt may start: 100 ms by the rule, plus an allowance for all processes
// sharing one machine.
const cancelSlack = 350 * time.Millisecond

// auditCancelled checks that no attempt starts later than cancelSlack after its client has cancelled.
func auditCancelled(h *History) (found []Violation) {
	outages := routerOutages(h)
	cancelled := map[string]Event{}
	for _, e := range h.Events {
		switch e.Kind {
		case ClientCancelled:
			cancelled[e.Statement] = e
		case AttemptStarted:
			c, ok := cancelled[e.Statement]
			if ok && e.At > c.At+cancelSlack && !isExcused(outages[c.Router], c.At, e.At) {
				found = append(found, Violation{At: e.At, Text: fmt.Sprintf("%s started on %s %v after its client cancelled", e.Statement, e.Engine, e.At-c.At)})
			}
		}
	}
	return found
}
