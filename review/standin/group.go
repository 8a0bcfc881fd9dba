//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const controlProgram = "review/bin/bankledge-control"

// replicas is a control group of three processes.
type replicas struct {
	*platform
	clients  []string // addresses for routers and operators, by id - 1
	settings []string
	running  []*process
}

func (p *platform) startReplicas() *replicas {
	r := &replicas{platform: p, running: make([]*process, 3)}
	members := map[string]any{}
	for i := range 3 {
		r.clients = append(r.clients, freeAddress())
		members[fmt.Sprint(i+1)] = map[string]any{"peer": freeAddress(), "client": r.clients[i]}
	}
	for i := range 3 { // as deploy/group.jsonnet
		raw, _ := json.Marshal(map[string]any{"id": i + 1, "dir": filepath.Join(p.dir, fmt.Sprintf("control-%d", i+1)), "members": members,
			"term_ms": 2000, "renew_ms": 400, "answer_ms": 400, "batch_ms": 50, "pause_ms": 50, "drift": 0.01, "most_gone": 0.34})
		r.settings = append(r.settings, filepath.Join(p.dir, fmt.Sprintf("group-%d.json", i+1)))
		must(os.WriteFile(r.settings[i], raw, 0o644))
		r.startOne(i)
	}
	return r
}

func (r *replicas) startOne(i int) {
	r.running[i] = r.start(fmt.Sprintf("control %d", i+1), "exec "+controlProgram+" serve "+r.settings[i])
}

// operator runs a command of the control service as an operator does.
func (r *replicas) operator(args ...string) error {
	command := exec.Command(controlProgram, args...)
	command.Env = append(os.Environ(), "BANKLEDGE_CONTROL="+strings.Join(r.clients, ","))
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := command.CombinedOutput()
	r.line("operator: %s", strings.Join(args, " "))
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		r.line("    %s", line)
	}
	return err
}

// leader returns the process that proves to lead, or -1.
func (r *replicas) leader() int {
	for i, address := range r.clients {
		caller := http.Client{Timeout: 3 * time.Second}
		response, err := caller.Get("http://" + address + "/v1/status")
		if err != nil {
			continue
		}
		var s groupStatus
		err = json.NewDecoder(response.Body).Decode(&s)
		response.Body.Close()
		if err == nil && s.Leads {
			return i
		}
	}
	return -1
}

// groupStatus is the state of the control group as its process tells operators.
type groupStatus struct {
	Leads    bool             `json:"leads"`
	Newest   uint64           `json:"newest"`
	Settled  uint64           `json:"settled"`
	TMillis  int64            `json:"t_ms"`
	Sessions []map[string]any `json:"sessions"`
}

// knows reports whether a router holds a lease and knows a version.
func (s groupStatus) knows(router string, version uint64) bool {
	for _, session := range s.Sessions {
		known, _ := session["known"].(float64)
		left, _ := session["left"].(float64)
		if session["name"] == router && uint64(known) >= version && left > 0 {
			return true
		}
	}
	return false
}

// group is a control group of one process. Its leases last for a second, as in the project's own measurements.
type group struct {
	*platform
	client string
	rules  int
}

func (p *platform) startGroup() *group {
	g := &group{platform: p, client: freeAddress()}
	raw, _ := json.Marshal(map[string]any{"id": 1, "dir": filepath.Join(p.dir, "control"), "term_ms": 1000, "renew_ms": 200, "answer_ms": 200,
		"members": map[string]any{"1": map[string]any{"peer": freeAddress(), "client": g.client}}})
	path := filepath.Join(p.dir, "group.json")
	must(os.WriteFile(path, raw, 0o644))
	p.start("control", "exec "+controlProgram+" serve "+path)
	await("leader", 20*time.Second, func() bool { s, err := g.status(); return err == nil && s.Leads })
	return g
}

func (g *group) status() (s groupStatus, err error) {
	caller := http.Client{Timeout: 3 * time.Second}
	response, err := caller.Get("http://" + g.client + "/v1/status")
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	return s, json.Unmarshal(raw, &s)
}

// propose has the operator propose rules that allow this many further executions.
func (g *group) propose(further int) {
	rules := map[string]any{"routers": 2, "importance": map[string]any{"lookup": 1, "report": 7.5, "price-load": 10}, "over_importance": 1,
		"further_share": 0, "further_free": further, "further_window": 10000, "probes": 2, "cold_share": 0.31, "cold_multiple": 4,
		"warm_after": 15000, "drain_grace": 1000, "key_rest": 0, "may_turn_away": []string{"lookup", "report", "price-load"}, "engines": nil}
	raw, _ := json.Marshal(rules)
	g.rules++
	path := filepath.Join(g.dir, fmt.Sprintf("rules%d.json", g.rules))
	must(os.WriteFile(path, raw, 0o644))
	command := exec.Command(controlProgram, "propose", path, "--wait")
	command.Env = append(os.Environ(), "BANKLEDGE_CONTROL="+g.client)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := command.CombinedOutput()
	g.line("operator: propose further_free %d: %s", further, strings.TrimSpace(string(out)))
	must(err)
}
