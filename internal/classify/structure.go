package classify

import (
	"bankledge/decision"
	"bankledge/internal/sqltext"
)

const (
	bulkRows          = 100  // of VALUES: more are a bulk write
	smallResultRows   = 1000 // a limit up to this makes a select light
	minHeavyStructure = 3.5  // of structureScore
)

// isBulkWrite reports whether a statement writes many rows: from a select, a file or a long list, or without a key that
// picks them.
func isBulkWrite(statement *sqltext.Statement) bool {
	if !statement.Writes {
		return false
	}
	switch statement.Kind {
	case sqltext.Merge, sqltext.Copy:
		return true
	case sqltext.Insert:
		return statement.Rows == 0 || statement.Rows > bulkRows
	case sqltext.Update, sqltext.Delete:
		return statement.KeyEqual == 0 && statement.InLists == 0
	}
	return false
}

// workloadByStructure returns the workload that the structure of the text suggests: the heaviest one that reads for a
// heavy select declared as the lightest one, otherwise the declared one.
func (c *Classifier) workloadByStructure(declared decision.WorkloadID, statement *sqltext.Statement) decision.WorkloadID {
	lightest, heaviest, differ := c.readingWorkloads()
	if !differ || declared != lightest || statement.Writes || statement.Kind != sqltext.Select {
		return declared
	}
	if structureScore(statement) < minHeavyStructure {
		return declared
	}
	return heaviest
}

// structureScore adds up what makes a select heavy, less what makes it pick few rows.
func structureScore(s *sqltext.Statement) float64 {
	pointsIf := func(condition bool, points float64) float64 {
		if condition {
			return points
		}
		return 0
	}
	score := pointsIf(s.Grouped && s.Aggregates > 0, 2) + pointsIf(!s.Grouped && s.Aggregates > 0, 1) + pointsIf(s.Windowed, 1.5) +
		0.9*float64(min(s.Joins, 4)) + 0.7*float64(min(s.SetOps, 2)) + 0.5*float64(min(s.Subselects, 3)) +
		0.5*float64(min(s.CTEs, 2)) + 0.5*float64(min(s.Ranges, 2)) + pointsIf(s.Distinct, 0.5) + pointsIf(s.Ordered && !s.Limited, 0.5) -
		3*float64(min(s.KeyEqual, 1)) - pointsIf(s.InLists > 0 && s.InItems < smallResultRows, 1)
	aggregatesAllRows := s.Aggregates > 0 && s.Tables > 0 && s.KeyEqual+s.Ranges+s.InLists == 0
	score += pointsIf(aggregatesAllRows, 1.5)
	smallResult := s.Limited && s.Limit > 0 && s.Limit <= smallResultRows && !s.Grouped && !s.Windowed
	return score - pointsIf(smallResult, 1.5)
}
