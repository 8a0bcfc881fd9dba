package controlserver

import (
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"bankledge/internal/configversion"
	"bankledge/internal/consensus"
	"bankledge/internal/lease"
	"bankledge/internal/replica"
	"bankledge/internal/settings"
)

// Settings of one process, as in its settings file. A field that is missing or 0 has its default.
type Settings struct {
	ID                    uint64            `json:"id"`
	DataDir               string            `json:"dir"`     // of the replicated log, relative to the folder of the file
	Members               map[string]Member `json:"members"` // by id: the founding members, or for a process that joins, the present members
	Joining               bool              `json:"joins"`   // the group exists already, and this process was added to it
	PeerAddress           string            `json:"peer"`    // for the other processes; if empty, this process's address in Members
	ClientAddress         string            `json:"client"`  // for routers and operators; if empty, as for PeerAddress
	LeaseMillis           int64             `json:"term_ms"`
	RenewIntervalMillis   int64             `json:"renew_ms"`
	ReplyTimeoutMillis    int64             `json:"answer_ms"`
	MaxBatchMillis        int64             `json:"batch_ms"`
	MaxPauseMillis        int64             `json:"pause_ms"`
	MaxClockDrift         *float64          `json:"drift"` // fraction: 0.01 is one percent; nil: the default
	HeartbeatMillis       int64             `json:"heartbeat_ms"`
	ElectionTimeoutMillis int64             `json:"election_ms"`
	MaxRemovedShare       float64           `json:"most_gone"` // fraction of the engines that one version may remove
	CompactionInterval    uint64            `json:"compact"`   // entries after which the log is replaced by a snapshot
}

// Member is where a process of the group listens.
type Member struct {
	Peer   string `json:"peer"`
	Client string `json:"client"`
}

// Defaults of the settings; those of the leases are lease.DefaultDurations.
const (
	defaultDataDir               = "bankledge-control"
	defaultHeartbeatMillis       = 100
	defaultElectionTimeoutMillis = 1000
	defaultMaxRemovedShare       = 0.34
	defaultCompactionInterval    = 1000
	defaultClientAddress         = "127.0.0.1:7200"
	defaultPeerAddress           = "127.0.0.1:7100"
)

// provisionalLineage stands for the lineage while settings are validated: the lineage of a new group is generated when a process starts.
const provisionalLineage = "not drawn yet"

// LoadSettings reads a file, Jsonnet or JSON. An empty path means a group of one process, in the folder bankledge-control. An error
// names the field.
func LoadSettings(path string) (*Settings, error) {
	s := &Settings{DataDir: defaultDataDir}
	if path != "" {
		if err := s.readFile(path); err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
	}
	s.applyDefaults()
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

func (s *Settings) readFile(path string) error {
	if err := EvaluateJsonnet(path, s); err != nil {
		return err
	}
	if s.DataDir == "" {
		return errors.New("dir: missing")
	}
	if !filepath.IsAbs(s.DataDir) {
		s.DataDir = filepath.Join(filepath.Dir(path), s.DataDir)
	}
	return nil
}

func (s *Settings) applyDefaults() {
	durations := lease.DefaultDurations()
	setDefault(&s.LeaseMillis, durations.LeaseDuration.Milliseconds())
	setDefault(&s.RenewIntervalMillis, durations.RenewInterval.Milliseconds())
	setDefault(&s.ReplyTimeoutMillis, durations.ReplyTimeout.Milliseconds())
	setDefault(&s.MaxBatchMillis, durations.MaxBatch.Milliseconds())
	setDefault(&s.MaxPauseMillis, durations.MaxPause.Milliseconds())
	setDefault(&s.MaxClockDrift, &durations.MaxClockDrift)
	setDefault(&s.HeartbeatMillis, defaultHeartbeatMillis)
	setDefault(&s.ElectionTimeoutMillis, defaultElectionTimeoutMillis)
	setDefault(&s.MaxRemovedShare, defaultMaxRemovedShare)
	setDefault(&s.CompactionInterval, defaultCompactionInterval)

	alone := len(s.Members) == 0
	if alone {
		setDefault(&s.ID, 1)
	}
	ownID := strconv.FormatUint(s.ID, 10)
	own := s.Members[ownID]
	setDefault(&s.PeerAddress, own.Peer)
	setDefault(&s.PeerAddress, defaultPeerAddress)
	setDefault(&s.ClientAddress, own.Client)
	setDefault(&s.ClientAddress, defaultClientAddress)
	if alone {
		s.Members = map[string]Member{ownID: {Peer: s.PeerAddress, Client: s.ClientAddress}}
	}
}

// setDefault sets a field that has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// LeaseDurations returns the durations on which routers and group have to agree.
func (s *Settings) LeaseDurations() lease.Durations {
	return lease.Durations{
		LeaseDuration: milliseconds(s.LeaseMillis),
		RenewInterval: milliseconds(s.RenewIntervalMillis),
		ReplyTimeout:  milliseconds(s.ReplyTimeoutMillis),
		MaxBatch:      milliseconds(s.MaxBatchMillis),
		MaxPause:      milliseconds(s.MaxPauseMillis),
		MaxClockDrift: *s.MaxClockDrift,
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// ReplicaSettings are the settings of the replica; an error names the field. The caller sets the lineage, the seed and the logger.
func (s *Settings) ReplicaSettings() (replica.Settings, error) {
	result := replica.Settings{
		LeaseDurations:     s.LeaseDurations(),
		Guards:             configversion.Guards{MaxRemovedShare: s.MaxRemovedShare},
		InitialMembers:     map[uint64]replica.Member{},
		Joining:            s.Joining,
		CompactionInterval: s.CompactionInterval,
		Lineage:            provisionalLineage,
		Consensus: consensus.Settings{
			ID:                s.ID,
			HeartbeatInterval: milliseconds(s.HeartbeatMillis),
			ElectionTimeout:   milliseconds(s.ElectionTimeoutMillis),
		},
	}
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		id, err := strconv.ParseUint(name, 10, 64)
		if err != nil || id == 0 {
			return result, fmt.Errorf("members: %q is no id: a number from 1", name)
		}
		member := s.Members[name]
		result.InitialMembers[id] = replica.Member{Peer: member.Peer, Client: member.Client, Voter: true}
	}
	return result, nil
}

// Validate returns an error that names the first invalid field by its key in the file.
func (s *Settings) Validate() error {
	if s.ID == 0 {
		return errors.New("id: missing")
	}
	if err := s.validateMembers(); err != nil {
		return err
	}
	if err := settings.ValidateAddress(s.PeerAddress); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	if err := settings.ValidateAddress(s.ClientAddress); err != nil {
		return fmt.Errorf("client: %w", err)
	}
	replicaSettings, err := s.ReplicaSettings()
	if err != nil {
		return err
	}
	return replicaSettings.Validate()
}

// validateMembers rejects invalid addresses and those that two members share.
func (s *Settings) validateMembers() error {
	owners := map[string]string{} // member by address
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		member := s.Members[name]
		for _, field := range []struct{ name, address string }{{"peer", member.Peer}, {"client", member.Client}} {
			if err := settings.ValidateAddress(field.address); err != nil {
				return fmt.Errorf("members: %s: %s: %w", name, field.name, err)
			}
			anyFreePort := strings.HasSuffix(field.address, ":0")
			if owner := owners[field.address]; owner != "" && !anyFreePort {
				return fmt.Errorf("members: %s: %s: %s has it, too", name, field.name, owner)
			}
			owners[field.address] = name
		}
	}
	return nil
}
