// Package consensus runs one member of a Raft group on go.etcd.io/raft. Neither the library nor this package does any I/O or reads a
// clock: the caller passes messages and the time to a Node, and Effects returns the work to do, in order. The same code runs in the
// control service, on a disk and sockets, and in the simulation.
//
// The library draws its election timeouts from its own random source, which can't be seeded. So the library's election timer is disabled,
// and this package starts elections at random times that are derived from a seed. It also ignores vote requests while the leader is alive,
// and stops a leader that has lost contact with a quorum from sending messages (see election.go).
package consensus

import (
	"errors"
	"math"
	"strconv"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"bankledge/internal/detrand"
)

// Limits of the library's flow control.
const (
	maxMessageBytes     = 1 << 20  // of entries in one message
	maxInflightMessages = 64       // sent to one follower and not acknowledged
	maxInflightBytes    = 16 << 20 // in bytes, sent to one follower and not acknowledged
	maxUncommittedBytes = 64 << 20 // of proposals; further proposals are dropped
	electionDisabled    = math.MaxInt32
)

// ErrMisdirected is returned for a message that is not addressed to this process, names it as the sender, or has a type that is not sent
// between processes.
var ErrMisdirected = errors.New("message is not addressed to this process")

// Node is one member of the Raft group. It is not safe for concurrent use.
type Node struct {
	settings  Settings
	rawNode   *raft.RawNode
	storage   *raft.MemoryStorage
	random    detrand.Source
	role      Role
	confState *pb.ConfState

	ready           raft.Ready // from which the last effects were made
	awaitingAdvance bool       // effects were returned, and Advance was not called yet
	appliedIndex    uint64

	electionDeadline  time.Duration // when an election is started, unless the leader sends a message before
	lastLeaderContact time.Duration
	nextHeartbeat     time.Duration
	raftLeader        bool                     // the library's view; role.IsLeader is false while quorumLost
	leaderSince       time.Duration            // when raftLeader became true
	quorumLost        bool                     // no quorum responds to this leader: it sends nothing, so that another process is elected
	lastResponse      map[uint64]time.Duration // received by this leader, by sender
}

// New restores a member from its stored state. If that is empty and the settings name voters, New creates the state of an initial member of a
// new group. appliedIndex is the index of the last entry that the caller's state machine has applied; now is the time of the caller's
// monotonic clock.
func New(settings Settings, stored PersistentState, appliedIndex uint64, now time.Duration) (*Node, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	if stored.isEmpty() && len(settings.Voters) > 0 {
		stored = bootstrapState(settings.Voters)
		appliedIndex = bootstrapIndex
	}
	stored = withCommitAtSnapshot(stored)
	storage := raft.NewMemoryStorage()
	if err := restoreStorage(storage, stored); err != nil {
		return nil, err
	}
	rawNode, err := raft.NewRawNode(&raft.Config{
		ID:                        settings.ID,
		ElectionTick:              electionDisabled,
		HeartbeatTick:             1,
		Storage:                   storage,
		Applied:                   appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxInflightBytes:          maxInflightBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		Logger:                    settings.Logger,
	})
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings:          settings,
		rawNode:           rawNode,
		storage:           storage,
		random:            detrand.Source{Seed: settings.Seed},
		confState:         &pb.ConfState{},
		appliedIndex:      appliedIndex,
		lastLeaderContact: now - settings.ElectionTimeout,
		nextHeartbeat:     now,
		lastResponse:      map[uint64]time.Duration{},
	}
	if stored.Snapshot != nil {
		n.confState = stored.Snapshot.GetMetadata().GetConfState()
	}
	n.resetElectionTimer(now)
	return n, nil
}

// InitialState returns the state that an initial member of a new group has to store before any other change.
func (n *Node) InitialState() PersistentState {
	snapshot, _ := n.storage.Snapshot() // the in-memory storage returns no error here
	hardState, _, _ := n.storage.InitialState()
	return PersistentState{HardState: hardState, Snapshot: snapshot}
}

// Receive handles a message from another process. A message that is not addressed to this process, or that the library rejects, is
// dropped with an error, as if the network had lost it.
func (n *Node) Receive(now time.Duration, message *pb.Message) error {
	if message.GetTo() != n.settings.ID || message.GetFrom() == n.settings.ID || raft.IsLocalMsg(message.GetType()) {
		return ErrMisdirected
	}
	switch message.GetType() {
	case pb.MsgPreVote, pb.MsgVote:
		if n.hasLiveLeader(now) {
			return nil
		}
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if message.GetTerm() >= n.role.Term {
			n.lastLeaderContact = now
			n.resetElectionTimer(now)
		}
	case pb.MsgAppResp, pb.MsgHeartbeatResp:
		n.lastResponse[message.GetFrom()] = now
	}
	return n.rawNode.Step(message)
}

// ReportUnreachable reports that a message to another process could not be delivered.
func (n *Node) ReportUnreachable(id uint64) { n.rawNode.ReportUnreachable(id) }

// ReportSnapshot reports whether a snapshot was delivered to another process.
func (n *Node) ReportSnapshot(id uint64, delivered bool) {
	status := raft.SnapshotFinish
	if !delivered {
		status = raft.SnapshotFailure
	}
	n.rawNode.ReportSnapshot(id, status)
}

// Propose appends an entry to the log. It returns raft.ErrProposalDropped unless this process leads. An accepted proposal may still be
// lost when the leader changes; the caller is not notified of that.
func (n *Node) Propose(data []byte) error {
	if !n.role.IsLeader {
		return raft.ErrProposalDropped
	}
	return n.rawNode.Propose(data)
}

// RequestReadConfirmation asks a quorum to confirm that this process still leads (a Raft read index request). The result is a
// ConfirmedRead with the same token; there is none if this process no longer leads.
func (n *Node) RequestReadConfirmation(token uint64) {
	if n.role.IsLeader {
		n.rawNode.ReadIndex(strconv.AppendUint(nil, token, 10))
	}
}

// Role returns the present role of this process.
func (n *Node) Role() Role { return n.role }

// AppliedIndex returns the index of the last applied entry.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// Compact replaces the log up to the last applied entry by a snapshot with this data, and returns the snapshot, which the caller has to
// store. The last keepEntries of these entries remain in memory, so that followers with a small lag need no snapshot. It returns
// raft.ErrSnapOutOfDate if there is a snapshot of that index already.
func (n *Node) Compact(data []byte, keepEntries uint64) (*pb.Snapshot, error) {
	snapshot, err := n.storage.CreateSnapshot(n.appliedIndex, n.confState, data)
	if err != nil {
		return nil, err
	}
	if n.appliedIndex > keepEntries {
		err := n.storage.Compact(n.appliedIndex - keepEntries)
		if err != nil && !errors.Is(err, raft.ErrCompacted) {
			return nil, err
		}
	}
	return snapshot, nil
}
