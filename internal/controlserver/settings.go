// Package control drives one process of the control group: it hands a seat what comes from sockets, disk and clock, and carries out
// what the seat asks for, in the order that it asks. All decisions are the seat's.
package controlserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/go-jsonnet"

	"bankledge/internal/configversion"
	"bankledge/internal/consensus"
	"bankledge/internal/lease"
	"bankledge/internal/replica"
)

// Settings of one process, as they stand in its file. Times are milliseconds.
type Settings struct {
	ID                    uint64            `json:"id"`
	DataDir               string            `json:"dir"`     // of the log, relative to the file's own folder
	Members               map[string]Member `json:"members"` // that found the group, by id; for one that joins: that there are
	Joining               bool              `json:"joins"`   // the group is there already, and this process was added to it
	PeerAddress           string            `json:"peer"`    // address for the others; its own among the members if empty
	ClientAddress         string            `json:"client"`  // for routers and operators, likewise
	LeaseMillis           int64             `json:"term_ms"`
	RenewIntervalMillis   int64             `json:"renew_ms"`
	ReplyTimeoutMillis    int64             `json:"answer_ms"`
	MaxBatchMillis        int64             `json:"batch_ms"`
	MaxPauseMillis        int64             `json:"pause_ms"`
	MaxClockDrift         *float64          `json:"drift"`
	HeartbeatMillis       int64             `json:"heartbeat_ms"`
	ElectionTimeoutMillis int64             `json:"election_ms"`
	MaxRemovedShare       float64           `json:"most_gone"` // share of the engines that one version may take away
	CompactionInterval    uint64            `json:"compact"`   // entries after which the log is replaced by a snapshot
}

// Member is where a process of the group listens.
type Member struct {
	Peer   string `json:"peer"`
	Client string `json:"client"`
}

// The settings of who says nothing else.
const (
	usualHeartbeat = 100
	usualElection  = 1000
	usualMostGone  = 0.34
	usualCompact   = 1000
	usualClient    = "127.0.0.1:7200"
	usualPeer      = "127.0.0.1:7100"
)

// Load reads a file, Jsonnet or JSON; an error names the field. An empty name: one process alone, in the folder bankledge-control.
func LoadSettings(path string) (*Settings, error) {
	s := &Settings{DataDir: "bankledge-control"}
	if path != "" {
		if err := EvaluateJsonnet(path, s); err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		if s.DataDir == "" {
			return nil, errors.New("settings: dir: missing")
		}
		if !filepath.IsAbs(s.DataDir) {
			s.DataDir = filepath.Join(filepath.Dir(path), s.DataDir)
		}
	}
	s.fill()
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

// Evaluate reads a Jsonnet file into a value; a field that is not known is an error.
func EvaluateJsonnet(path string, into any) error {
	vm := jsonnet.MakeVM()
	vm.MaxStack = 200
	text, err := vm.EvaluateFile(path)
	if err != nil {
		return err
	}
	return strict([]byte(text), into)
}

func (s *Settings) fill() {
	spans := lease.DefaultDurations()
	for _, f := range []struct {
		of    *int64
		usual time.Duration
	}{{&s.LeaseMillis, spans.LeaseDuration}, {&s.RenewIntervalMillis, spans.RenewInterval}, {&s.ReplyTimeoutMillis, spans.ReplyTimeout}, {&s.MaxBatchMillis, spans.MaxBatch}, {&s.MaxPauseMillis, spans.MaxPause},
		{&s.HeartbeatMillis, usualHeartbeat * time.Millisecond}, {&s.ElectionTimeoutMillis, usualElection * time.Millisecond}} {
		if *f.of == 0 {
			*f.of = f.usual.Milliseconds()
		}
	}
	if s.MaxClockDrift == nil {
		s.MaxClockDrift = &spans.MaxClockDrift
	}
	if s.MaxRemovedShare == 0 {
		s.MaxRemovedShare = usualMostGone
	}
	if s.CompactionInterval == 0 {
		s.CompactionInterval = usualCompact
	}
	if s.ID == 0 && len(s.Members) == 0 { // alone
		s.ID = 1
	}
	own := s.Members[strconv.FormatUint(s.ID, 10)]
	for _, f := range []struct {
		of            *string
		listed, usual string
	}{{&s.PeerAddress, own.Peer, usualPeer}, {&s.ClientAddress, own.Client, usualClient}} {
		if *f.of == "" {
			*f.of = f.listed
		}
		if *f.of == "" {
			*f.of = f.usual
		}
	}
	if len(s.Members) == 0 {
		s.Members = map[string]Member{strconv.FormatUint(s.ID, 10): {s.PeerAddress, s.ClientAddress}}
	}
}

// Spans are the times of the terms.
func (s *Settings) LeaseDurations() lease.Durations {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return lease.Durations{LeaseDuration: ms(s.LeaseMillis), RenewInterval: ms(s.RenewIntervalMillis), ReplyTimeout: ms(s.ReplyTimeoutMillis), MaxBatch: ms(s.MaxBatchMillis), MaxPause: ms(s.MaxPauseMillis), MaxClockDrift: *s.MaxClockDrift}
}

// Seat is what the seat is told; an error names the field.
func (s *Settings) ReplicaSettings() (replica.Settings, error) {
	t := replica.Settings{LeaseDurations: s.LeaseDurations(), Guards: configversion.Guards{MaxRemovedShare: s.MaxRemovedShare}, InitialMembers: map[uint64]replica.Member{}, Joining: s.Joining, CompactionInterval: s.CompactionInterval, Lineage: "not drawn yet",
		Consensus: consensus.Settings{ID: s.ID, HeartbeatInterval: time.Duration(s.HeartbeatMillis) * time.Millisecond, ElectionTimeout: time.Duration(s.ElectionTimeoutMillis) * time.Millisecond}}
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		id, err := strconv.ParseUint(name, 10, 64)
		m := s.Members[name]
		if err != nil || id == 0 {
			return t, fmt.Errorf("members: %q is no id: a number from 1", name)
		}
		t.InitialMembers[id] = replica.Member{Peer: m.Peer, Client: m.Client, Voter: true}
	}
	return t, nil
}

// Check tells what is wrong; an error names the field.
func (s *Settings) Validate() error {
	if s.ID == 0 {
		return errors.New("id: missing")
	}
	seen := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		for _, f := range [][2]string{{"peer", s.Members[name].Peer}, {"client", s.Members[name].Client}} {
			if err := checkAddress(f[1]); err != nil {
				return fmt.Errorf("members: %s: %s: %w", name, f[0], err)
			}
			if other := seen[f[1]]; other != "" && !strings.HasSuffix(f[1], ":0") { // any free port
				return fmt.Errorf("members: %s: %s: %s has it, too", name, f[0], other)
			}
			seen[f[1]] = name
		}
	}
	for _, f := range [][2]string{{"peer", s.PeerAddress}, {"client", s.ClientAddress}} {
		if err := checkAddress(f[1]); err != nil {
			return fmt.Errorf("%s: %w", f[0], err)
		}
	}
	t, err := s.ReplicaSettings()
	if err != nil {
		return err
	}
	return t.Validate()
}

func checkAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if n, bad := strconv.Atoi(port); err != nil || bad != nil || n < 0 || n > 65535 || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an address with a port", text)
	}
	return nil
}

func strict(raw []byte, into any) error {
	d := json.NewDecoder(bytesReader(raw))
	d.DisallowUnknownFields()
	return d.Decode(into)
}
