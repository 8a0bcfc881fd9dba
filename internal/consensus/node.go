// Package consensus runs one process's part of a replicated log, on a well-kept library (go.etcd.io/raft). The library does no I/O and
// has no clock; neither has this package: Step takes what happened and returns what has to be done, in which order. The same code
// runs in the control service, on a disk and sockets, and in a simulation.
//
// The library draws the times of its elections by chance of its own, which no seed repeats. So it is told never to call one by itself;
// this package calls them, at times drawn from a seed, and keeps off who would disturb a leader that is heard.
package consensus

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"bankledge/internal/detrand"
)

// Settings of one process.
type Settings struct {
	ID                uint64
	Voters            []uint64      // at the founding; a process that joins later names none
	HeartbeatInterval time.Duration // of the leader
	ElectionTimeout   time.Duration // a leader not heard of for so long, to twice as long, is replaced
	Seed              uint64
	Logger            raft.Logger
}

// Check tells what is wrong; an error names the field.
func (s *Settings) Validate() error {
	switch {
	case s.ID == 0:
		return errors.New("id: missing")
	case s.HeartbeatInterval <= 0:
		return errors.New("heartbeat: not above 0")
	case s.ElectionTimeout < 3*s.HeartbeatInterval:
		return fmt.Errorf("election: %v is under three heartbeats", s.ElectionTimeout)
	}
	return nil
}

// State is what has to outlive the process.
type PersistentState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry
}

// Effects are what Step asks for, in this order: Persist is synced to the disk; then Send is sent, then Snapshot and Committed
// are applied, then Done is called. A process whose disk fails ends there.
type Effects struct {
	Persist          PersistentState
	MustSync         bool
	Messages         []*pb.Message
	Snapshot         *pb.Snapshot // to take up before Committed, if not nil
	CommittedEntries []*pb.Entry
	ConfirmedReads   []ConfirmedRead
	RoleChange       *Role // where it has changed
}

// Any tells whether there is anything to do.
func (e *Effects) HasWork() bool {
	return e.Persist.HardState != nil || e.Persist.Snapshot != nil || len(e.Persist.Entries) > 0 || len(e.Messages) > 0 || len(e.CommittedEntries) > 0 ||
		len(e.ConfirmedReads) > 0 || e.RoleChange != nil
}

// Read is a confirmation: this process led when it was asked for it, and all that was committed then is in the log up to Index.
type ConfirmedRead struct {
	Token uint64
	Index uint64
}

// Role is what a process is.
type Role struct {
	IsLeader bool
	Leader   uint64 // 0: none is known
	Term     uint64
}

// Node is one process's part.
type Node struct {
	Settings
	raw      *raft.RawNode
	store    *raft.MemoryStorage
	chance   detrand.Source
	beat     time.Duration // of the next tick
	heard    time.Duration // of the leader, last
	call     time.Duration // of the next election, if no leader is heard until then
	role     Role
	elected  bool                     // as the library has it
	since    time.Duration            // it is
	mute     bool                     // nobody answers: it says nothing more, so that another one is elected
	answered map[uint64]time.Duration // by others, last
	ready    bool                     // effects are out that are not done
	rd       raft.Ready
	applied  uint64
	members  *pb.ConfState
}

// never is more ticks than there will be.
const never = math.MaxInt32

// New takes a process's part up again, or founds it. applied is how far the log was applied to what the caller kept.
func New(s Settings, kept PersistentState, applied uint64, now time.Duration) (*Node, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	n := &Node{Settings: s, store: raft.NewMemoryStorage(), chance: detrand.Source{Seed: s.Seed}, answered: map[uint64]time.Duration{}, members: &pb.ConfState{}}
	founded := kept.Snapshot == nil && len(kept.Entries) == 0 && kept.HardState == nil
	switch {
	case founded && len(s.Voters) > 0: // all that found it begin with the same snapshot
		kept.Snapshot = &pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: &pb.ConfState{Voters: slices.Sorted(slices.Values(s.Voters))}}}
		kept.HardState = &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
		applied = 1
	}
	if kept.Snapshot != nil {
		if err := n.store.ApplySnapshot(kept.Snapshot); err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		n.members = kept.Snapshot.GetMetadata().GetConfState()
	}
	if at := kept.Snapshot.GetMetadata().GetIndex(); kept.HardState != nil && kept.HardState.GetCommit() < at {
		// How far is committed is not synced by itself, and a snapshot may have been since: what it holds was committed.
		kept.HardState = &pb.HardState{Term: proto.Uint64(kept.HardState.GetTerm()), Vote: proto.Uint64(kept.HardState.GetVote()), Commit: proto.Uint64(at)}
	}
	if kept.HardState != nil {
		if err := n.store.SetHardState(kept.HardState); err != nil {
			return nil, fmt.Errorf("hard state: %w", err)
		}
	}
	if err := n.store.Append(kept.Entries); err != nil {
		return nil, fmt.Errorf("entries: %w", err)
	}
	last, err := n.store.LastIndex()
	if err != nil {
		return nil, err
	}
	if kept.HardState != nil && kept.HardState.GetCommit() > last {
		return nil, fmt.Errorf("the log ends at %d, and %d was committed: it is damaged", last, kept.HardState.GetCommit())
	}
	n.applied = applied
	n.raw, err = raft.NewRawNode(&raft.Config{ID: s.ID, ElectionTick: never, HeartbeatTick: 1, Storage: n.store, Applied: applied,
		MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, MaxInflightBytes: 16 << 20, MaxUncommittedEntriesSize: 64 << 20,
		PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, Logger: s.Logger})
	if err != nil {
		return nil, err
	}
	n.beat, n.heard = now, now-s.ElectionTimeout
	n.again(now)
	return n, nil
}

// Founding is what a process that founds a group has to keep before anything else.
func (n *Node) InitialState() PersistentState {
	snap, _ := n.store.Snapshot()
	hard, _, _ := n.store.InitialState()
	return PersistentState{HardState: hard, Snapshot: snap}
}

// again draws when the next election is called.
func (n *Node) again(now time.Duration) {
	n.call = now + n.ElectionTimeout + time.Duration(n.chance.Float64()*float64(n.ElectionTimeout))
}

// Tick lets time pass.
func (n *Node) Tick(now time.Duration) {
	if n.elected {
		if n.mute = n.mute && !n.followed(now) || !n.mute && now >= n.since+2*n.ElectionTimeout && !n.followed(now); n.mute {
			n.beat = now + n.HeartbeatInterval
		}
		for ; now >= n.beat; n.beat += n.HeartbeatInterval {
			n.raw.Tick()
			if now-n.beat > 4*n.HeartbeatInterval { // it was stopped: one is enough
				n.beat = now
			}
		}
		n.again(now)
		return
	}
	if n.beat = max(n.beat, now); now >= n.call {
		n.again(now)
		if n.votes() {
			n.raw.Campaign()
		}
	}
}

// votes tells whether this process may vote: one that only listens, or was removed, calls no election.
func (n *Node) votes() bool { return slices.Contains(n.members.GetVoters(), n.ID) }

// Wake is when Tick has to be called at the latest.
func (n *Node) NextDeadline() time.Duration {
	if n.elected {
		return n.beat
	}
	return n.call
}

// Receive takes a message from another process. One that was not meant for this one, or makes no sense, is dropped.
func (n *Node) Receive(now time.Duration, m *pb.Message) error {
	if m.GetTo() != n.ID || m.GetFrom() == n.ID || raft.IsLocalMsg(m.GetType()) {
		return errors.New("a message that was not meant for this process")
	}
	switch m.GetType() {
	case pb.MsgPreVote, pb.MsgVote: // who hears the leader does not help to replace it
		if n.role.IsLeader || now < n.heard+n.ElectionTimeout {
			return nil
		}
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if m.GetTerm() >= n.role.Term {
			n.heard = now
			n.again(now)
		}
	case pb.MsgAppResp, pb.MsgHeartbeatResp:
		n.answered[m.GetFrom()] = now
	}
	return n.raw.Step(m)
}

// followed tells whether most of those that vote have answered this leader lately. One that is heard and hears nothing would
// else be leader for ever, and nothing would be committed any more.
func (n *Node) followed(now time.Duration) bool {
	answer := 0
	for _, id := range n.members.GetVoters() {
		if id == n.ID || now < n.answered[id]+2*n.ElectionTimeout {
			answer++
		}
	}
	return 2*answer > len(n.members.GetVoters())
}

// Unreachable tells that a process was not reached.
func (n *Node) ReportUnreachable(id uint64) { n.raw.ReportUnreachable(id) }

// SnapshotSent tells how the sending of a snapshot ended.
func (n *Node) ReportSnapshot(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	n.raw.ReportSnapshot(id, status)
}

// Propose asks for an entry. It may be dropped without a word when the leader changes.
func (n *Node) Propose(data []byte) error {
	if !n.role.IsLeader {
		return raft.ErrProposalDropped
	}
	return n.raw.Propose(data)
}

// Confirm asks for a confirmation that this process leads; Effects.Reads brings it.
func (n *Node) RequestReadConfirmation(token uint64) {
	if n.role.IsLeader {
		n.raw.ReadIndex(fmt.Appendf(nil, "%d", token))
	}
}

// Change is a change of who belongs to the group: one process a time.
type MembershipChange struct {
	ID     uint64
	Remove bool
	Voter  bool // else it listens only, until it has caught up
}

// ProposeChange asks for a change of members; context is kept with it.
func (n *Node) ProposeMembershipChange(c MembershipChange, context []byte) error {
	kind := pb.ConfChangeAddLearnerNode
	switch {
	case c.Remove:
		kind = pb.ConfChangeRemoveNode
	case c.Voter:
		kind = pb.ConfChangeAddNode
	}
	if !n.role.IsLeader {
		return raft.ErrProposalDropped
	}
	return n.raw.ProposeConfChange(&pb.ConfChange{Type: kind.Enum(), NodeId: proto.Uint64(c.ID), Context: context})
}

// Applied tells that a change of members was applied, and returns the members since.
func (n *Node) ApplyMembershipChange(e *pb.Entry) (*pb.ConfChange, *pb.ConfState, error) {
	cc := new(pb.ConfChange)
	if err := proto.Unmarshal(e.GetData(), cc); err != nil {
		return nil, nil, err
	}
	n.members = n.raw.ApplyConfChange(cc)
	return cc, n.members, nil
}

// Members are the processes that belong to the group.
func (n *Node) ConfState() *pb.ConfState { return n.members }

// Role is what this process is.
func (n *Node) Role() Role { return n.role }

// Behind is how many entries of its log another process lacks, as the leader knows; false: it is not known.
func (n *Node) ReplicationLag(id uint64) (uint64, bool) {
	p, known := n.raw.Status().Progress[id]
	last, err := n.store.LastIndex()
	if !known || err != nil {
		return 0, false
	}
	return last - min(last, p.Match), true
}

// Effects returns what has to be done now, if anything; Done has to be called before the next ones.
func (n *Node) Effects(now time.Duration) (e Effects) {
	if n.ready {
		return e
	}
	defer n.look(now, &e)
	if !n.raw.HasReady() {
		return e
	}
	n.rd, n.ready = n.raw.Ready(), true
	rd := &n.rd
	e.Persist.HardState, e.Persist.Entries, e.MustSync = rd.HardState, rd.Entries, rd.MustSync
	if !raft.IsEmptySnap(rd.Snapshot) {
		e.Persist.Snapshot, e.Snapshot, e.MustSync = rd.Snapshot, rd.Snapshot, true
		if err := n.store.ApplySnapshot(rd.Snapshot); err == nil {
			n.members = rd.Snapshot.GetMetadata().GetConfState()
			n.applied = rd.Snapshot.GetMetadata().GetIndex()
		}
	}
	if rd.HardState != nil {
		n.store.SetHardState(rd.HardState)
	}
	if err := n.store.Append(rd.Entries); err != nil {
		panic(err) // the library hands out only what follows
	}
	e.Messages, e.CommittedEntries = rd.Messages, rd.CommittedEntries
	for _, r := range rd.ReadStates {
		var token uint64
		if _, err := fmt.Sscanf(string(r.RequestCtx), "%d", &token); err == nil {
			e.ConfirmedReads = append(e.ConfirmedReads, ConfirmedRead{token, r.Index})
		}
	}
	if n.mute {
		e.Messages = nil
	}
	return e
}

// look finds out what this process is by now.
func (n *Node) look(now time.Duration, e *Effects) {
	status := n.raw.BasicStatus()
	elected := status.RaftState == raft.StateLeader
	if elected && !n.elected {
		n.beat, n.since, n.mute = now, now, false
		clear(n.answered)
	}
	n.elected = elected
	n.mute = n.mute && elected
	role := Role{IsLeader: elected && !n.mute, Leader: status.Lead, Term: status.HardState.GetTerm()}
	if role != n.role {
		n.role, e.RoleChange = role, &role
	}
}

// Done tells that the last effects are done.
func (n *Node) Advance() {
	if !n.ready {
		return
	}
	if c := n.rd.CommittedEntries; len(c) > 0 {
		n.applied = c[len(c)-1].GetIndex()
	}
	n.raw.Advance(n.rd)
	n.ready, n.rd = false, raft.Ready{}
}

// Compact replaces the log up to what is applied by a snapshot of it, keeps a number of entries for who is a little behind, and
// returns the snapshot, to be kept.
func (n *Node) Compact(data []byte, keep uint64) (*pb.Snapshot, error) {
	snap, err := n.store.CreateSnapshot(n.applied, n.members, data)
	if err != nil {
		return nil, err
	}
	if n.applied > keep {
		if err := n.store.Compact(n.applied - keep); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return nil, err
		}
	}
	return snap, nil
}

// FirstIndex is the first entry that is kept.
func (n *Node) FirstIndex() uint64 {
	i, err := n.store.FirstIndex()
	if err != nil {
		return 0
	}
	return i
}

// Index is how far the log is applied.
func (n *Node) AppliedIndex() uint64 { return n.applied }
