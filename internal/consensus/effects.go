package consensus

import (
	"strconv"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Effects are what has to be done, in this order: Persist is written, and synced if MustSync; then Messages are sent, Snapshot and
// CommittedEntries applied, and Advance called. A process whose disk fails must not carry out the steps after Persist.
type Effects struct {
	Persist          PersistentState
	MustSync         bool
	Messages         []*pb.Message
	Snapshot         *pb.Snapshot // replaces the state before CommittedEntries, unless nil
	CommittedEntries []*pb.Entry
	ConfirmedReads   []ConfirmedRead
	RoleChange       *Role // nil: unchanged
}

// HasWork reports whether there is anything to do.
func (e *Effects) HasWork() bool {
	return e.Persist.HardState != nil ||
		e.Persist.Snapshot != nil ||
		len(e.Persist.Entries) > 0 ||
		len(e.Messages) > 0 ||
		len(e.CommittedEntries) > 0 ||
		len(e.ConfirmedReads) > 0 ||
		e.RoleChange != nil
}

// ConfirmedRead reports that this process still led after RequestReadConfirmation was called with the token. A read is linearizable
// once the log is applied up to Index.
type ConfirmedRead struct {
	Token uint64
	Index uint64
}

// Effects returns what has to be done now, if anything. Advance has to be called before the next ones are returned.
func (n *Node) Effects(now time.Duration) Effects {
	var effects Effects
	if n.effectsOpen {
		return effects
	}
	if n.rawNode.HasReady() {
		n.ready = n.rawNode.Ready()
		n.effectsOpen = true
		n.storeReady()
		effects = n.readyEffects()
	}
	effects.RoleChange = n.updateRole(now)
	return effects
}

// storeReady writes to the library's in-memory log what the caller is about to persist.
func (n *Node) storeReady() {
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
		panic(err) // the library hands out only entries that follow on the stored ones
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
	if !n.silenced {
		effects.Messages = n.ready.Messages
	}
	for _, read := range n.ready.ReadStates {
		token, err := strconv.ParseUint(string(read.RequestCtx), 10, 64)
		if err != nil {
			continue // not requested by RequestReadConfirmation
		}
		effects.ConfirmedReads = append(effects.ConfirmedReads, ConfirmedRead{Token: token, Index: read.Index})
	}
	return effects
}

// Advance reports that the last effects were carried out.
func (n *Node) Advance() {
	if !n.effectsOpen {
		return
	}
	if committed := n.ready.CommittedEntries; len(committed) > 0 {
		n.appliedIndex = committed[len(committed)-1].GetIndex()
	}
	n.rawNode.Advance(n.ready)
	n.effectsOpen = false
	n.ready = raft.Ready{}
}
