package consensus

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

const (
	// A leader is silenced after this many election timeouts without a response from a quorum.
	quorumContactTimeouts = 2
	// A leader that was paused for more heartbeat intervals than this does not make up for the missed heartbeats.
	maxHeartbeatBacklog = 4
)

// Role is what a process is in the group.
type Role struct {
	IsLeader bool
	Leader   uint64 // 0: none is known
	Term     uint64
}

// Tick lets time pass: a leader sends heartbeats, any other voter calls an election once its timer has run out.
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
	n.updateSilenced(now)
	if n.silenced {
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

// NextDeadline is when Tick has to be called at the latest.
func (n *Node) NextDeadline() time.Duration {
	if n.raftLeader {
		return n.nextHeartbeat
	}
	return n.electionDeadline
}

// resetElectionTimer chooses at random when the next election is called: after one to two election timeouts.
func (n *Node) resetElectionTimer(now time.Duration) {
	timeout := n.settings.ElectionTimeout
	n.electionDeadline = now + timeout + time.Duration(n.random.Float64()*float64(timeout))
}

// isVoter reports whether this process may vote: a learner or a removed process calls no election.
func (n *Node) isVoter() bool { return slices.Contains(n.confState.GetVoters(), n.settings.ID) }

// hasLiveLeader reports whether this process leads or has received a message of the leader within an election timeout. Such a process
// does not help to replace the leader, so that a process behind a broken link can't depose it.
func (n *Node) hasLiveLeader(now time.Duration) bool {
	return n.role.IsLeader || now < n.lastLeaderContact+n.settings.ElectionTimeout
}

// updateSilenced silences a leader without a response from a quorum, and ends that once a quorum responds. Otherwise such a leader would
// keep its followers from electing another one while it can commit nothing.
func (n *Node) updateSilenced(now time.Duration) {
	graceOver := now >= n.leaderSince+quorumContactTimeouts*n.settings.ElectionTimeout
	n.silenced = (n.silenced || graceOver) && !n.hasQuorumContact(now)
}

// hasQuorumContact reports whether a majority of the voters, this process included, has responded to this leader within
// quorumContactTimeouts.
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

// updateRole derives the role from the library's state and returns it if it has changed.
func (n *Node) updateRole(now time.Duration) *Role {
	status := n.rawNode.BasicStatus()
	raftLeader := status.RaftState == raft.StateLeader
	if raftLeader && !n.raftLeader {
		n.nextHeartbeat = now
		n.leaderSince = now
		n.silenced = false
		clear(n.lastResponse)
	}
	n.raftLeader = raftLeader
	n.silenced = n.silenced && raftLeader
	role := Role{
		IsLeader: raftLeader && !n.silenced,
		Leader:   status.Lead,
		Term:     status.HardState.GetTerm(),
	}
	if role == n.role {
		return nil
	}
	n.role = role
	return &role
}
