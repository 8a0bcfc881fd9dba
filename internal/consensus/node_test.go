package consensus

import (
	"io"
	"log"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	testHeartbeat = 20 * time.Millisecond
	testElection  = 150 * time.Millisecond
)

func testSettings(id uint64, voters ...uint64) Settings {
	return Settings{
		ID:                id,
		Voters:            voters,
		HeartbeatInterval: testHeartbeat,
		ElectionTimeout:   testElection,
		Seed:              id,
		Logger:            &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	}
}

func TestSettingsValidate(t *testing.T) {
	for _, c := range []struct {
		name     string
		settings Settings
		want     string // "" if valid
	}{
		{"valid", Settings{ID: 1, HeartbeatInterval: 1, ElectionTimeout: 3}, ""},
		{"no id", Settings{HeartbeatInterval: 1, ElectionTimeout: 3}, "id: missing or 0: must be a whole number from 1"},
		{"no heartbeat", Settings{ID: 1, ElectionTimeout: 3}, "heartbeat_ms: invalid value 0s: must be above 0"},
		{"short election", Settings{ID: 1, HeartbeatInterval: time.Second, ElectionTimeout: 2 * time.Second}, "election_ms: invalid value 2s: must be at least 3s, three times heartbeat_ms"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := c.settings.Validate()
			if c.want == "" {
				assert.NoError(t, err)
				return
			}
			assert.EqualError(t, err, c.want)
		})
	}
}

func storedSnapshot(index uint64) *pb.Snapshot {
	return &pb.Snapshot{Metadata: &pb.SnapshotMetadata{
		Index:     proto.Uint64(index),
		Term:      proto.Uint64(1),
		ConfState: &pb.ConfState{Voters: []uint64{1}},
	}}
}

func storedHardState(commit uint64) *pb.HardState {
	return &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(1), Commit: proto.Uint64(commit)}
}

func TestNewRejectsTruncatedLog(t *testing.T) {
	_, err := New(testSettings(1), PersistentState{Snapshot: storedSnapshot(5), HardState: storedHardState(7)}, 5, 0)
	var truncated *TruncatedLogError
	require.ErrorAs(t, err, &truncated)
	assert.Equal(t, TruncatedLogError{LastIndex: 5, CommitIndex: 7}, *truncated)
	assert.EqualError(t, err, "stored log is damaged: it ends at index 5, but index 7 was committed")
}

// A snapshot may have been synced after the stored commit index, which is then lower than the snapshot's index.
func TestNewRaisesCommitIndexToSnapshot(t *testing.T) {
	n, err := New(testSettings(1), PersistentState{Snapshot: storedSnapshot(5), HardState: storedHardState(3)}, 5, 0)
	require.NoError(t, err)
	assert.Equal(t, uint64(5), n.InitialState().HardState.GetCommit())
	assert.Equal(t, uint64(5), n.AppliedIndex())
}

func TestReceiveMisdirected(t *testing.T) {
	n, err := New(testSettings(1, 1, 2, 3), PersistentState{}, 0, 0)
	require.NoError(t, err)
	for _, c := range []struct {
		name     string
		kind     pb.MessageType
		from, to uint64
	}{
		{"to another process", pb.MsgHeartbeat, 2, 3},
		{"from itself", pb.MsgHeartbeat, 1, 1},
		{"local kind", pb.MsgHup, 2, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			message := &pb.Message{Type: c.kind.Enum(), From: proto.Uint64(c.from), To: proto.Uint64(c.to)}
			assert.ErrorIs(t, n.Receive(0, message), ErrMisdirected)
		})
	}
}

// cluster runs processes with one simulated clock, and a network that delivers a message immediately or drops it.
type cluster struct {
	t        *testing.T
	now      time.Duration
	nodes    map[uint64]*Node
	isolated map[uint64]bool
	sent     map[uint64]int // messages by their sender
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, nodes: map[uint64]*Node{}, isolated: map[uint64]bool{}, sent: map[uint64]int{}}
	for id := uint64(1); id <= 3; id++ {
		n, err := New(testSettings(id, 1, 2, 3), PersistentState{}, 0, 0)
		require.NoError(t, err)
		c.nodes[id] = n
	}
	return c
}

// run runs the cluster for a duration.
func (c *cluster) run(duration time.Duration) {
	c.t.Helper()
	for end := c.now + duration; c.now < end; c.now += time.Millisecond {
		for id := uint64(1); id <= 3; id++ {
			if c.now >= c.nodes[id].NextDeadline() {
				c.nodes[id].Tick(c.now)
			}
			c.carryOut(id)
		}
	}
}

func (c *cluster) carryOut(id uint64) {
	n := c.nodes[id]
	for effects := n.Effects(c.now); effects.HasWork(); effects = n.Effects(c.now) {
		n.Advance()
		c.sent[id] += len(effects.Messages)
		for _, message := range effects.Messages {
			receiver := message.GetTo()
			if c.isolated[id] || c.isolated[receiver] {
				continue
			}
			if c.nodes[receiver].Receive(c.now, proto.Clone(message).(*pb.Message)) == nil {
				c.carryOut(receiver)
			}
		}
	}
	n.Advance()
}

// leaders returns the ids of the processes that lead.
func (c *cluster) leaders() []uint64 {
	var list []uint64
	for id := uint64(1); id <= 3; id++ {
		if c.nodes[id].Role().IsLeader {
			list = append(list, id)
		}
	}
	return list
}

// An isolated leader loses its quorum, sends nothing, and is replaced. After it is connected again, it follows the new leader.
func TestIsolatedLeader(t *testing.T) {
	c := newCluster(t)
	c.run(time.Second)
	require.Len(t, c.leaders(), 1)
	first := c.leaders()[0]

	c.isolated[first] = true
	c.run(time.Second)
	require.Len(t, c.leaders(), 1)
	second := c.leaders()[0]
	assert.NotEqual(t, first, second)
	assert.ErrorIs(t, c.nodes[first].Propose([]byte("x")), raft.ErrProposalDropped)
	before := c.sent[first]
	c.run(time.Second)
	assert.Equal(t, before, c.sent[first], "a leader without a quorum sends nothing")

	c.isolated[first] = false
	c.run(time.Second)
	assert.Equal(t, []uint64{second}, c.leaders())
	assert.Equal(t, Role{Leader: second, Term: c.nodes[second].Role().Term}, c.nodes[first].Role())
}

// An isolated follower starts elections. After it is connected again the leader stays, since the others still receive its heartbeats.
func TestIsolatedFollowerDoesNotDeposeLeader(t *testing.T) {
	c := newCluster(t)
	c.run(time.Second)
	require.Len(t, c.leaders(), 1)
	leader := c.leaders()[0]
	role := c.nodes[leader].Role()
	follower := leader%3 + 1
	c.isolated[follower] = true
	c.run(2 * time.Second)
	c.isolated[follower] = false
	c.run(time.Second)
	assert.Equal(t, role, c.nodes[leader].Role())
	assert.Equal(t, leader, c.nodes[follower].Role().Leader)
}
