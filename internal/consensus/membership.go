package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// MembershipChange adds, promotes or removes one process. Only one change may be in progress at a time.
type MembershipChange struct {
	ID     uint64
	Remove bool
	Voter  bool // true: promotes a learner to a voter; false: adds a learner
}

// changeType returns the library's type of the change.
func (c MembershipChange) changeType() pb.ConfChangeType {
	switch {
	case c.Remove:
		return pb.ConfChangeRemoveNode
	case c.Voter:
		return pb.ConfChangeAddNode
	default:
		return pb.ConfChangeAddLearnerNode
	}
}

// ProposeMembershipChange proposes a change. context is stored with the change in the log. It returns raft.ErrProposalDropped unless
// this process leads.
func (n *Node) ProposeMembershipChange(change MembershipChange, context []byte) error {
	if !n.role.IsLeader {
		return raft.ErrProposalDropped
	}
	return n.rawNode.ProposeConfChange(&pb.ConfChange{
		Type:    change.changeType().Enum(),
		NodeId:  proto.Uint64(change.ID),
		Context: context,
	})
}

// ApplyMembershipChange applies a committed change, and returns it with the resulting configuration.
func (n *Node) ApplyMembershipChange(entry *pb.Entry) (*pb.ConfChange, *pb.ConfState, error) {
	change := new(pb.ConfChange)
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		return nil, nil, fmt.Errorf("decode membership change at index %d: %w", entry.GetIndex(), err)
	}
	n.confState = n.rawNode.ApplyConfChange(change)
	return change, n.confState, nil
}

// ConfState returns the voters and learners of the group.
func (n *Node) ConfState() *pb.ConfState { return n.confState }

// ReplicationLag returns how many entries of the leader's log another process has not acknowledged. It is known only on the leader.
func (n *Node) ReplicationLag(id uint64) (entries uint64, known bool) {
	progress, known := n.rawNode.Status().Progress[id]
	lastIndex, err := n.storage.LastIndex()
	if !known || err != nil {
		return 0, false
	}
	return lastIndex - min(lastIndex, progress.Match), true
}
