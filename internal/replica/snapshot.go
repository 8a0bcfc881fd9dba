package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"bankledge/internal/consensus"
)

// snapshotData is the content of a snapshot, as it is stored and sent to processes that are far behind.
type snapshotData struct {
	Register json.RawMessage   `json:"register"`
	Members  map[uint64]Member `json:"members"`
}

// restore replaces the state by that of a snapshot.
func (r *Replica) restore(raw []byte) error {
	var data snapshotData
	if err := json.Unmarshal(raw, &data); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := r.register.Restore(data.Register); err != nil {
		return err
	}
	r.members = data.Members
	// A snapshot does not change the addresses of members that this process's own settings name: they may differ from process to process.
	for id, configured := range r.settings.InitialMembers {
		member, isMember := r.members[id]
		if !isMember {
			continue
		}
		member.Peer = configured.Peer
		member.Client = configured.Client
		r.members[id] = member
	}
	return nil
}

// installSnapshot replaces the state by that of the leader, when the leader no longer has the entries that this process lacks.
func (r *Replica) installSnapshot(snapshot *pb.Snapshot) []Action {
	if err := r.restore(snapshot.GetData()); err != nil {
		panic(err) // its sender encoded it, and checksums have covered it since
	}
	r.snapshotIndex = snapshot.GetMetadata().GetIndex()
	return []Action{PublishState{}, MembershipChanged{maps.Clone(r.members)}}
}

// compact replaces the log by a snapshot once enough entries were applied since the last one. Entries of an earlier version of this
// program are replaced at once: the snapshot holds the share by which they were judged, a later replay would use that of the settings then.
func (r *Replica) compact() []Action {
	interval := r.settings.CompactionInterval
	due := interval != 0 && r.node.AppliedIndex() >= r.snapshotIndex+interval
	if !due && !r.appliedEarlierFormat {
		return nil
	}
	r.appliedEarlierFormat = false
	raw, err := json.Marshal(snapshotData{Register: r.register.Snapshot(), Members: r.members})
	if err != nil {
		panic(err) // the state holds nothing that can't be encoded
	}
	snapshot, err := r.node.Compact(raw, interval)
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return nil
	}
	if err != nil {
		panic(err) // the log is in memory and reaches beyond the applied index
	}
	r.snapshotIndex = r.node.AppliedIndex()
	return []Action{Persist{consensus.PersistentState{Snapshot: snapshot}}}
}
