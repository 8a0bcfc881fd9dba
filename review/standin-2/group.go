//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Figures of the case replaced-process.
const (
	groupSize = 3

	firstProposals = 2

	leaderWithin = 15 * time.Second
	catchUpTime  = 20 * time.Second // after the new process votes
	electionTime = 8 * time.Second  // after a process has ended
	answerWithin = 20 * time.Second // of a proposal; it takes milliseconds while a majority runs
)

func init() { cases["replaced-process"] = replacedProcessCase }

// controlGroup is a control group of separate processes with the durations of deploy/group.jsonnet.
type controlGroup struct {
	w         *world
	program   string
	members   map[int]member
	processes map[int]*process
	rules     int // number of proposals so far, which makes them differ
}

type member struct {
	Peer   string `json:"peer"`
	Client string `json:"client"`
}

// replacedProcessCase replaces a process of a group of three whose disk is lost, as docs/control.md says, and then ends another process. Two
// of three processes run, so the group has to go on accepting proposals.
func replacedProcessCase(w *world) (broken int, err error) {
	g := &controlGroup{w: w, program: filepath.Join(os.Getenv("ROOT"), "review/bin/control-2"), members: map[int]member{}, processes: map[int]*process{}}
	for id := 1; id <= groupSize; id++ {
		if g.members[id], err = freeMember(); err != nil {
			return 0, err
		}
	}
	for id := 1; id <= groupSize; id++ {
		if err := g.start(id, false); err != nil {
			return 0, err
		}
	}
	leader, err := g.awaitLeader()
	if err != nil {
		return 0, err
	}
	for range firstProposals {
		if !g.propose() {
			return 0, fmt.Errorf("the new group accepts no proposal")
		}
	}
	followers := g.others(leader)
	if w.trouble {
		if err := g.replace(followers[0], groupSize+1); err != nil {
			return 0, err
		}
		if !g.propose() {
			return 0, fmt.Errorf("the group accepts no proposal after the replacement")
		}
	}
	g.kill(followers[1])
	time.Sleep(electionTime)
	g.noteStatus()
	if !g.propose() {
		w.note("BREAK: two of three processes run, and a proposal has had no answer for %v", answerWithin)
		broken++
	}
	g.noteStatus()
	return broken, nil
}

// freeMember returns free addresses for a process.
func freeMember() (m member, err error) {
	for _, address := range []*string{&m.Peer, &m.Client} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return m, err
		}
		defer l.Close()
		*address = l.Addr().String()
	}
	return m, nil
}

func (g *controlGroup) dir(id int) string { return filepath.Join(g.w.dir, fmt.Sprintf("data-%d", id)) }

// start starts a process of the group; joins is set for one that was added to it.
func (g *controlGroup) start(id int, joins bool) error {
	members := map[string]member{}
	for other, m := range g.members {
		if other != id || !joins {
			members[fmt.Sprint(other)] = m
		}
	}
	settings := map[string]any{"id": id, "dir": g.dir(id), "members": members, "term_ms": 2000, "renew_ms": 400, "answer_ms": 400,
		"batch_ms": 50, "pause_ms": 50, "drift": 0.01, "most_gone": 0.34}
	if joins {
		settings["joins"] = true
		settings["peer"] = g.members[id].Peer
		settings["client"] = g.members[id].Client
	}
	raw, _ := json.MarshalIndent(settings, "", " ") // maps of plain values can be encoded
	file := filepath.Join(g.w.dir, fmt.Sprintf("group-%d.json", id))
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	p, err := g.w.start(fmt.Sprintf("control-%d", id), "exec "+g.program+" serve "+file)
	if err != nil {
		return err
	}
	g.processes[id] = p
	g.w.note("process %d started, peer %s, client %s, joins: %v", id, g.members[id].Peer, g.members[id].Client, joins)
	return nil
}

func (g *controlGroup) kill(id int) {
	g.processes[id].signal(syscall.SIGKILL)
	<-g.processes[id].ended
	delete(g.processes, id)
	g.w.note("process %d killed", id)
}

// replace follows docs/control.md for a process whose disk is lost.
func (g *controlGroup) replace(lost, added int) error {
	g.kill(lost)
	if err := os.RemoveAll(g.dir(lost)); err != nil {
		return err
	}
	g.w.note("the data of process %d are lost", lost)
	if !g.command("members", "remove", fmt.Sprint(lost)) {
		return fmt.Errorf("process %d could not be removed", lost)
	}
	delete(g.members, lost)
	m, err := freeMember()
	if err != nil {
		return err
	}
	g.members[added] = m
	if !g.command("members", "add", fmt.Sprint(added), m.Peer, m.Client) {
		return fmt.Errorf("process %d could not be added", added)
	}
	if err := g.start(added, true); err != nil {
		return err
	}
	for until := time.Now().Add(leaderWithin); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if leader, s := g.leader(); leader != 0 && s.Members[fmt.Sprint(added)].Votes {
			g.w.note("process %d votes, says the leader", added)
			time.Sleep(catchUpTime)
			g.noteStatus()
			return nil
		}
	}
	return fmt.Errorf("process %d was not made a voter", added)
}

// groupStatus is what a process says of the group.
type groupStatus struct {
	Leads   bool   `json:"leads"`
	Newest  uint64 `json:"newest"`
	Lineage string `json:"lineage"`
	Error   string `json:"error"`
	Members map[string]struct {
		Votes bool `json:"votes"`
	} `json:"members"`
}

func (g *controlGroup) status(id int) (s groupStatus, err error) {
	client := http.Client{Timeout: 3 * time.Second}
	response, err := client.Get("http://" + g.members[id].Client + "/v1/status")
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

func (g *controlGroup) noteStatus() {
	for id := range g.processes {
		s, err := g.status(id)
		g.w.note("status of process %d: leads %v, newest version %d, lineage %q, members %v, %s, %v",
			id, s.Leads, s.Newest, s.Lineage, s.Members, s.Error, err)
	}
}

// leader returns the process that proves that it leads, or 0.
func (g *controlGroup) leader() (int, groupStatus) {
	for id := range g.processes {
		if s, err := g.status(id); err == nil && s.Leads {
			return id, s
		}
	}
	return 0, groupStatus{}
}

func (g *controlGroup) awaitLeader() (int, error) {
	for until := time.Now().Add(leaderWithin); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if id, _ := g.leader(); id != 0 {
			g.w.note("process %d leads", id)
			return id, nil
		}
	}
	return 0, fmt.Errorf("the group has no leader")
}

// others returns the running processes but one.
func (g *controlGroup) others(not int) (ids []int) {
	for id := range g.processes {
		if id != not {
			ids = append(ids, id)
		}
	}
	return ids
}

// propose proposes the rules of deploy/rules.jsonnet with another number of probes each time.
func (g *controlGroup) propose() bool {
	g.rules++
	file := filepath.Join(g.w.dir, "rules.jsonnet")
	text := fmt.Sprintf("(import '%s') + {over_importance: 0.1 + %d / 100}", filepath.Join(os.Getenv("ROOT"), "deploy/rules.jsonnet"), g.rules)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		g.w.note("%v", err)
		return false
	}
	return g.command("propose", file, "--force", "floor")
}

// command runs an operator's command and reports whether it succeeded.
func (g *controlGroup) command(arguments ...string) bool {
	var addresses []string
	for id := range g.processes {
		addresses = append(addresses, g.members[id].Client)
	}
	cmd := exec.Command(g.program, append(arguments, "--within", answerWithin.String())...)
	cmd.Env = append(os.Environ(), "BANKLEDGE_CONTROL="+strings.Join(addresses, ","))
	out, err := cmd.CombinedOutput()
	g.w.note("operator: %s: %s %v", strings.Join(arguments, " "), strings.TrimSpace(string(out)), err)
	return err == nil
}
