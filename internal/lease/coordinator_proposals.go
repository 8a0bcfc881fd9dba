package lease

import (
	"maps"
	"slices"

	"bankledge/internal/configregister"
)

// maxProposals bounds the queued and appended proposals.
const maxProposals = 512

// proposal is an operator's proposal whose call waits for the outcome.
type proposal struct {
	callID uint64
	entry  configregister.Entry
}

func (p proposal) reject(err error) CoordinatorAction {
	return SendOutcome{CallID: p.callID, Outcome: configregister.Outcome{ID: p.entry.ID, Error: err.Error()}}
}

// receiveProposal queues a proposal until the newest version is activated, or rejects it.
func (c *Coordinator) receiveProposal(event ProposalReceived) []CoordinatorAction {
	p := proposal{callID: event.CallID, entry: event.Entry}
	if err := c.checkProposal(p); err != nil {
		return []CoordinatorAction{p.reject(err)}
	}
	c.queuedProposals = append(c.queuedProposals, p)
	return nil
}

// checkProposal returns the reason for which a proposal can't be queued, or nil.
func (c *Coordinator) checkProposal(p proposal) error {
	switch {
	case !c.isLeader:
		return ErrNotLeader
	case !validProposal(p.entry):
		return errInvalidProposal
	case len(c.queuedProposals)+len(c.appendedProposals) >= maxProposals:
		return errTooManyProposals
	}
	return nil
}

// appendNextProposal writes the next proposal to the log: one at a time, and only once the group has a lineage and the newest version is
// activated.
func (c *Coordinator) appendNextProposal() []CoordinatorAction {
	if len(c.queuedProposals) == 0 || len(c.appendedProposals) > 0 || c.newest > c.activated || c.lineage == "" {
		return nil
	}
	p := c.queuedProposals[0]
	c.queuedProposals = c.queuedProposals[1:]
	c.appendedProposals[p.entry.ID] = p
	return []CoordinatorAction{AppendEntry{p.entry}}
}

// finishProposal answers a proposal that was applied, unless its call was cancelled or made to another process.
func (c *Coordinator) finishProposal(outcome configregister.Outcome) []CoordinatorAction {
	p, found := c.appendedProposals[outcome.ID]
	if !found {
		return nil
	}
	delete(c.appendedProposals, outcome.ID)
	return []CoordinatorAction{SendOutcome{CallID: p.callID, Outcome: outcome}}
}

// failProposal answers a proposal that was not written to the log.
func (c *Coordinator) failProposal(id string, err error) []CoordinatorAction {
	return c.finishProposal(configregister.Outcome{ID: id, Error: err.Error()})
}

// cancelProposal drops a proposal whose caller no longer waits. If it was written to the log, it may still be committed.
func (c *Coordinator) cancelProposal(callID uint64) {
	c.queuedProposals = slices.DeleteFunc(c.queuedProposals, func(p proposal) bool { return p.callID == callID })
	maps.DeleteFunc(c.appendedProposals, func(_ string, p proposal) bool { return p.callID == callID })
}

// rejectProposals answers all waiting proposals with ErrNotLeader. Whether an appended proposal will be committed is unknown, so the caller
// has to retry it with the same id.
func (c *Coordinator) rejectProposals() []CoordinatorAction {
	var actions []CoordinatorAction
	for _, p := range c.queuedProposals {
		actions = append(actions, p.reject(ErrNotLeader))
	}
	for _, id := range slices.Sorted(maps.Keys(c.appendedProposals)) {
		actions = append(actions, c.appendedProposals[id].reject(ErrNotLeader))
	}
	c.queuedProposals = nil
	clear(c.appendedProposals)
	return actions
}
