package faultlab

import (
	"fmt"
	"time"
)

const (
	drainGrace = time.Second // of the rule, as in fleetSettings
	drainSlack = 250 * time.Millisecond
)

// notifiedLink identifies a router and an engine that the router was notified about.
type notifiedLink struct {
	router int
	engine string
}

// auditDraining checks that no router starts an attempt on an engine later than drainGrace after it was notified that the engine drains or
// was removed.
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
		case e.Kind == RouterDown: // after it resumes, attempts in flight may still arrive; after a restart it is notified again
			postpone(e.Router, forever)
		case e.Kind == RouterUp:
			postpone(e.Router, e.At)
		case e.Kind == AttemptStarted && known && e.At > since+drainGrace+drainSlack:
			text := fmt.Sprintf("router %d started %s on %s, of whose draining or removal it was notified at %v", e.Router, e.Statement, e.Engine, since)
			found = append(found, Violation{At: e.At, Text: text})
		}
	}
	return found
}
