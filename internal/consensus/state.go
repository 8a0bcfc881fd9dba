package consensus

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Index and term of the empty snapshot from which all initial members of a group start. It holds the first configuration, so that the log does
// not have to replicate it.
const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// PersistentState is the state that has to survive a restart of the process. As a change, it contains only new values: nil fields leave the
// stored values unchanged, and Entries replace all stored entries from the index of the first one on.
type PersistentState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry
}

// isEmpty reports whether the process has never stored anything.
func (s *PersistentState) isEmpty() bool {
	return s.HardState == nil && s.Snapshot == nil && len(s.Entries) == 0
}

// bootstrapState returns the state from which each initial member of a new group starts.
func bootstrapState(voters []uint64) PersistentState {
	return PersistentState{
		Snapshot: &pb.Snapshot{Metadata: &pb.SnapshotMetadata{
			Index:     proto.Uint64(bootstrapIndex),
			Term:      proto.Uint64(bootstrapTerm),
			ConfState: &pb.ConfState{Voters: slices.Sorted(slices.Values(voters))},
		}},
		HardState: &pb.HardState{
			Term:   proto.Uint64(bootstrapTerm),
			Vote:   proto.Uint64(0),
			Commit: proto.Uint64(bootstrapIndex),
		},
	}
}

// withCommitAtSnapshot returns the state with a commit index of at least the snapshot's index. The stored commit index may be older than a
// synced snapshot, since a change of the commit index alone is not synced; the entries in a snapshot were committed.
func withCommitAtSnapshot(state PersistentState) PersistentState {
	snapshotIndex := state.Snapshot.GetMetadata().GetIndex()
	if state.HardState == nil || state.HardState.GetCommit() >= snapshotIndex {
		return state
	}
	state.HardState = &pb.HardState{
		Term:   proto.Uint64(state.HardState.GetTerm()),
		Vote:   proto.Uint64(state.HardState.GetVote()),
		Commit: proto.Uint64(snapshotIndex),
	}
	return state
}

// restoreStorage fills the library's in-memory log from the stored state.
func restoreStorage(storage *raft.MemoryStorage, state PersistentState) error {
	if state.Snapshot != nil {
		if err := storage.ApplySnapshot(state.Snapshot); err != nil {
			return fmt.Errorf("restore snapshot: %w", err)
		}
	}
	if state.HardState != nil {
		if err := storage.SetHardState(state.HardState); err != nil {
			return fmt.Errorf("restore hard state: %w", err)
		}
	}
	if err := storage.Append(state.Entries); err != nil {
		return fmt.Errorf("restore entries: %w", err)
	}
	lastIndex, err := storage.LastIndex()
	if err != nil {
		return err
	}
	if commit := state.HardState.GetCommit(); commit > lastIndex {
		return &TruncatedLogError{LastIndex: lastIndex, CommitIndex: commit}
	}
	return nil
}

// TruncatedLogError reports that a stored log ends before the commit index, so the storage has lost synced data.
type TruncatedLogError struct {
	LastIndex   uint64
	CommitIndex uint64
}

func (e *TruncatedLogError) Error() string {
	return fmt.Sprintf("stored log is damaged: it ends at index %d, but index %d was committed", e.LastIndex, e.CommitIndex)
}
