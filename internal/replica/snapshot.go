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

// installSnapshot takes over the leader's state, when this process was too far behind to get the entries.
func (r *Replica) installSnapshot(snapshot *pb.Snapshot) []Action {
	if err := r.restore(snapshot.GetData()); err != nil {
		panic(err) // its sender encoded it, and checksums have covered it since
	}
	r.snapshotIndex = snapshot.GetMetadata().GetIndex()
	return []Action{PublishState{}, MembershipChanged{maps.Clone(r.members)}}
}

// compact replaces the log by a snapshot once enough entries were applied since the last one.
func (r *Replica) compact() []Action {
	interval := r.settings.CompactionInterval
	if interval == 0 || r.node.AppliedIndex() < r.snapshotIndex+interval {
		return nil
	}
	raw, err := json.Marshal(snapshotData{Register: r.register.Snapshot(), Members: r.members})
	if err != nil {
		panic(err) // the state holds nothing that can't be encoded
	}
	snapshot, err := r.node.Compact(raw, interval)
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return nil
	}
	if err != nil {
		panic(err) // the log is in memory and ends behind what is applied
	}
	r.snapshotIndex = r.node.AppliedIndex()
	return []Action{Persist{consensus.PersistentState{Snapshot: snapshot}}}
}
