package replica

import (
	"errors"
	"fmt"

	"bankledge/internal/configversion"
	"bankledge/internal/consensus"
	"bankledge/internal/lease"
)

// Member holds the addresses of one process of the group, and whether it votes.
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
	InitialMembers     map[uint64]Member // by id; the members of a new group, or for a process that joins a group, its present members
	Joining            bool              // the process joins an existing group
	Lineage            string            // written to the log if this process is the first leader of a new group
	CompactionInterval uint64            // number of entries after which a snapshot replaces them; 0: never
}

// Validate returns an error that names the first invalid field by its key in the settings file.
func (s *Settings) Validate() error {
	if err := s.LeaseDurations.Validate(); err != nil {
		return fmt.Errorf("lease durations: %w", err)
	}
	if err := s.Consensus.Validate(); err != nil {
		return err
	}
	if !s.Joining && s.InitialMembers[s.Consensus.ID] == (Member{}) {
		return fmt.Errorf("members: no entry for this process (id %d): must have one unless joins is true", s.Consensus.ID)
	}
	if s.Lineage == "" {
		return errors.New("lineage: missing: must not be empty")
	}
	validShare := s.Guards.MaxRemovedShare > 0 && s.Guards.MaxRemovedShare <= 1 // also false for NaN
	if !validShare {
		return fmt.Errorf("most_gone: invalid value %v: must be above 0 and at most 1", s.Guards.MaxRemovedShare)
	}
	return nil
}
