package classify

import (
	"bankledge/decision"
	"bankledge/internal/sqltext"
)

const (
	maxNonBulkRows  = 100  // rows of VALUES; an insert of more is a bulk write
	smallResultRows = 1000 // a select is lighter with a LIMIT up to this, or with fewer items in its IN lists
	minHeavyScore   = 3.5  // the structureScore from which a select is heavy
)

// isBulkWrite reports whether a statement probably writes many rows: from a select, a file or a long VALUES list, or by
// an update or delete without an equality condition or IN list.
func isBulkWrite(statement *sqltext.Statement) bool {
	if !statement.Writes {
		return false
	}
	switch statement.Kind {
	case sqltext.Merge, sqltext.Copy:
		return true
	case sqltext.Insert:
		return statement.Rows == 0 || statement.Rows > maxNonBulkRows
	case sqltext.Update, sqltext.Delete:
		return statement.EqualityConditions == 0 && statement.InLists == 0
	}
	return false
}

// workloadByStructure returns the workload that the structure of the text suggests: the heaviest workload that is no bulk
// load if a heavy select is declared as the lightest, otherwise the declared workload.
func (c *Classifier) workloadByStructure(declared decision.WorkloadID, statement *sqltext.Statement) decision.WorkloadID {
	lightest, heaviest, differ := c.readingWorkloads()
	if !differ || declared != lightest || statement.Writes || statement.Kind != sqltext.Select {
		return declared
	}
	if structureScore(statement) < minHeavyScore {
		return declared
	}
	return heaviest
}

// structureScore rates how heavy a select is by its structure: joins, aggregates and the like add points, conditions
// that select few rows subtract points.
func structureScore(s *sqltext.Statement) float64 {
	pointsIf := func(condition bool, points float64) float64 {
		if condition {
			return points
		}
		return 0
	}
	score := pointsIf(s.Grouped && s.Aggregates > 0, 2) + pointsIf(!s.Grouped && s.Aggregates > 0, 1) + pointsIf(s.Windowed, 1.5) +
		0.9*float64(min(s.Joins, 4)) + 0.7*float64(min(s.SetOperators, 2)) + 0.5*float64(min(s.Subselects, 3)) +
		0.5*float64(min(s.CTEs, 2)) + 0.5*float64(min(s.RangeConditions, 2)) + pointsIf(s.Distinct, 0.5) + pointsIf(s.Ordered && !s.Limited, 0.5) -
		3*float64(min(s.EqualityConditions, 1)) - pointsIf(s.InLists > 0 && s.InListItems < smallResultRows, 1)
	aggregatesAllRows := s.Aggregates > 0 && s.Tables > 0 && s.EqualityConditions+s.RangeConditions+s.InLists == 0
	score += pointsIf(aggregatesAllRows, 1.5)
	smallResult := s.Limited && s.Limit > 0 && s.Limit <= smallResultRows && !s.Grouped && !s.Windowed
	return score - pointsIf(smallResult, 1.5)
}
