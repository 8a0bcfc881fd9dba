package policy

import (
	"cmp"
	"time"

	"bankledge/decision"
)

const (
	// minAnswerMargin is the smallest clock granularity assumed when computing the margin between answer and deadline.
	minAnswerMargin = time.Millisecond
	// answerMarginTicks is the number of ticks of the host's clock before its deadline by which a statement is
	// answered.
	answerMarginTicks = 2
	// answerMarginDivisor limits the margin to the statement's time budget divided by this value.
	answerMarginDivisor = 8
)

// admit adds a statement to the queue. From now on the module must give it exactly one final answer.
func (m *Module) admit(ev decision.StatementArrived) {
	s := m.newStatement(ev)
	m.statements[s.id] = s
	m.arrivals++
	m.observeArrival(s)
	if s.workload.OrderedByKey && ev.Key != "" {
		s.key = ev.Key
		m.keyQueues.add(s)
	}
	s.deadlineTimer = m.timers.Schedule(s.answerBy, func() { m.rejectOrAbort(s, decision.ReasonDeadline) })
	m.enqueue(s)
	if m.limits.MaxOpenStatements > 0 && len(m.statements) >= m.limits.MaxOpenStatements-1 {
		m.rejectOrAbort(s, decision.ReasonTooManyOpenStatements)
	}
}

// newStatement returns the state of a statement that arrives now. The workload that its client declares determines its
// rules, latency objective and quota. The workload that it is classified as determines its expected resource use and
// its congestion windows. The statement gets the lower priority weight of the two.
func (m *Module) newStatement(ev decision.StatementArrived) *statement {
	classification := decision.Classification{Workload: ev.Workload}
	if ev.Classification != nil {
		classification = *ev.Classification
	}
	declared := m.workloads[ev.Workload]
	classifiedAs := m.workloads[classification.Workload]
	s := &statement{
		id:             ev.Statement,
		workload:       declared,
		classifiedAs:   classifiedAs,
		idempotency:    declared.Idempotency,
		tables:         ev.TableGroup,
		otherTables:    classification.OtherTableGroups,
		memoryMB:       cmp.Or(classification.EstimatedMemoryMB, ev.EstimatedMemoryMB),
		clientRetry:    ev.ClientRetry,
		priorityWeight: min(declared.PriorityWeight, classifiedAs.PriorityWeight),
		arrivedAt:      m.now,
		deadline:       m.now + ev.TimeBudget,
		overQuota:      !m.tenantQuotas.take(ev.Tenant, m.now),
	}
	if classification.Writes {
		s.idempotency = decision.NonIdempotent
	}
	work := estimateWork(s, ev, classification.EstimatedWork)
	s.expectedRun = secondsToDuration(work / float64(classifiedAs.Threads))
	s.work = max(work, declared.meanWork, classifiedAs.meanWork)
	s.answerBy = s.deadline - m.answerMargin(ev.TimeBudget)
	s.objectiveAt = m.now + declared.objective(s.expectedRun)
	return s
}

// estimateWork returns a statement's estimated work, in seconds on one thread. An estimate of the client also updates
// the mean work of the declared workload; an estimate of the classification updates no workload.
func estimateWork(s *statement, ev decision.StatementArrived, classified time.Duration) float64 {
	if classified > 0 {
		return classified.Seconds()
	}
	work := s.classifiedAs.meanWork
	if ev.EstimatedWork > 0 {
		work = ev.EstimatedWork.Seconds()
		s.workload.updateMeanWork(work, ev.TimeBudget)
	}
	return work
}

// answerMargin returns how long before its deadline a statement is answered at the latest.
func (m *Module) answerMargin(timeBudget time.Duration) time.Duration {
	margin := answerMarginTicks * max(m.identity.ClockGranularity, minAnswerMargin)
	return min(margin, timeBudget/answerMarginDivisor)
}

// observeArrival counts a statement in the estimates and budgets that depend on the arrival rate.
func (m *Module) observeArrival(s *statement) {
	m.slowStart.observeArrival(s)
	m.priorities.observeArrival(s, m.now)
	m.affinity.count(s.tables)
	m.healthChecks.deposit(m.rules.HealthChecksPerStatement)
	m.retryBudget.recordArrival(m.now, m.rules.RetryBudgetWindow)
}
