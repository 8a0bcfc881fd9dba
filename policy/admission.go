package policy

import (
	"cmp"
	"time"

	"bankledge/decision"
)

const (
	// minAnswerMargin is the least clock granularity that an answer before the deadline allows for.
	minAnswerMargin = time.Millisecond
	// answerMarginTicks is how many grains of the host's clock before its deadline a statement is answered.
	answerMarginTicks = 2
	// answerMarginDivisor: the margin is at most the client's time divided by this.
	answerMarginDivisor = 8
)

// admit takes a statement into the queue. From now on the module owes it one final answer.
func (m *Module) admit(ev decision.StatementArrived) {
	s := m.newStatement(ev)
	m.statements[s.id] = s
	m.arrivals++
	m.observeArrival(s)
	if s.workload.OrderedByKey && ev.Key != "" {
		s.key = ev.Key
		m.keyQueues.join(s)
	}
	s.deadlineTimer = m.timers.Schedule(s.answerBy, func() { m.endUnanswered(s, decision.ReasonDeadline) })
	m.enqueue(s)
	if m.limits.MaxOpenStatements > 0 && len(m.statements) >= m.limits.MaxOpenStatements-1 {
		m.endUnanswered(s, decision.ReasonTooManyOpenStatements)
	}
}

// newStatement is a statement that arrives now. Its rules, objective and quota are those of the workload that its
// client declares; what it takes and counts for are those of the workload that it is classified as.
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
	work := learnEstimate(s, ev, classification.EstimatedWork)
	s.expectedRun = duration(work / float64(classifiedAs.Threads))
	s.work = max(work, declared.meanWork, classifiedAs.meanWork)
	s.answerBy = s.deadline - m.answerMargin(ev.TimeBudget)
	s.objectiveAt = m.now + declared.objective(s.expectedRun)
	return s
}

// learnEstimate returns a statement's estimated work, in seconds on one thread, and has its declared workload learn
// from the client's estimate. An estimate that the classification makes itself teaches no workload.
func learnEstimate(s *statement, ev decision.StatementArrived, classified time.Duration) float64 {
	if classified > 0 {
		return classified.Seconds()
	}
	work := s.classifiedAs.meanWork
	if ev.EstimatedWork > 0 {
		work = ev.EstimatedWork.Seconds()
		s.workload.learnWork(work, ev.TimeBudget)
	}
	return work
}

// answerMargin is the time before its deadline by which a statement is answered.
func (m *Module) answerMargin(timeBudget time.Duration) time.Duration {
	margin := answerMarginTicks * max(m.identity.ClockGranularity, minAnswerMargin)
	return min(margin, timeBudget/answerMarginDivisor)
}

// observeArrival has the estimates and budgets that depend on the traffic count a statement.
func (m *Module) observeArrival(s *statement) {
	m.slowStart.observeArrival(s)
	m.priorities.observeArrival(s, m.now)
	m.affinity.count(s.tables)
	m.healthChecks.earn(m.rules.HealthChecksPerStatement)
	m.retryBudget.recordArrival(m.now, m.rules.RetryBudgetWindow)
}
