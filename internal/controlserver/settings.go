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

// Settings are the contents of a process's settings file. A field that is missing or 0 has its default, except that a drift of 0 is used as
// it is.
type Settings struct {
	ID                    uint64            `json:"id"`
	DataDir               string            `json:"dir"`     // of the replicated log; a relative path is relative to the directory of the settings file
	Members               map[string]Member `json:"members"` // by id: the founding members, or the current members if Joining is set
	Joining               bool              `json:"joins"`   // this process was added to an existing group
	PeerAddress           string            `json:"peer"`    // listen address for the other processes; default: that of this process in Members
	ClientAddress         string            `json:"client"`  // listen address for routers and operators; default: that of this process in Members
	LeaseMillis           int64             `json:"term_ms"`
	RenewIntervalMillis   int64             `json:"renew_ms"`
	ReplyTimeoutMillis    int64             `json:"answer_ms"`
	MaxBatchMillis        int64             `json:"batch_ms"`
	MaxPauseMillis        int64             `json:"pause_ms"`
	MaxClockDrift         *float64          `json:"drift"` // as a fraction: 0.01 is one percent; nil: the default
	HeartbeatMillis       int64             `json:"heartbeat_ms"`
	ElectionTimeoutMillis int64             `json:"election_ms"`
	MaxRemovedShare       float64           `json:"most_gone"` // largest fraction of the engines that one version may remove
	CompactionInterval    uint64            `json:"compact"`   // number of log entries after which the log is replaced by a snapshot
}

// Member holds the listen addresses of a process of the group.
type Member struct {
	Peer   string `json:"peer"`
	Client string `json:"client"`
}

// Defaults of the settings. The defaults of the lease durations are lease.DefaultDurations.
const (
	defaultDataDir               = "bankledge-control"
	defaultHeartbeatMillis       = 100
	defaultElectionTimeoutMillis = 1000
	defaultMaxRemovedShare       = 0.34
	defaultCompactionInterval    = 1000
	defaultClientAddress         = "127.0.0.1:7200"
	defaultPeerAddress           = "127.0.0.1:7100"
)

// placeholderLineage satisfies the validation of settings, which requires a lineage: the actual one is generated when the process starts.
const placeholderLineage = "not generated yet"

// LoadSettings reads and validates a settings file in Jsonnet or JSON. An empty path selects a group of one process with the data
// directory bankledge-control. The error names the invalid field.
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
		return errors.New("dir: empty: must be the path of the data directory")
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

	singleProcess := len(s.Members) == 0
	if singleProcess {
		setDefault(&s.ID, 1)
	}
	ownID := strconv.FormatUint(s.ID, 10)
	ownMember := s.Members[ownID]
	setDefault(&s.PeerAddress, ownMember.Peer)
	setDefault(&s.PeerAddress, defaultPeerAddress)
	setDefault(&s.ClientAddress, ownMember.Client)
	setDefault(&s.ClientAddress, defaultClientAddress)
	if singleProcess {
		s.Members = map[string]Member{ownID: {Peer: s.PeerAddress, Client: s.ClientAddress}}
	}
}

// setDefault assigns value to a field that has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// LeaseDurations returns the durations of the lease protocol. Routers and the group have to use the same lease duration and
// clock drift.
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

// ReplicaSettings returns the settings of the replica with a placeholder lineage and without a seed and a logger; the caller sets these
// three. The error names the invalid field.
func (s *Settings) ReplicaSettings() (replica.Settings, error) {
	result := replica.Settings{
		LeaseDurations:     s.LeaseDurations(),
		Guards:             configversion.Guards{MaxRemovedShare: s.MaxRemovedShare},
		InitialMembers:     map[uint64]replica.Member{},
		Joining:            s.Joining,
		CompactionInterval: s.CompactionInterval,
		Lineage:            placeholderLineage,
		Consensus: consensus.Settings{
			ID:                s.ID,
			HeartbeatInterval: milliseconds(s.HeartbeatMillis),
			ElectionTimeout:   milliseconds(s.ElectionTimeoutMillis),
		},
	}
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		id, err := strconv.ParseUint(name, 10, 64)
		if err != nil || id == 0 {
			return result, fmt.Errorf("members: invalid id %q: must be a whole number from 1", name)
		}
		member := s.Members[name]
		result.InitialMembers[id] = replica.Member{Peer: member.Peer, Client: member.Client, Voter: true}
	}
	return result, nil
}

// Validate returns an error that names the first invalid field by its key in the file.
func (s *Settings) Validate() error {
	if s.ID == 0 {
		return errors.New("id: missing or 0: must be a whole number from 1")
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

// validateMembers rejects invalid addresses and duplicate ones, except addresses with port 0, for which the system assigns a free port.
func (s *Settings) validateMembers() error {
	memberByAddress := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		member := s.Members[name]
		for _, field := range []struct{ name, address string }{{"peer", member.Peer}, {"client", member.Client}} {
			if err := settings.ValidateAddress(field.address); err != nil {
				return fmt.Errorf("members: %s: %s: %w", name, field.name, err)
			}
			anyFreePort := strings.HasSuffix(field.address, ":0")
			if other := memberByAddress[field.address]; other != "" && !anyFreePort {
				return fmt.Errorf("members: %s: %s: duplicate address %q: already used by member %s", name, field.name, field.address, other)
			}
			memberByAddress[field.address] = name
		}
	}
	return nil
}
