package policy

import (
	"maps"
	"slices"
	"time"

	"bankledge/decision"
)

// loadMessageIntervals is how many progress intervals a message about another router's bulk load counts.
const loadMessageIntervals = 4

// waitsForLoads reports whether a statement is blocked at its engine while a bulk load locks one of its table groups.
func waitsForLoads(s *statement) bool {
	return s.classifiedAs.WaitsForBulkLoads || s.classifiedAs.BulkLoad
}

// hasLoadOn reports whether a bulk load is known to lock a table group that the statement names.
func (e *engine) hasLoadOn(s *statement, now time.Duration) bool {
	for tables, until := range e.loadsUntil {
		if now < until && s.names(tables) {
			return true
		}
	}
	return slices.ContainsFunc(e.attempts, func(a *attempt) bool {
		return a.statement.classifiedAs.BulkLoad && s.names(a.statement.tables)
	})
}

// recordLoad records until when a bulk load of another router locks a table group, and drops entries that have expired.
func (e *engine) recordLoad(tables decision.TableGroup, now, until time.Duration) {
	maps.DeleteFunc(e.loadsUntil, func(_ decision.TableGroup, t time.Duration) bool { return t <= now })
	e.loadsUntil[tables] = until
}

// attemptWaitsForLoad handles the message that an attempt waits for another router's bulk load: for a while nothing of
// its table group goes there.
func (m *Module) attemptWaitsForLoad(a *attempt) {
	a.engine.recordLoad(a.statement.tables, m.now, m.now+loadMessageIntervals*m.traits.ProgressInterval)
	m.moveElsewhere(a, decision.ReasonWaitingForBulkLoad)
}
