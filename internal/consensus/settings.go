package consensus

import (
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
)

// minHeartbeatsPerElection is how many heartbeat intervals an election timeout has to cover, so that one lost heartbeat does not start an
// election.
const minHeartbeatsPerElection = 3

// Settings of one process.
type Settings struct {
	ID                uint64        // from 1; never reused after its process was removed from the group
	Voters            []uint64      // ids of the initial members of a new group; empty for a process that joins an existing group
	HeartbeatInterval time.Duration // between two heartbeats of the leader
	ElectionTimeout   time.Duration // a follower starts an election after one to two timeouts without a message from the leader
	Seed              uint64        // of the random part of the election timeouts
	Logger            raft.Logger
}

// Validate returns an error that names the first invalid field by its key in the settings file.
func (s *Settings) Validate() error {
	switch {
	case s.ID == 0:
		return errors.New("id: missing or 0: must be a whole number from 1")
	case s.HeartbeatInterval <= 0:
		return fmt.Errorf("heartbeat_ms: invalid value %v: must be above 0", s.HeartbeatInterval)
	case s.ElectionTimeout < minHeartbeatsPerElection*s.HeartbeatInterval:
		return fmt.Errorf("election_ms: invalid value %v: must be at least %v, three times heartbeat_ms", s.ElectionTimeout, minHeartbeatsPerElection*s.HeartbeatInterval)
	}
	return nil
}
