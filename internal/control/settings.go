// Package control drives one process of the control group: it hands a seat what comes from sockets, disk and clock, and carries out
// what the seat asks for, in the order that it asks. All decisions are the seat's.
package control

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

	"bankledge/internal/agree"
	"bankledge/internal/consensus"
	"bankledge/internal/seat"
	"bankledge/internal/version"
)

// Settings of one process, as they stand in its file. Times are milliseconds.
type Settings struct {
	ID        uint64            `json:"id"`
	Dir       string            `json:"dir"`     // of the log, relative to the file's own folder
	Members   map[string]Member `json:"members"` // that found the group, by id; for one that joins: that there are
	Joins     bool              `json:"joins"`   // the group is there already, and this process was added to it
	Peer      string            `json:"peer"`    // address for the others; its own among the members if empty
	Client    string            `json:"client"`  // for routers and operators, likewise
	Term      int64             `json:"term_ms"`
	Renew     int64             `json:"renew_ms"`
	Answer    int64             `json:"answer_ms"`
	Batch     int64             `json:"batch_ms"`
	Pause     int64             `json:"pause_ms"`
	Drift     *float64          `json:"drift"`
	Heartbeat int64             `json:"heartbeat_ms"`
	Election  int64             `json:"election_ms"`
	MostGone  float64           `json:"most_gone"` // share of the engines that one version may take away
	Compact   uint64            `json:"compact"`   // entries after which the log is replaced by a snapshot
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
func Load(path string) (*Settings, error) {
	s := &Settings{Dir: "bankledge-control"}
	if path != "" {
		if err := Evaluate(path, s); err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		if s.Dir == "" {
			return nil, errors.New("settings: dir: missing")
		}
		if !filepath.IsAbs(s.Dir) {
			s.Dir = filepath.Join(filepath.Dir(path), s.Dir)
		}
	}
	s.fill()
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

// Evaluate reads a Jsonnet file into a value; a field that is not known is an error.
func Evaluate(path string, into any) error {
	vm := jsonnet.MakeVM()
	vm.MaxStack = 200
	text, err := vm.EvaluateFile(path)
	if err != nil {
		return err
	}
	return strict([]byte(text), into)
}

func (s *Settings) fill() {
	spans := agree.Defaults()
	for _, f := range []struct {
		of    *int64
		usual time.Duration
	}{{&s.Term, spans.Term}, {&s.Renew, spans.Renew}, {&s.Answer, spans.Answer}, {&s.Batch, spans.Batch}, {&s.Pause, spans.Pause},
		{&s.Heartbeat, usualHeartbeat * time.Millisecond}, {&s.Election, usualElection * time.Millisecond}} {
		if *f.of == 0 {
			*f.of = f.usual.Milliseconds()
		}
	}
	if s.Drift == nil {
		s.Drift = &spans.Drift
	}
	if s.MostGone == 0 {
		s.MostGone = usualMostGone
	}
	if s.Compact == 0 {
		s.Compact = usualCompact
	}
	if s.ID == 0 && len(s.Members) == 0 { // alone
		s.ID = 1
	}
	own := s.Members[strconv.FormatUint(s.ID, 10)]
	for _, f := range []struct {
		of            *string
		listed, usual string
	}{{&s.Peer, own.Peer, usualPeer}, {&s.Client, own.Client, usualClient}} {
		if *f.of == "" {
			*f.of = f.listed
		}
		if *f.of == "" {
			*f.of = f.usual
		}
	}
	if len(s.Members) == 0 {
		s.Members = map[string]Member{strconv.FormatUint(s.ID, 10): {s.Peer, s.Client}}
	}
}

// Spans are the times of the terms.
func (s *Settings) Spans() agree.Spans {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return agree.Spans{Term: ms(s.Term), Renew: ms(s.Renew), Answer: ms(s.Answer), Batch: ms(s.Batch), Pause: ms(s.Pause), Drift: *s.Drift}
}

// Seat is what the seat is told; an error names the field.
func (s *Settings) Seat() (seat.Settings, error) {
	t := seat.Settings{Spans: s.Spans(), Guards: version.Guards{MostGone: s.MostGone}, Founded: map[uint64]seat.Member{}, Joins: s.Joins, Compact: s.Compact, Lineage: "not drawn yet",
		Node: consensus.Settings{ID: s.ID, Heartbeat: time.Duration(s.Heartbeat) * time.Millisecond, Election: time.Duration(s.Election) * time.Millisecond}}
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		id, err := strconv.ParseUint(name, 10, 64)
		m := s.Members[name]
		if err != nil || id == 0 {
			return t, fmt.Errorf("members: %q is no id: a number from 1", name)
		}
		t.Founded[id] = seat.Member{Peer: m.Peer, Client: m.Client, Votes: true}
	}
	return t, nil
}

// Check tells what is wrong; an error names the field.
func (s *Settings) Check() error {
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
	for _, f := range [][2]string{{"peer", s.Peer}, {"client", s.Client}} {
		if err := checkAddress(f[1]); err != nil {
			return fmt.Errorf("%s: %w", f[0], err)
		}
	}
	t, err := s.Seat()
	if err != nil {
		return err
	}
	return t.Check()
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
