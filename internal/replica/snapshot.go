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

// snapshotData is the content of a snapshot, as it is stored, and sent to processes that lag too far for the leader's log.
type snapshotData struct {
	Register json.RawMessage   `json:"register"`
	Members  map[uint64]Member `json:"members"`
}

// restore replaces the register and the members by those of a snapshot.
func (r *Replica) restore(raw []byte) error {
	var data snapshotData
	if err := json.Unmarshal(raw, &data); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if err := r.register.Restore(data.Register); err != nil {
		return err
	}
	r.members = data.Members
	// For members that this process's settings name, the addresses in the settings take precedence: they may differ from process to process.
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

// installSnapshot replaces the state by a snapshot of the leader. The leader sends one if its log no longer has the entries that this process
// lacks.
func (r *Replica) installSnapshot(snapshot *pb.Snapshot) []Action {
	if err := r.restore(snapshot.GetData()); err != nil {
		panic(err) // can't happen: the sender encoded the snapshot, and checksums have protected it since
	}
	r.snapshotIndex = snapshot.GetMetadata().GetIndex()
	return []Action{PublishState{}, MembershipChanged{maps.Clone(r.members)}}
}

// compact replaces the log by a snapshot once CompactionInterval entries were applied after the last snapshot. Entries without
// MaxRemovedShare, from earlier versions of this program, are replaced immediately: the snapshot stores the MaxRemovedShare with which they
// were applied, whereas a later replay would use the one of the settings at that time.
func (r *Replica) compact() []Action {
	interval := r.settings.CompactionInterval
	due := interval != 0 && r.node.AppliedIndex() >= r.snapshotIndex+interval
	if !due && !r.appliedLegacyEntry {
		return nil
	}
	r.appliedLegacyEntry = false
	raw, err := json.Marshal(snapshotData{Register: r.register.Snapshot(), Members: r.members})
	if err != nil {
		panic(err) // can't happen: all values in the state can be encoded
	}
	snapshot, err := r.node.Compact(raw, interval)
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return nil
	}
	if err != nil {
		panic(err) // can't happen: the log is in memory and extends at least to the applied index
	}
	r.snapshotIndex = r.node.AppliedIndex()
	return []Action{Persist{consensus.PersistentState{Snapshot: snapshot}}}
}
