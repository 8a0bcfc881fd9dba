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
	workload       *workload            // declared by the client: determines the rules and the latency objective
	classifiedAs   *workload            // determines the expected resource use and the windows
	idempotency    decision.Idempotency // as declared, or stricter
	key            decision.Key         // empty if its workload is not ordered by key
	tables         decision.TableGroup
	otherTables    []decision.TableGroup // used in addition to tables
	arrivedAt      time.Duration
	objectiveAt    time.Duration // end of its latency objective
	answerBy       time.Duration // latest time for an answer that has to arrive before the deadline
	deadline       time.Duration // when the client stops waiting
	expectedRun    time.Duration // on an idle engine
	memoryMB       float64       // estimated need
	work           float64       // seconds on one thread: the estimate, or the mean of its workload if that is higher
	priorityWeight float64       // at its arrival; later changes of the rules do not affect it
	overQuota      bool          // beyond its tenant's quota
	clientRetry    bool          // the client has sent it before

	clientBlocked bool // the client currently does not read responses
	queued        bool // in the queue, at most once
	parked        bool // out of the queue until the client reads again
	finished      bool
	streaming     bool // its response has started

	deadlineTimer *timerqueue.Timer // ends the statement at answerBy

	attempts     []*attempt // by number
	openAttempts int        // attempts without an outcome
	firstRun     *attempt   // the first attempt that may have run, or nil
	avoid        *engine    // engine of the last attempt that failed or was slow
	resources    decision.SetResources
}

// latestStart returns the latest time to start an attempt that meets the latency objective at the usual run time.
func (s *statement) latestStart() time.Duration {
	return s.objectiveAt - time.Duration(s.classifiedAs.runTimeFactor*float64(s.expectedRun))
}

// uses reports whether the statement reads or writes a table group.
func (s *statement) uses(tables decision.TableGroup) bool {
	return s.tables == tables || slices.Contains(s.otherTables, tables)
}

// updateFirstRun recomputes the first attempt that may have run.
func (s *statement) updateFirstRun() {
	s.firstRun = nil
	i := slices.IndexFunc(s.attempts, func(a *attempt) bool { return !a.neverRan })
	if i >= 0 {
		s.firstRun = s.attempts[i]
	}
}
