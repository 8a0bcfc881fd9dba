package replica

import (
	"errors"
	"fmt"

	"bankledge/internal/configversion"
	"bankledge/internal/consensus"
	"bankledge/internal/lease"
)

// Member is how one process of the group is reached.
type Member struct {
	Peer   string `json:"peer"`   // address for the other processes
	Client string `json:"client"` // address for routers and operators
	Voter  bool   `json:"votes"`  // false: a learner, until it has caught up
}

// Settings of one process.
type Settings struct {
	Consensus          consensus.Settings
	LeaseDurations     lease.Durations
	Guards             configversion.Guards
	InitialMembers     map[uint64]Member // the founding members; for a process that joins, the present members
	Joining            bool              // the group exists already
	Lineage            string            // of a group that is founded by this process
	CompactionInterval uint64            // entries after which the log is replaced by a snapshot; 0: never
}

// Validate returns an error that names the first invalid field by its key in the settings file.
func (s *Settings) Validate() error {
	if err := s.LeaseDurations.Validate(); err != nil {
		return fmt.Errorf("spans: %w", err)
	}
	if err := s.Consensus.Validate(); err != nil {
		return err
	}
	if !s.Joining && s.InitialMembers[s.Consensus.ID] == (Member{}) {
		return fmt.Errorf("members: process %d is none of them", s.Consensus.ID)
	}
	if s.Lineage == "" {
		return errors.New("lineage: missing")
	}
	validShare := s.Guards.MaxRemovedShare > 0 && s.Guards.MaxRemovedShare <= 1 // false for NaN, too
	if !validShare {
		return fmt.Errorf("most_gone: %v is not above 0 and up to 1", s.Guards.MaxRemovedShare)
	}
	return nil
}
