package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"bankledge/internal/adminclient"
	"bankledge/internal/configregister"
	"bankledge/internal/configversion"
	"bankledge/internal/controlapi"
	"bankledge/internal/controlclient"
	"bankledge/internal/controlserver"
	"bankledge/internal/rules"
)

// group is where the group is found.
type group struct {
	At     []string      `env:"BANKLEDGE_CONTROL" default:"127.0.0.1:7200" help:"Addresses of the group's processes for routers and operators."`
	Within time.Duration `default:"20s" help:"How long to try."`
}

func (g *group) client() *adminclient.Client { return adminclient.New(g.At, g.Within) }

type propose struct {
	group
	File  string   `arg:"" help:"Rules, Jsonnet or JSON."`
	Force []string `help:"Guards to take off, by name: all-engines, share-of-engines, kind, placement, nothing-in-between, floor."`
	Note  string   `help:"Why, for the log."`
	Wait  bool     `help:"Wait until it is in force everywhere."`
	JSON  bool     `help:"Write the outcome as JSON."`
}

// Run proposes a version.
func (p *propose) Run() error {
	r, err := fileRules(p.File)
	if err != nil {
		return err
	}
	return send(&p.group, configregister.Entry{Kind: configregister.EntryPropose, Rules: r.Canonical(), ForcedGuards: p.Force, Note: p.Note}, p.Wait, p.JSON)
}

type rollback struct {
	group
	Number uint64   `arg:"" help:"Version whose rules are proposed again."`
	Force  []string `help:"Guards to take off, by name."`
	Wait   bool     `help:"Wait until it is in force everywhere."`
	JSON   bool     `help:"Write the outcome as JSON."`
}

// Run proposes an earlier version's rules.
func (r *rollback) Run() error {
	return send(&r.group, configregister.Entry{Kind: configregister.EntryRollback, Number: r.Number, ForcedGuards: r.Force, Note: fmt.Sprintf("rollback to %d", r.Number)}, r.Wait, r.JSON)
}

// send sends a proposal under an id of its own: one that is sent again because no answer came counts once.
func send(g *group, e configregister.Entry, wait, asJSON bool) error {
	var id [16]byte
	rand.Read(id[:])
	e.ID = hex.EncodeToString(id[:])
	c := g.client()
	outcome, err := c.Propose(context.Background(), e)
	if err != nil {
		return err
	}
	began := time.Now()
	if wait {
		if err := c.AwaitActivated(context.Background(), outcome.Number); err != nil {
			return err
		}
	}
	switch {
	case asJSON:
		return json.NewEncoder(os.Stdout).Encode(outcome)
	case wait:
		fmt.Printf("version %d, in force everywhere after %v\n", outcome.Number, time.Since(began).Round(time.Millisecond))
	default:
		fmt.Printf("version %d\n", outcome.Number)
	}
	return nil
}

func fileRules(path string) (*rules.Rules, error) {
	var raw json.RawMessage
	if err := controlserver.EvaluateJsonnet(path, &raw); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	r, err := rules.Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

type diff struct {
	group
	A string `arg:"" help:"Version by number, or a file of rules."`
	B string `arg:"" help:"The same."`
}

// Run prints the fields that differ, and which way.
func (d *diff) Run() error {
	var sides [2]*rules.Rules
	for i, of := range []string{d.A, d.B} {
		var err error
		if n, bad := strconv.ParseUint(of, 10, 64); bad == nil {
			sides[i], err = d.client().VersionRules(context.Background(), n)
		} else {
			sides[i], err = fileRules(of)
		}
		if err != nil {
			return err
		}
	}
	lines := configversion.Diff(sides[0], sides[1])
	if len(lines) == 0 {
		lines = []string{"nothing differs"}
	}
	fmt.Println(strings.Join(lines, "\n"))
	return nil
}

type logCmd struct {
	group
	JSON bool `help:"Write the versions as JSON."`
}

// Run lists the versions that are kept.
func (l *logCmd) Run() error {
	list, err := l.client().Versions(context.Background())
	if err != nil {
		return err
	}
	if l.JSON {
		return json.NewEncoder(os.Stdout).Encode(list)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "lineage %s\nversion\tin force\thash\tforced\tnote\n", list.Lineage)
	for _, v := range list.Versions {
		fmt.Fprintf(w, "%d\t%v\t%s\t%s\t%s\n", v.Number, v.Number <= list.Activated, v.Hash[:12], strings.Join(v.ForcedGuards, ","), v.Note)
	}
	return nil
}

type status struct {
	group
	Watch bool `help:"Say it again each second."`
	JSON  bool `help:"Write it as JSON, a line each time."`
}

// Run says how the group is.
func (s *status) Run() error {
	for {
		said, err := s.client().Status(context.Background())
		if err != nil && !s.Watch {
			return err
		}
		switch {
		case err != nil:
			fmt.Fprintln(os.Stderr, "bankledge-control:", err)
		case s.JSON:
			if err := json.NewEncoder(os.Stdout).Encode(said); err != nil {
				return err
			}
		default:
			show(said)
		}
		if !s.Watch {
			return nil
		}
		time.Sleep(time.Second)
	}
}

func show(s *controlapi.Status) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer w.Flush()
	if !s.IsLeader {
		fmt.Fprintf(w, "NO LEADER: %s. Versions can't change; routers without a term go on, on the cautious side.\n", s.Error)
	}
	fmt.Fprintf(w, "lineage %s\tnewest version %d\tin force %d\tT %v\n", s.Lineage, s.NewestVersion, s.Activated, time.Duration(s.MaxContradictionMillis)*time.Millisecond)
	fmt.Fprintln(w, "process\tpeer\tclient\tvotes\tleads")
	for _, id := range slices.Sorted(maps.Keys(s.Members)) {
		m := s.Members[id]
		fmt.Fprintf(w, "%d\t%s\t%s\t%v\t%v\n", id, m.Peer, m.Client, m.Voter, s.IsLeader && id == s.Leader)
	}
	if !s.IsLeader {
		return
	}
	fmt.Fprintln(w, "router\tversion\tterm\theard ago\tlast word")
	for _, r := range s.Sessions {
		term := "none: it acts on the cautious side"
		if r.RemainingMillis > 0 {
			term = (time.Duration(r.RemainingMillis) * time.Millisecond).String()
		}
		word := r.LastMessage
		if r.DuplicateName {
			word = strings.TrimSpace("ANOTHER PROCESS HAS THIS NAME. " + word)
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%v\t%s\n", r.Name, r.KnownVersion, term, time.Duration(r.SilentMillis)*time.Millisecond, word)
	}
}

type members struct {
	List   membersList   `cmd:"" help:"List the processes of the group."`
	Add    membersAdd    `cmd:"" help:"Add a process: it listens first, and votes once it has caught up."`
	Remove membersRemove `cmd:"" help:"Remove a process."`
}

type membersList struct {
	group
	JSON bool `help:"Write them as JSON."`
}

// Run lists the processes.
func (m *membersList) Run() error {
	said, err := m.client().Status(context.Background())
	if err != nil {
		return err
	}
	if m.JSON {
		return json.NewEncoder(os.Stdout).Encode(said.Members)
	}
	said.Sessions = nil
	show(said)
	return nil
}

type membersAdd struct {
	group
	ID     uint64 `arg:"" help:"Its id: one that no process of this group has ever had."`
	Peer   string `arg:"" help:"Its address for the other processes."`
	Client string `arg:"" help:"Its address for routers and operators."`
}

// Run adds a process.
func (m *membersAdd) Run() error {
	return m.client().ChangeMembership(context.Background(), controlapi.MembershipChange{MemberID: m.ID, Member: controlapi.Member{Peer: m.Peer, Client: m.Client}})
}

type membersRemove struct {
	group
	ID uint64 `arg:"" help:"Its id."`
}

// Run removes a process.
func (m *membersRemove) Run() error {
	return m.client().ChangeMembership(context.Background(), controlapi.MembershipChange{MemberID: m.ID, Remove: true})
}

type router struct {
	Template string `arg:"" help:"The operator's file for routers, Jsonnet (deploy/control.jsonnet)."`
}

// Run writes the file that a router reads, so that the router need not evaluate templates.
func (r *router) Run() error {
	var file controlclient.Config
	if err := controlserver.EvaluateJsonnet(r.Template, &file); err != nil {
		return fmt.Errorf("%s: %w", r.Template, err)
	}
	if err := file.Validate(); err != nil {
		return fmt.Errorf("%s: %w", r.Template, err)
	}
	raw, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return err
	}
	if len(file.Addresses) == 0 {
		return errors.New("addresses: none")
	}
	fmt.Println(string(raw))
	return nil
}
