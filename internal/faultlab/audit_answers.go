package faultlab

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// answerSlack is how late an answer may come: all processes share one machine.
const answerSlack = 400 * time.Millisecond

// auditAnswers: every statement that a living router has received gets one final answer, before its client's time is up.
func auditAnswers(h *History) (found []Violation) {
	outages := routerOutages(h)
	sent := map[string]Event{}
	finished := map[string]bool{}
	end := h.Events[len(h.Events)-1].At
	for _, e := range h.Events {
		switch e.Kind {
		case StatementSent:
			sent[e.Statement] = e
		case DuplicateAnswer:
			found = append(found, Violation{At: e.At, Text: "a second answer for " + e.Statement})
		case ClientLeft:
			finished[e.Statement] = true
		case StatementAnswered, ClientConnectionLost:
			s := sent[e.Statement]
			finished[e.Statement] = true
			if isLossExcused(outages[s.Router], s, e) || isCrowdExcused(h.Scenario, s.Router, e) {
				continue
			}
			late := e.At - s.At - s.Budget
			if e.Kind == ClientConnectionLost || late > answerSlack {
				text := fmt.Sprintf("%s %s at router %d %v after its client's time was up (%s)", s.Workload, e.Statement, s.Router, late, e.Kind)
				found = append(found, Violation{At: e.At, Text: text})
			}
		}
	}
	for id, s := range sent {
		due := s.At + s.Budget + answerSlack
		if !finished[id] && due < end && !isExcused(outages[s.Router], s.At, due) {
			found = append(found, Violation{At: due, Text: fmt.Sprintf("%s %s at router %d has no answer", s.Workload, id, s.Router)})
		}
	}
	slices.SortFunc(found, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Text, b.Text))
	})
	return found
}
