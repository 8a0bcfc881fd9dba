package faultlab

import (
	"fmt"
	"time"
)

// cancelSlack is how long after a client has left an attempt may start: the 100 ms of the rule, and what all processes lose by sharing
// one machine.
const cancelSlack = 350 * time.Millisecond

// auditCancelled: no attempt starts for a client that has left, but for what is in flight.
func auditCancelled(h *History) (found []Violation) {
	outages := routerOutages(h)
	left := map[string]Event{}
	for _, e := range h.Events {
		switch e.Kind {
		case ClientLeft:
			left[e.Statement] = e
		case AttemptStarted:
			l, ok := left[e.Statement]
			if ok && e.At > l.At+cancelSlack && !isExcused(outages[l.Router], l.At, e.At) {
				found = append(found, Violation{At: e.At, Text: fmt.Sprintf("%s starts on %s %v after its client left", e.Statement, e.Engine, e.At-l.At)})
			}
		}
	}
	return found
}
