package faultlab

import (
	"fmt"
	"time"
)

const (
	drainGrace = time.Second // of the rule, as fleetSettings has it
	drainSlack = 250 * time.Millisecond
)

// notifiedLink is a router that was notified that an engine drains or is gone.
type notifiedLink struct {
	router int
	engine string
}

// auditDraining: nothing new comes to an engine from a router that was notified, for as long as the rule grants, that it drains or is gone.
func auditDraining(h *History) (found []Violation) {
	notified := map[notifiedLink]time.Duration{}
	postpone := func(router int, until time.Duration) {
		for l := range notified {
			if l.router == router {
				notified[l] = until
			}
		}
	}
	for _, e := range h.Events {
		link := notifiedLink{router: e.Router, engine: e.Engine}
		since, known := notified[link]
		switch {
		case e.Kind == EndpointNotified && e.Text != stateActive && !known:
			notified[link] = e.At
		case e.Kind == RouterDown: // what it sends when it resumes is in flight already, or it starts again and is notified again
			postpone(e.Router, forever)
		case e.Kind == RouterUp:
			postpone(e.Router, e.At)
		case e.Kind == AttemptStarted && known && e.At > since+drainGrace+drainSlack:
			text := fmt.Sprintf("router %d starts %s on %s, of which it heard at %v", e.Router, e.Statement, e.Engine, since)
			found = append(found, Violation{At: e.At, Text: text})
		}
	}
	return found
}
