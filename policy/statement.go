package policy

import (
	"slices"
	"time"

	"bankledge/decision"
	"bankledge/internal/timerqueue"
)

// statement is one statement that this router admitted.
type statement struct {
	id             decision.StatementID
	workload       *workload            // as declared: its rules and its latency objective
	classifiedAs   *workload            // what it is taken to be: the resources it takes and what its answer counts for
	idempotency    decision.Idempotency // as declared, or stricter
	key            decision.Key         // empty where its workload is not ordered by key
	tables         decision.TableGroup
	otherTables    []decision.TableGroup // that it names beside tables
	arrivedAt      time.Duration
	objectiveAt    time.Duration // end of its latency objective
	answerBy       time.Duration // latest time for an answer that is to arrive before the deadline
	deadline       time.Duration // when its client stops waiting
	expectedRun    time.Duration // on an idle engine
	memoryMB       float64       // estimated need
	work           float64       // seconds on one thread: estimated, or its workload's mean where that is more
	priorityWeight float64       // at its arrival: rules that change later do not change it
	overQuota      bool          // beyond its tenant's quota
	clientRetry    bool          // its client sent it before

	clientBlocked bool // its client does not read answers at the moment
	queued        bool // in the queue, where it stands once
	parked        bool // out of the queue until its client reads again
	finished      bool
	streaming     bool // its response has begun

	deadlineTimer *timerqueue.Timer // ends it at answerBy

	attempts     []*attempt // by number
	openAttempts int        // without an outcome
	firstRun     *attempt   // the first that may have run; nil: none
	avoid        *engine    // where its last attempt went wrong
	resources    decision.SetResources
}

// latestStart is the latest start of an attempt that still meets the latency objective, at its workload's pace.
func (s *statement) latestStart() time.Duration {
	return s.objectiveAt - time.Duration(s.classifiedAs.pace*float64(s.expectedRun))
}

// names reports whether the statement reads or writes a table group.
func (s *statement) names(tables decision.TableGroup) bool {
	return s.tables == tables || slices.Contains(s.otherTables, tables)
}

// updateFirstRun finds the first attempt that may have run.
func (s *statement) updateFirstRun() {
	s.firstRun = nil
	i := slices.IndexFunc(s.attempts, func(a *attempt) bool { return !a.neverRan })
	if i >= 0 {
		s.firstRun = s.attempts[i]
	}
}
