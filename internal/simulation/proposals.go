package simulation

import (
	"fmt"
	"time"

	"bankledge/internal/configregister"
	"bankledge/internal/configversion"
	"bankledge/internal/lease"
	"bankledge/internal/rules"
)

const (
	initialEngines      = 8
	firstProposalAt     = 600 * time.Millisecond
	proposalRetryDelay  = 1500 * time.Millisecond
	maxProposalRetries  = 12
	proposalGracePeriod = 2 * time.Second // time for retries after faultsEnd
)

// proposalIntervals are the mean times between two proposals; each simulation uses one of them.
var proposalIntervals = []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second}

// forcedGuards lists the guards that operators override, so that the group accepts all proposed rules.
var forcedGuards = []string{
	configversion.GuardMaxRemovedShare,
	configversion.GuardFloor,
	configversion.GuardNoActiveEngine,
	configversion.GuardNoEngineOverlap,
}

// faultsEnd is when faults and new proposals end, so that the routers can converge.
func (s *simulation) faultsEnd() time.Duration { return s.SimulatedTime * 6 / 10 }

// proposal is one change that an operator proposes.
type proposal struct {
	entry    configregister.Entry
	proposed time.Duration // when it was first sent
	retries  int
	done     bool // the operator received the outcome or sent a retry
}

// scheduleProposals makes operators propose versions that tighten rules, loosen rules, or do both.
func (s *simulation) scheduleProposals() {
	current := initialRules(s.Routers)
	s.lastEngineID = initialEngines - 1
	count := 0
	interval := proposalIntervals[s.random.IntN(len(proposalIntervals))]
	var propose func()
	propose = func() {
		if s.now > s.faultsEnd() {
			return
		}
		s.changeRules(current)
		count++
		entry := configregister.Entry{
			Kind:         configregister.EntryPropose,
			ID:           fmt.Sprint("p", count),
			Rules:        current.Canonical(),
			ForcedGuards: forcedGuards,
		}
		s.propose(proposal{entry: entry, proposed: s.now})
		s.after(s.uniform(interval/2, 2*interval), propose)
	}
	s.at(firstProposalAt, propose)
}

func initialRules(routers int) *rules.Rules {
	r := localRules(routers)
	r.SlowStartMultiple = 2
	r.SlowStartShare = 0.2
	r.HealthChecksPerStatement = 1
	r.RetryBudgetShare = 0.2
	r.SlowStartDurationMillis = 20000
	r.KeyQuietPeriodMillis = 5000
	r.RetryBudgetWindowMillis = 5000
	r.Engines = map[string]rules.Engine{}
	for i := range initialEngines {
		r.Engines[engineName(i)] = newEngine(i)
	}
	return r
}

func engineName(i int) string { return fmt.Sprint("e", i) }

func newEngine(id int) rules.Engine {
	return rules.Engine{Phase: rules.Active, Address: fmt.Sprint("e:", id), MachineType: "k"}
}

// changeRules changes one or two fields, up or down.
func (s *simulation) changeRules(r *rules.Rules) {
	for range 1 + s.random.IntN(2) {
		scale := 0.8
		if s.oneIn(2) {
			scale = 1.25
		}
		switch s.random.IntN(6) {
		case 0:
			r.SlowStartMultiple = min(20, max(1.1, r.SlowStartMultiple*scale))
		case 1:
			r.RetryBudgetShare = min(5, max(0.11, r.RetryBudgetShare*scale))
		case 2:
			r.HealthChecksPerStatement = min(50, max(0.6, r.HealthChecksPerStatement*scale))
		case 3:
			r.SlowStartDurationMillis = min(29000, max(1000, int64(float64(r.SlowStartDurationMillis)*scale)))
		default:
			s.changeEngine(r.Engines)
		}
	}
	if err := r.Validate(); err != nil {
		panic(err)
	}
}

// changeEngine moves one engine to its next phase: from missing to active at a new address, to draining, to missing.
func (s *simulation) changeEngine(engines map[string]rules.Engine) {
	name := engineName(s.random.IntN(initialEngines))
	engine, listed := engines[name]
	switch {
	case !listed:
		s.lastEngineID++
		engines[name] = newEngine(s.lastEngineID)
	case engine.Phase == rules.Active:
		engine.Phase = rules.Draining
		engines[name] = engine
	default:
		delete(engines, name)
	}
}

// propose sends a proposal to the leader, or to a random process if there is none, and retries until it has an outcome.
func (s *simulation) propose(p proposal) {
	to := s.leaderOrAny()
	s.auditor.observeProposal(p.entry.ID, p.proposed)
	s.after(proposalRetryDelay, func() { s.retryProposal(&p) })
	to.deliver(to.incarnation, func() {
		to.call(call{onOutcome: func(outcome configregister.Outcome) { s.receiveOutcome(&p, outcome) }}, func(callID uint64) lease.CoordinatorEvent {
			return lease.ProposalReceived{CallID: callID, Entry: p.entry}
		})
	})
}

func (s *simulation) retryProposal(p *proposal) {
	if p.done || p.retries >= maxProposalRetries || s.now >= s.faultsEnd()+proposalGracePeriod {
		return
	}
	p.done = true
	s.propose(proposal{entry: p.entry, proposed: p.proposed, retries: p.retries + 1})
}

func (s *simulation) receiveOutcome(p *proposal, outcome configregister.Outcome) {
	if outcome.Number > 0 {
		p.done = true
		s.auditor.observeAcknowledgement(s, outcome)
		return
	}
	if outcome.Error != lease.ErrNotLeader.Error() {
		p.done = true
	}
}

// leaderOrAny returns a running process that considers itself the leader, or a random process if there is none.
func (s *simulation) leaderOrAny() *processHost {
	chosen := s.processes[s.random.IntN(s.Processes)]
	for _, process := range s.processes {
		if process.isRunning() && process.replica.IsLeader() {
			chosen = process
		}
	}
	return chosen
}
