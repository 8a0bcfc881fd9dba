//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["quorum"] = quorumCase }

// quorumCase: the two processes of a group of three that follow are killed, and one of them is restarted. Two of three run then.
func quorumCase(p *platform) string {
	const down, patience = 5 * time.Second, 30 * time.Second
	r := p.startReplicas()
	await("leader", 20*time.Second, func() bool { return r.leader() >= 0 })
	r.operator("check", r.settings[0])
	must(r.operator("propose", "deploy/rules.jsonnet", "--wait"))
	leader := r.leader()
	require(leader >= 0, "the leader is lost")
	p.line("process %d leads", leader+1)
	back := (leader + 1) % 3
	if trouble {
		for i := range 3 {
			if i != leader {
				r.running[i].signal(syscall.SIGKILL)
				<-r.running[i].done
				p.line("control %d is killed", i+1)
			}
		}
		time.Sleep(down)
		r.operator("status", "--within", "2s")
		r.startOne(back)
	}
	since := time.Now()
	for r.leader() < 0 && time.Since(since) < patience {
		time.Sleep(200 * time.Millisecond)
	}
	found := r.leader()
	p.line("%v after two of three processes run: process that leads: %d (0: none)", time.Since(since).Round(100*time.Millisecond), found+1)
	r.operator("status", "--within", "2s")
	raw, err := os.ReadFile("deploy/rules.jsonnet")
	must(err)
	changed := filepath.Join(p.dir, "changed.jsonnet")
	must(os.WriteFile(changed, []byte(strings.Replace(string(raw), "further_free: 10,", "further_free: 11,", 1)), 0o644))
	err = r.operator("propose", changed, "--wait")
	require(!r.running[leader].exited() && (!trouble || !r.running[back].exited()), "a process has ended")
	if found < 0 && err != nil {
		return fmt.Sprintf("two of three processes have run for %v, and none leads: no version can be proposed", time.Since(since).Round(time.Second))
	}
	require(err == nil, "there is a leader, and the proposal failed")
	return ""
}
