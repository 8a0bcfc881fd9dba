package lease

import (
	"time"

	"bankledge/internal/configregister"
)

// Coordinator is the lease state machine of a process of the control group. While the process leads, the coordinator grants leases,
// activates versions and admits proposals. Its state is not replicated: a new leader activates no version until all leases that an earlier
// leader may have granted have expired. It is not safe for concurrent use.
type Coordinator struct {
	durations Durations
	isLeader  bool
	// earlierLeasesEnd is when the last lease that an earlier leader may have granted expires.
	earlierLeasesEnd time.Duration

	// The replicated state.
	lineage    string
	newest     uint64
	newestHash string
	activated  uint64

	// The version number of the last proposed activation, and when it was proposed.
	proposedActivation   uint64
	proposedActivationAt time.Duration

	sessions map[string]*Session // by incarnation

	// Requests that wait for a confirmation of leadership.
	unconfirmed        []request // received after the last ConfirmLeadership; the next one covers them
	confirming         []request // received before it; its confirmation answers them
	confirmationToken  uint64    // of the last ConfirmLeadership; a process never reuses one
	confirmationSentAt time.Duration

	// Proposals.
	queuedProposals   []proposal          // wait until the newest version is activated
	appendedProposals map[string]proposal // by id; were written to the log and wait for their outcome
}

// NewCoordinator returns the coordinator of a process that does not lead.
func NewCoordinator(durations Durations) *Coordinator {
	return &Coordinator{
		durations:         durations,
		sessions:          map[string]*Session{},
		appendedProposals: map[string]proposal{},
	}
}

// Step handles an event that happened at now, and returns the actions to carry out, in order.
func (c *Coordinator) Step(now time.Duration, event CoordinatorEvent) []CoordinatorAction {
	actions := c.handle(now, event)
	if !c.isLeader {
		return actions
	}
	actions = append(actions, c.confirmLeadership(now)...)
	actions = append(actions, c.activateNewest(now)...)
	actions = append(actions, c.appendNextProposal()...)
	c.removeStaleSessions(now)
	return actions
}

func (c *Coordinator) handle(now time.Duration, event CoordinatorEvent) []CoordinatorAction {
	switch event := event.(type) {
	case LeadershipGained:
		c.gainLeadership(now)
	case LeadershipLost:
		return c.loseLeadership()
	case StateApplied:
		return c.applyState(event)
	case RenewalReceived:
		return c.receiveRenewal(now, event)
	case LeadershipConfirmed:
		return c.receiveConfirmation(now, event.Token)
	case ProposalReceived:
		return c.receiveProposal(event)
	case AppendFailed:
		return c.failProposal(event.ProposalID, event.Err)
	case LeadershipCheckRequested:
		return c.receiveLeadershipCheck(now, event.CallID)
	case CallCancelled:
		c.cancelProposal(event.CallID)
	}
	return nil
}

// gainLeadership resets the state that is not replicated, since the leases that an earlier leader granted are not known. Confirmation tokens
// continue to increase: this process may have led before in the same term, and confirmations of that leadership may still arrive.
func (c *Coordinator) gainLeadership(now time.Duration) {
	*c = Coordinator{
		confirmationToken: c.confirmationToken,
		durations:         c.durations,
		isLeader:          true,
		earlierLeasesEnd:  now + c.durations.CoordinatorLease(),
		lineage:           c.lineage,
		newest:            c.newest,
		newestHash:        c.newestHash,
		activated:         c.activated,
		sessions:          map[string]*Session{},
		appendedProposals: map[string]proposal{},
	}
}

// loseLeadership rejects all waiting requests and proposals: only a leader may grant leases.
func (c *Coordinator) loseLeadership() []CoordinatorAction {
	actions := c.rejectRequests()
	actions = append(actions, c.rejectProposals()...)
	c.isLeader = false
	clear(c.sessions)
	return actions
}

func (c *Coordinator) applyState(state StateApplied) []CoordinatorAction {
	c.lineage = state.Lineage
	c.newest = state.Newest
	c.newestHash = state.Hash
	c.activated = state.Activated
	var actions []CoordinatorAction
	for _, outcome := range state.Outcomes {
		actions = append(actions, c.finishProposal(outcome)...)
	}
	return actions
}

// activateNewest proposes to activate the newest version once each client with a lease knows that version, and no lease of an earlier leader
// remains. The proposal is repeated after a lease duration if the version is still not activated.
func (c *Coordinator) activateNewest(now time.Duration) []CoordinatorAction {
	if c.activated >= c.newest || now < c.earlierLeasesEnd {
		return nil
	}
	if c.proposedActivation == c.newest && now < c.proposedActivationAt+c.durations.LeaseDuration {
		return nil
	}
	for _, s := range c.sessions {
		if s.leased(now) && s.KnownVersion < c.newest {
			return nil
		}
	}
	c.proposedActivation = c.newest
	c.proposedActivationAt = now
	return []CoordinatorAction{AppendEntry{configregister.Entry{Kind: configregister.EntryActivate, Number: c.newest}}}
}

// NextDeadline returns the latest time at which the coordinator needs a CoordinatorTick, while this process leads.
func (c *Coordinator) NextDeadline(now time.Duration) time.Duration {
	deadline := now + c.durations.RenewInterval
	if c.activated < c.newest {
		deadline = min(deadline, c.activationDeadline(now))
	}
	if len(c.confirming) > 0 {
		deadline = min(deadline, c.confirmationSentAt+c.durations.ReplyTimeout)
	}
	return max(deadline, now+time.Millisecond)
}

// activationDeadline returns when the next of the leases that delay the activation of the newest version expires, but at most a renewal
// interval from now.
func (c *Coordinator) activationDeadline(now time.Duration) time.Duration {
	deadline := now + c.durations.RenewInterval
	for _, s := range c.sessions {
		if s.leased(now) && s.KnownVersion < c.newest {
			deadline = min(deadline, s.Expiry)
		}
	}
	if c.earlierLeasesEnd > now {
		deadline = min(deadline, c.earlierLeasesEnd)
	}
	return deadline
}
