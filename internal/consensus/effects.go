package consensus

import (
	"strconv"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Effects is the work that the caller has to do, in this order: write Persist, and sync it if MustSync is set; send Messages; apply Snapshot
// and CommittedEntries; call Advance. If the write or the sync fails, the process must not do the work after it.
type Effects struct {
	Persist          PersistentState
	MustSync         bool
	Messages         []*pb.Message
	Snapshot         *pb.Snapshot // replaces the state before CommittedEntries are applied; nil: none
	CommittedEntries []*pb.Entry
	ConfirmedReads   []ConfirmedRead
	RoleChange       *Role // nil: unchanged
}

// HasWork reports whether the effects are not empty.
func (e *Effects) HasWork() bool {
	return e.Persist.HardState != nil ||
		e.Persist.Snapshot != nil ||
		len(e.Persist.Entries) > 0 ||
		len(e.Messages) > 0 ||
		len(e.CommittedEntries) > 0 ||
		len(e.ConfirmedReads) > 0 ||
		e.RoleChange != nil
}

// ConfirmedRead reports that this process still led after RequestReadConfirmation was called with the token. A read of the state is
// linearizable once the log is applied up to Index.
type ConfirmedRead struct {
	Token uint64
	Index uint64
}

// Effects returns the work that is due now, if any. It returns none while earlier effects wait for Advance.
func (n *Node) Effects(now time.Duration) Effects {
	var effects Effects
	if n.awaitingAdvance {
		return effects
	}
	if n.rawNode.HasReady() {
		n.ready = n.rawNode.Ready()
		n.awaitingAdvance = true
		n.updateStorage()
		effects = n.readyEffects()
	}
	effects.RoleChange = n.updateRole(now)
	return effects
}

// updateStorage writes to the library's in-memory log the changes that the caller is about to persist.
func (n *Node) updateStorage() {
	if !raft.IsEmptySnap(n.ready.Snapshot) {
		if err := n.storage.ApplySnapshot(n.ready.Snapshot); err == nil {
			metadata := n.ready.Snapshot.GetMetadata()
			n.confState = metadata.GetConfState()
			n.appliedIndex = metadata.GetIndex()
		}
	}
	if n.ready.HardState != nil {
		n.storage.SetHardState(n.ready.HardState)
	}
	if err := n.storage.Append(n.ready.Entries); err != nil {
		panic(err) // can't happen: the library returns only entries that are consecutive to the stored ones
	}
}

func (n *Node) readyEffects() Effects {
	effects := Effects{
		Persist: PersistentState{
			HardState: n.ready.HardState,
			Entries:   n.ready.Entries,
		},
		MustSync:         n.ready.MustSync,
		CommittedEntries: n.ready.CommittedEntries,
	}
	if !raft.IsEmptySnap(n.ready.Snapshot) {
		effects.Persist.Snapshot = n.ready.Snapshot
		effects.Snapshot = n.ready.Snapshot
		effects.MustSync = true
	}
	if !n.quorumLost {
		effects.Messages = n.ready.Messages
	}
	for _, read := range n.ready.ReadStates {
		token, err := strconv.ParseUint(string(read.RequestCtx), 10, 64)
		if err != nil {
			continue // requested by other means than RequestReadConfirmation
		}
		effects.ConfirmedReads = append(effects.ConfirmedReads, ConfirmedRead{Token: token, Index: read.Index})
	}
	return effects
}

// Advance reports that the caller has carried out the last effects.
func (n *Node) Advance() {
	if !n.awaitingAdvance {
		return
	}
	if committed := n.ready.CommittedEntries; len(committed) > 0 {
		n.appliedIndex = committed[len(committed)-1].GetIndex()
	}
	n.rawNode.Advance(n.ready)
	n.awaitingAdvance = false
	n.ready = raft.Ready{}
}
