package policy_test

import (
	"fmt"
	"math"
	"time"

	"bankledge/decision"
)

// arrive draws a new statement and schedules the next arrival.
func (s *generatedSite) arrive() []decision.Event {
	s.scheduleAcrossRestarts(time.Duration(s.random.ExpFloat64()/(s.rate*meanArrivalRate)*float64(time.Second)), s.arrive)
	workload := 0
	if s.chance(0.25) {
		workload = s.random.IntN(len(s.moduleSettings.Workloads))
	}
	declared := s.moduleSettings.Workloads[workload]
	s.statements++
	event := decision.StatementArrived{
		Statement:   decision.StatementID(fmt.Sprintf("s%d", s.statements)),
		Workload:    decision.WorkloadID(workload),
		TimeBudget:  time.Duration(s.logUniform(0.5, 1) * float64(declared.StatementTimeout)),
		TableGroup:  decision.TableGroup(math.Sqrt(s.random.Float64()) * tableGroups),
		ClientRetry: s.chance(0.05),
		Writes:      declared.Idempotency != decision.Idempotent,
	}
	if groups := s.moduleSettings.Quotas.Tenants; len(groups) > 0 {
		event.Tenant = groups[s.random.IntN(len(groups))].Tenant
	}
	if declared.OrderedByKey && s.chance(0.8) {
		event.Key = decision.Key(fmt.Sprintf("k%d", s.random.IntN(12)))
	}
	if s.chance(0.9) {
		threads := float64(max(1, declared.Threads))
		event.EstimatedWork = time.Duration(s.logUniform(0.02, 1.2) * float64(declared.LatencyObjective) * threads)
		event.EstimatedMemoryMB = s.logUniform(10, 3000)
	}
	if s.chance(0.2) {
		event.Classification = s.classification()
	}
	s.open[event.Statement] = &generatedStatement{event: event}
	return []decision.Event{event}
}

// logUniform draws from a range with a log-uniform distribution, in which small values are more frequent.
func (s *generatedSite) logUniform(least, most float64) float64 {
	return least * math.Pow(most/least, s.random.Float64())
}

func (s *generatedSite) classification() *decision.Classification {
	classification := &decision.Classification{
		Workload: decision.WorkloadID(s.random.IntN(len(s.moduleSettings.Workloads))),
		Writes:   s.chance(0.1),
	}
	if s.chance(0.5) {
		classification.EstimatedWork = s.between(10*ms, 2*time.Second)
		classification.EstimatedMemoryMB = s.logUniform(10, 2000)
	}
	if s.chance(0.5) {
		classification.OtherTableGroups = []decision.TableGroup{decision.TableGroup(s.random.IntN(tableGroups))}
	}
	return classification
}

// clientEvent has the client of an open statement cancel, disconnect, or stop reading for a while.
func (s *generatedSite) clientEvent() []decision.Event {
	s.scheduleAcrossRestarts(s.exponential(400*ms), s.clientEvent)
	statement := s.anyOpen()
	if statement == nil {
		return nil
	}
	id := statement.event.Statement
	switch s.random.IntN(4) {
	case 0:
		delete(s.open, id)
		return []decision.Event{decision.ClientCancelled{Statement: id}}
	case 1:
		delete(s.open, id)
		return []decision.Event{decision.ClientReadStateChanged{
			Statements:   []decision.StatementID{id, "unknown"},
			Disconnected: true,
		}}
	default:
		ids := []decision.StatementID{id}
		s.schedule(s.between(0, 2*time.Second), func() []decision.Event {
			return []decision.Event{decision.ClientReadStateChanged{Statements: ids, Reading: true}}
		})
		return []decision.Event{decision.ClientReadStateChanged{Statements: ids}}
	}
}
