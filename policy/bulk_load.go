package policy

import (
	"maps"
	"slices"
	"time"

	"bankledge/decision"
)

// bulkLoadMessageIntervals is the number of progress intervals for which a message about another router's bulk load is
// valid.
const bulkLoadMessageIntervals = 4

// waitsForBulkLoads reports whether the engine blocks a statement while a bulk load locks one of its table groups.
func waitsForBulkLoads(s *statement) bool {
	return s.classifiedAs.WaitsForBulkLoads || s.classifiedAs.BulkLoad
}

// hasBulkLoadFor reports whether a known bulk load locks a table group that the statement uses.
func (e *engine) hasBulkLoadFor(s *statement, now time.Duration) bool {
	for tables, until := range e.bulkLoadsUntil {
		if now < until && s.uses(tables) {
			return true
		}
	}
	return slices.ContainsFunc(e.attempts, func(a *attempt) bool {
		return a.statement.classifiedAs.BulkLoad && s.uses(a.statement.tables)
	})
}

// recordBulkLoad records until when a bulk load of another router locks a table group, and removes expired entries.
func (e *engine) recordBulkLoad(tables decision.TableGroup, now, until time.Duration) {
	maps.DeleteFunc(e.bulkLoadsUntil, func(_ decision.TableGroup, t time.Duration) bool { return t <= now })
	e.bulkLoadsUntil[tables] = until
}

// attemptWaitsForBulkLoad handles the message that an attempt waits for another router's bulk load. While the message
// is valid, the engine gets no statements that would wait for that bulk load.
func (m *Module) attemptWaitsForBulkLoad(a *attempt) {
	a.engine.recordBulkLoad(a.statement.tables, m.now, m.now+bulkLoadMessageIntervals*m.traits.ProgressInterval)
	m.cancelOrHedge(a, decision.ReasonWaitingForBulkLoad)
}
