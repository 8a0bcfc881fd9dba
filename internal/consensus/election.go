package consensus

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

const (
	// A leader has lost its quorum after this many election timeouts without a response from a quorum.
	quorumContactTimeouts = 2
	// A leader that was paused for more heartbeat intervals than this does not send the missed heartbeats.
	maxHeartbeatBacklog = 4
)

// Role is the role of a process in the group.
type Role struct {
	IsLeader bool
	Leader   uint64 // 0: none is known
	Term     uint64
}

// Tick advances the time: a leader sends the heartbeats that are due, any other voter starts an election once its election timer has expired.
func (n *Node) Tick(now time.Duration) {
	if n.raftLeader {
		n.tickLeader(now)
		return
	}
	n.nextHeartbeat = max(n.nextHeartbeat, now)
	if now < n.electionDeadline {
		return
	}
	n.resetElectionTimer(now)
	if n.isVoter() {
		n.rawNode.Campaign()
	}
}

func (n *Node) tickLeader(now time.Duration) {
	n.checkQuorum(now)
	if n.quorumLost {
		n.nextHeartbeat = now + n.settings.HeartbeatInterval
	}
	for now >= n.nextHeartbeat {
		n.rawNode.Tick()
		if now-n.nextHeartbeat > maxHeartbeatBacklog*n.settings.HeartbeatInterval {
			n.nextHeartbeat = now
		}
		n.nextHeartbeat += n.settings.HeartbeatInterval
	}
	n.resetElectionTimer(now)
}

// NextDeadline returns the latest time at which Tick has to be called.
func (n *Node) NextDeadline() time.Duration {
	if n.raftLeader {
		return n.nextHeartbeat
	}
	return n.electionDeadline
}

// resetElectionTimer sets the time of the next election at random: after one to two election timeouts.
func (n *Node) resetElectionTimer(now time.Duration) {
	timeout := n.settings.ElectionTimeout
	n.electionDeadline = now + timeout + time.Duration(n.random.Float64()*float64(timeout))
}

// isVoter reports whether this process is a voter. A learner or a removed process starts no election.
func (n *Node) isVoter() bool { return slices.Contains(n.confState.GetVoters(), n.settings.ID) }

// hasLiveLeader reports whether this process leads, or has received a message from the leader within an election timeout. Such a process
// ignores vote requests, so that a process that can't reach the leader over a broken link does not depose it.
func (n *Node) hasLiveLeader(now time.Duration) bool {
	return n.role.IsLeader || now < n.lastLeaderContact+n.settings.ElectionTimeout
}

// checkQuorum sets quorumLost for a leader without a response from a quorum, and clears it once a quorum responds. Without this check such
// a leader would keep its followers from electing another leader, while it can commit nothing itself.
func (n *Node) checkQuorum(now time.Duration) {
	graceOver := now >= n.leaderSince+quorumContactTimeouts*n.settings.ElectionTimeout
	n.quorumLost = (n.quorumLost || graceOver) && !n.hasQuorumContact(now)
}

// hasQuorumContact reports whether a majority of the voters, this process included, has responded to this leader within the last
// quorumContactTimeouts election timeouts.
func (n *Node) hasQuorumContact(now time.Duration) bool {
	voters := n.confState.GetVoters()
	responsive := 0
	for _, id := range voters {
		if id == n.settings.ID || now < n.lastResponse[id]+quorumContactTimeouts*n.settings.ElectionTimeout {
			responsive++
		}
	}
	return 2*responsive > len(voters)
}

// updateRole derives the role from the library's state, and returns it if it has changed, otherwise nil.
func (n *Node) updateRole(now time.Duration) *Role {
	status := n.rawNode.BasicStatus()
	raftLeader := status.RaftState == raft.StateLeader
	if raftLeader && !n.raftLeader {
		n.nextHeartbeat = now
		n.leaderSince = now
		n.quorumLost = false
		clear(n.lastResponse)
	}
	n.raftLeader = raftLeader
	n.quorumLost = n.quorumLost && raftLeader
	role := Role{
		IsLeader: raftLeader && !n.quorumLost,
		Leader:   status.Lead,
		Term:     status.HardState.GetTerm(),
	}
	if role == n.role {
		return nil
	}
	n.role = role
	return &role
}
