package faultlab

import (
	"time"

	"bankledge/internal/retrybudget"
	"bankledge/internal/retrybudget/observer"
)

// ExtraWorkBounds are the fleet's bounds for each kind of extra work that auditExtraWork checks.
var ExtraWorkBounds = retrybudget.Bounds{
	Window: 5 * time.Second,
	ByKind: [retrybudget.NumWorkKinds]retrybudget.Bound{
		retrybudget.AdditionalAttempt: {PerCompleted: 0.5, PerAdmitted: 0.1},
		retrybudget.Cancellation:      {PerCompleted: 0.5, PerAdmitted: 0.1},
		retrybudget.HealthCheck:       {PerCompleted: 0.5, PerAdmitted: 0.5},
		retrybudget.Handshake:         {PerCompleted: 1, PerAdmitted: 1},
	},
}

// auditExtraWork checks that the extra work of all routers stays within the fleet's bounds in every window.
func auditExtraWork(h *History) (found []Violation) {
	observed := observer.New(ExtraWorkBounds)
	observed.Allowance[retrybudget.Handshake] = float64(h.Scenario.Routers * h.Scenario.Engines) // the initial connection of each link
	started := map[string]bool{}
	for _, e := range h.Events {
		switch e.Kind {
		case StatementSent:
			observed.RecordAdmitted(e.At)
		case StatementAnswered:
			if e.Code == codeCompleted {
				observed.RecordCompleted(e.At)
			}
		case AttemptStarted:
			if started[e.Statement] {
				observed.RecordExtraWork(e.At, retrybudget.AdditionalAttempt)
			}
			started[e.Statement] = true
		case AttemptCancelled:
			observed.RecordExtraWork(e.At, retrybudget.Cancellation)
		case HealthChecked:
			observed.RecordExtraWork(e.At, retrybudget.HealthCheck)
		case EngineConnected:
			observed.RecordExtraWork(e.At, retrybudget.Handshake)
		default:
			continue
		}
		for _, text := range observed.Violations(e.At) {
			found = append(found, Violation{At: e.At, Text: text})
		}
	}
	return found
}
