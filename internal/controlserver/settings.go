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

// Settings of one process, as they stand in its file. A field that is missing or 0 has its default.
type Settings struct {
	ID                    uint64            `json:"id"`
	DataDir               string            `json:"dir"`     // of the replicated log, relative to the folder of the file
	Members               map[string]Member `json:"members"` // by id: those that found the group, or for one that joins those that there are
	Joining               bool              `json:"joins"`   // the group is there already, and this process was added to it
	PeerAddress           string            `json:"peer"`    // for the other processes; its own among the members if empty
	ClientAddress         string            `json:"client"`  // for routers and operators, likewise
	LeaseMillis           int64             `json:"term_ms"`
	RenewIntervalMillis   int64             `json:"renew_ms"`
	ReplyTimeoutMillis    int64             `json:"answer_ms"`
	MaxBatchMillis        int64             `json:"batch_ms"`
	MaxPauseMillis        int64             `json:"pause_ms"`
	MaxClockDrift         *float64          `json:"drift"` // a share: 0.01 is one percent; 0 is no default
	HeartbeatMillis       int64             `json:"heartbeat_ms"`
	ElectionTimeoutMillis int64             `json:"election_ms"`
	MaxRemovedShare       float64           `json:"most_gone"` // of the engines, that one version may take away
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

// provisionalLineage passes the check of the settings. The lineage of a group is drawn when its processes start.
const provisionalLineage = "not drawn yet"

// LoadSettings reads a file, Jsonnet or JSON. An empty path stands for one process alone, in the folder bankledge-control. An error
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

// LeaseDurations are the times that routers and group have in common.
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

// ReplicaSettings are the settings of the replica; an error names the field. The lineage, the seed and the logger are still to be set.
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

// Validate says what is wrong; an error names the field.
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

// validateMembers refuses addresses that are none, or that two members share.
func (s *Settings) validateMembers() error {
	owners := map[string]string{} // of each address
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
