package faultlab

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// answerSlack is how late an answer may arrive, since all processes share one machine.
const answerSlack = 400 * time.Millisecond

// auditAnswers checks that every statement received by a running router gets exactly one final answer before its client's timeout.
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
			found = append(found, Violation{At: e.At, Text: "second answer to " + e.Statement})
		case ClientCancelled:
			finished[e.Statement] = true
		case StatementAnswered, ClientConnectionLost:
			s := sent[e.Statement]
			finished[e.Statement] = true
			if isLossExcused(outages[s.Router], s, e) || isIdleClientLossExcused(h.Scenario, s.Router, e) {
				continue
			}
			late := e.At - s.At - s.Budget
			if e.Kind == ClientConnectionLost || late > answerSlack {
				text := fmt.Sprintf("%s %s at router %d: no answer in time, ended %v after its client's timeout (%s)", s.Workload, e.Statement, s.Router, late, e.Kind)
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
