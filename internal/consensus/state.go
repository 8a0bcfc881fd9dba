package consensus

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// All founding members start from the same empty snapshot, so that none of them has to replicate the first configuration.
const (
	foundingIndex = 1
	foundingTerm  = 1
)

// PersistentState is what has to survive a restart of the process. As a change it holds only what is written anew: nil fields stay as
// they are, and entries replace all stored entries from the index of the first one on.
type PersistentState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry
}

// isEmpty reports whether nothing was ever stored.
func (s *PersistentState) isEmpty() bool {
	return s.HardState == nil && s.Snapshot == nil && len(s.Entries) == 0
}

// foundingState is what each founding member of a new group starts from.
func foundingState(voters []uint64) PersistentState {
	return PersistentState{
		Snapshot: &pb.Snapshot{Metadata: &pb.SnapshotMetadata{
			Index:     proto.Uint64(foundingIndex),
			Term:      proto.Uint64(foundingTerm),
			ConfState: &pb.ConfState{Voters: slices.Sorted(slices.Values(voters))},
		}},
		HardState: &pb.HardState{
			Term:   proto.Uint64(foundingTerm),
			Vote:   proto.Uint64(0),
			Commit: proto.Uint64(foundingIndex),
		},
	}
}

// withCommitAtSnapshot returns the state with a commit index that covers the snapshot. The commit index is not synced on its own,
// while a later snapshot may have been; what a snapshot contains was committed.
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
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	if state.HardState != nil {
		if err := storage.SetHardState(state.HardState); err != nil {
			return fmt.Errorf("hard state: %w", err)
		}
	}
	if err := storage.Append(state.Entries); err != nil {
		return fmt.Errorf("entries: %w", err)
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

// TruncatedLogError reports a stored log that ends before what was committed: the storage has lost synced data.
type TruncatedLogError struct {
	LastIndex   uint64
	CommitIndex uint64
}

func (e *TruncatedLogError) Error() string {
	return fmt.Sprintf("the log ends at %d, and %d was committed: it is damaged", e.LastIndex, e.CommitIndex)
}
