package replica

import (
	pb "go.etcd.io/raft/v3/raftpb"

	"bankledge/internal/consensus"
	"bankledge/internal/lease"
)

// Event is an input of Replica.Step.
type Event interface{ event() }

// The events.
type (
	// MessageReceived is a Raft message from another process.
	MessageReceived struct{ Message *pb.Message }
	// PeerUnreachable reports that a message to another process could not be delivered.
	PeerUnreachable struct {
		PeerID       uint64
		SnapshotLost bool // the undelivered messages include a snapshot
	}
	// SnapshotDelivered reports that another process has received a snapshot completely.
	SnapshotDelivered struct{ PeerID uint64 }
	// LeaseRequest is an event for the lease coordinator: a renewal, a proposal, a leadership check, or the cancellation of such a call.
	LeaseRequest struct{ Event lease.CoordinatorEvent }
	// MembershipRequest requests to add or remove a process.
	MembershipRequest struct {
		CallID   uint64 // identifies the caller in the LeaseResponse
		MemberID uint64
		Member   Member
		Remove   bool
	}
	// Tick only advances the time. It has to be sent no later than Replica.NextDeadline.
	Tick struct{}
)

func (MessageReceived) event()   {}
func (PeerUnreachable) event()   {}
func (SnapshotDelivered) event() {}
func (LeaseRequest) event()      {}
func (MembershipRequest) event() {}
func (Tick) event()              {}

// Action is an output of Replica.Step.
type Action interface{ action() }

// The actions.
type (
	// Persist writes a change to disk, and syncs it before the next action.
	Persist struct{ State consensus.PersistentState }
	// SendMessage sends a Raft message to another process.
	SendMessage struct{ Message *pb.Message }
	// LeaseResponse answers a call of a router or an operator: lease.SendReply or lease.SendOutcome.
	LeaseResponse struct{ Action lease.CoordinatorAction }
	// PublishState makes the state that Register returns visible to readers and watchers.
	PublishState struct{}
	// RoleChanged reports that this process has gained or lost leadership, or that the leader or the term has changed.
	RoleChanged struct{ Role consensus.Role }
	// MembershipChanged reports that processes were added or removed, or became voters.
	MembershipChanged struct{ Members map[uint64]Member }
)

func (Persist) action()           {}
func (SendMessage) action()       {}
func (LeaseResponse) action()     {}
func (PublishState) action()      {}
func (RoleChanged) action()       {}
func (MembershipChanged) action() {}
