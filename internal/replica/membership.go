package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"bankledge/internal/configregister"
	"bankledge/internal/consensus"
	"bankledge/internal/lease"
)

// maxPromotionLag is the maximum number of entries that a learner may lag behind the leader when it is promoted to a voter.
const maxPromotionLag = 16

// Reasons for which a membership change is rejected. The texts are sent to operators.
var (
	errIncompleteMember = errors.New("a member needs an id, and addresses for the others and for routers")
	errChangeInProgress = errors.New("another change of members is under way")
)

// changeContext is stored with a membership change in the log.
type changeContext struct {
	CallID   uint64 `json:"call"`
	Proposer uint64 `json:"by"` // id of the process that received the call
	Member   Member `json:"member"`
}

// membershipOutcome returns the action that answers the call of a membership request.
func membershipOutcome(callID uint64, outcome configregister.Outcome) Action {
	return LeaseResponse{lease.SendOutcome{CallID: callID, Outcome: outcome}}
}

// requestMembershipChange proposes a change, or rejects it while another one is in progress. A new member is a learner until it has caught up.
func (r *Replica) requestMembershipChange(request MembershipRequest) []Action {
	err := r.checkMembershipRequest(request)
	if err == nil {
		err = r.proposeMembershipChange(request)
	}
	if err != nil {
		return []Action{membershipOutcome(request.CallID, configregister.Outcome{Error: err.Error()})}
	}
	r.pendingChanges[request.CallID] = struct{}{}
	return nil
}

func (r *Replica) checkMembershipRequest(request MembershipRequest) error {
	if !r.isLeader {
		return lease.ErrNotLeader
	}
	var err error
	if request.Remove {
		err = r.checkRemoval(request.MemberID)
	} else {
		err = r.checkAddition(request.MemberID, request.Member)
	}
	if err != nil {
		return err
	}
	if len(r.pendingChanges) > 0 {
		return errChangeInProgress
	}
	return nil
}

func (r *Replica) checkRemoval(id uint64) error {
	member, isMember := r.members[id]
	if !isMember {
		return fmt.Errorf("process %d is no member", id)
	}
	if member.Voter && len(r.node.ConfState().GetVoters()) == 1 {
		return fmt.Errorf("process %d is the only one that votes", id)
	}
	return nil
}

func (r *Replica) checkAddition(id uint64, member Member) error {
	if id == 0 || member.Peer == "" || member.Client == "" {
		return errIncompleteMember
	}
	if _, isMember := r.members[id]; isMember {
		return fmt.Errorf("process %d is a member already: remove it first, and add it anew under another id", id)
	}
	return nil
}

func (r *Replica) proposeMembershipChange(request MembershipRequest) error {
	context, err := json.Marshal(changeContext{
		CallID:   request.CallID,
		Proposer: r.settings.Consensus.ID,
		Member:   request.Member,
	})
	if err != nil {
		return err
	}
	change := consensus.MembershipChange{ID: request.MemberID, Remove: request.Remove}
	return r.node.ProposeMembershipChange(change, context)
}

// applyMembershipChange applies a committed change to the members, and answers the call if this process received it.
func (r *Replica) applyMembershipChange(entry *pb.Entry) []Action {
	change, confState, err := r.node.ApplyMembershipChange(entry)
	if err != nil {
		return nil
	}
	var context changeContext
	json.Unmarshal(change.GetContext(), &context) // a promotion has no context
	id := change.GetNodeId()
	switch change.GetType() {
	case pb.ConfChangeRemoveNode:
		delete(r.members, id)
	case pb.ConfChangeAddLearnerNode:
		r.members[id] = Member{Peer: context.Member.Peer, Client: context.Member.Client}
	}
	r.updateVoters(confState)
	var actions []Action
	_, isPending := r.pendingChanges[context.CallID]
	if isPending && context.Proposer == r.settings.Consensus.ID {
		delete(r.pendingChanges, context.CallID)
		actions = append(actions, membershipOutcome(context.CallID, configregister.Outcome{Number: id}))
	}
	return append(actions, MembershipChanged{maps.Clone(r.members)})
}

func (r *Replica) updateVoters(confState *pb.ConfState) {
	for id, member := range r.members {
		member.Voter = slices.Contains(confState.GetVoters(), id)
		r.members[id] = member
	}
}

// promoteLearners proposes to promote learners that have caught up to voters, each at most once in an election timeout.
func (r *Replica) promoteLearners(now time.Duration) {
	if !r.isLeader {
		return
	}
	for _, id := range r.node.ConfState().GetLearners() {
		lag, known := r.node.ReplicationLag(id)
		if !known || lag > maxPromotionLag || now < r.lastPromotion[id]+r.settings.Consensus.ElectionTimeout {
			continue
		}
		r.lastPromotion[id] = now
		// A dropped proposal is repeated after an election timeout.
		r.node.ProposeMembershipChange(consensus.MembershipChange{ID: id, Voter: true}, nil)
	}
}
