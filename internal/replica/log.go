package replica

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"bankledge/internal/configregister"
	"bankledge/internal/consensus"
	"bankledge/internal/lease"
)

// processLog processes the effects of the log until there are none.
func (r *Replica) processLog(now time.Duration) []Action {
	var actions []Action
	for {
		effects := r.node.Effects(now)
		if !effects.HasWork() {
			r.node.Advance()
			return actions
		}
		actions = append(actions, r.processEffects(now, effects)...)
	}
}

// processEffects processes one set of effects, in the order that consensus.Effects requires.
func (r *Replica) processEffects(now time.Duration, effects consensus.Effects) []Action {
	var actions []Action
	if effects.MustSync {
		actions = append(actions, Persist{effects.Persist})
	}
	for _, message := range effects.Messages {
		actions = append(actions, SendMessage{message})
	}
	if len(effects.Snapshot.GetData()) > 0 {
		actions = append(actions, r.installSnapshot(effects.Snapshot)...)
	}
	if effects.RoleChange != nil {
		actions = append(actions, r.changeRole(*effects.RoleChange)...)
	}
	actions = append(actions, r.applyEntries(effects.CommittedEntries)...)
	r.node.Advance()
	r.confirmedReads = append(r.confirmedReads, effects.ConfirmedReads...)
	actions = append(actions, r.serveConfirmedReads()...)
	return append(actions, r.compact()...)
}

// serveConfirmedReads passes each confirmation to the coordinator once the log is applied up to the confirmation's index.
func (r *Replica) serveConfirmedReads() []Action {
	var actions []Action
	r.confirmedReads = slices.DeleteFunc(r.confirmedReads, func(read consensus.ConfirmedRead) bool {
		if read.Index > r.node.AppliedIndex() {
			return false
		}
		actions = append(actions, r.stepCoordinator(lease.LeadershipConfirmed{Token: read.Token})...)
		return true
	})
	return actions
}

// changeRole handles a change of the consensus role.
func (r *Replica) changeRole(role consensus.Role) []Action {
	var actions []Action
	if !role.IsLeader && r.isLeader {
		actions = r.stepDown()
	}
	if role.IsLeader { // starts a leader that has regained its quorum, which applied its first entry earlier
		actions = append(actions, r.startLeading(role.Term)...)
	}
	return append(actions, RoleChanged{role})
}

// stepDown ends the work of a leader, and rejects all waiting calls.
func (r *Replica) stepDown() []Action {
	r.isLeader = false
	r.confirmedReads = nil
	actions := r.stepCoordinator(lease.LeadershipLost{})
	for _, callID := range slices.Sorted(maps.Keys(r.pendingChanges)) {
		actions = append(actions, membershipOutcome(callID, configregister.Outcome{Error: lease.ErrNotLeader.Error()}))
	}
	clear(r.pendingChanges)
	return actions
}

// startLeading starts the work of a leader once an entry of its own term is applied, since then all entries that earlier leaders committed
// are applied, too. The first leader of a group writes the group's lineage to the log.
func (r *Replica) startLeading(term uint64) []Action {
	if r.isLeader || r.lastAppliedTerm != term {
		return nil
	}
	r.isLeader = true
	actions := r.stepCoordinator(lease.LeadershipGained{})
	if r.register.Lineage == "" {
		actions = append(actions, r.appendEntry(configregister.Entry{Kind: configregister.EntryBootstrap, Lineage: r.settings.Lineage})...)
	}
	return actions
}

// appendEntry proposes an entry to the log. If that fails, the caller that proposed it is notified; an entry without a proposal id is
// requested again by the coordinator. The entry contains this process's MaxRemovedShare, so that all processes apply it with the same
// result, also when they replay it.
func (r *Replica) appendEntry(entry configregister.Entry) []Action {
	raw, err := json.Marshal(configregister.LogEntry{Entry: entry, MaxRemovedShare: r.settings.Guards.MaxRemovedShare})
	if err == nil {
		err = r.node.Propose(raw)
	}
	if err == nil || entry.ID == "" {
		return nil
	}
	return r.stepCoordinator(lease.AppendFailed{ProposalID: entry.ID, Err: err})
}

// applyEntries applies committed entries to the register and the members, and reports the new state to the coordinator.
func (r *Replica) applyEntries(entries []*pb.Entry) []Action {
	if len(entries) == 0 {
		return nil
	}
	var actions []Action
	var outcomes []configregister.Outcome
	for _, entry := range entries {
		r.lastAppliedTerm = entry.GetTerm()
		switch {
		case entry.GetType() != pb.EntryNormal:
			actions = append(actions, r.applyMembershipChange(entry)...)
		case len(entry.GetData()) > 0: // a leader's first entry is empty
			if outcome, hasOutcome := r.register.Apply(entry.GetData()); hasOutcome {
				outcomes = append(outcomes, outcome)
			}
			r.appliedLegacyEntry = r.appliedLegacyEntry || configregister.LacksMaxRemovedShare(entry.GetData())
		}
	}
	actions = append(actions, r.stepCoordinator(r.stateApplied(outcomes))...)
	if role := r.node.Role(); role.IsLeader {
		actions = append(actions, r.startLeading(role.Term)...)
	}
	return append(actions, PublishState{})
}

// stateApplied returns the event that reports the register to the coordinator.
func (r *Replica) stateApplied(outcomes []configregister.Outcome) lease.StateApplied {
	applied := lease.StateApplied{
		Lineage:   r.register.Lineage,
		Newest:    r.register.NewestNumber(),
		Activated: r.register.Activated,
		Outcomes:  outcomes,
	}
	if newest := r.register.Newest(); newest != nil {
		applied.Hash = newest.Hash
	}
	return applied
}
