package faultlab

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"syscall"

	"bankledge/internal/adminclient"
	"bankledge/internal/configregister"
	"bankledge/internal/controlserver"
	"bankledge/internal/lease"
	"bankledge/internal/logevent"
	"bankledge/internal/rules"
)

// member is a process of the control group, with the links that lead to it: one from each other process, one from each router.
type member struct {
	f            *field
	n            int
	peer, client string // where it listens
	peers        []*Link
	routers      []*Link

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	starts int
	lost   bool
}

// nextPort is where freeAddress looks next: below the ports that the system gives to connections, which would take one in between.
var nextPort atomic.Int64

const firstPort, ports = 12000, 20000

// freeAddress is one on loopback that nobody listens on just now.
func freeAddress() (string, error) {
	nextPort.CompareAndSwap(0, int64(os.Getpid())*131)
	var err error
	for range 200 {
		var l net.Listener
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%ports)
		if l, err = net.Listen("tcp", address); err == nil {
			l.Close()
			return address, nil
		}
	}
	return "", err
}

// startGroup starts the processes of the control group.
func (f *field) startGroup(ctx context.Context) error {
	for i := range f.s.ControlMembers {
		m := &member{f: f, n: i}
		var err error
		if m.peer, err = freeAddress(); err != nil {
			return err
		}
		if m.client, err = freeAddress(); err != nil {
			return err
		}
		for j := range max(f.s.ControlMembers, f.s.Routers) {
			if j < f.s.ControlMembers {
				l, err := NewLink(m.peer)
				if err != nil {
					return err
				}
				m.peers = append(m.peers, l)
			}
			if j < f.s.Routers {
				l, err := NewLink(m.client)
				if err != nil {
					return err
				}
				m.routers = append(m.routers, l)
			}
		}
		f.members = append(f.members, m)
	}
	for _, m := range f.members {
		if err := m.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Spans of a play with a control group: shorter than usual, so that it takes seconds.
var GroupDurations = lease.Durations{LeaseDuration: time.Second, RenewInterval: 200 * time.Millisecond, ReplyTimeout: 200 * time.Millisecond, MaxClockDrift: 0.01, MaxBatch: 50 * time.Millisecond, MaxPause: 50 * time.Millisecond}

// start starts the process: it finds the others by links of its own.
func (m *member) start(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lost {
		return nil
	}
	members := map[string]controlserver.Member{}
	for _, o := range m.f.members {
		at := controlserver.Member{Peer: o.peer, Client: o.client}
		if o != m {
			at.Peer = o.peers[m.n].Address()
		}
		members[strconv.Itoa(o.n+1)] = at
	}
	s := GroupDurations
	file := filepath.Join(m.f.dir, fmt.Sprintf("member-%d.json", m.n))
	raw, err := json.Marshal(controlserver.Settings{ID: uint64(m.n + 1), DataDir: fmt.Sprintf("member-%d", m.n), Members: members, LeaseMillis: s.LeaseDuration.Milliseconds(), RenewIntervalMillis: s.RenewInterval.Milliseconds(),
		ReplyTimeoutMillis: s.ReplyTimeout.Milliseconds(), MaxBatchMillis: s.MaxBatch.Milliseconds(), MaxPauseMillis: s.MaxPause.Milliseconds(), MaxClockDrift: &s.MaxClockDrift, HeartbeatMillis: 50, ElectionTimeoutMillis: 400, MaxRemovedShare: 1, CompactionInterval: 50})
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	m.starts++
	log, err := os.Create(filepath.Join(m.f.dir, fmt.Sprintf("member-%d-%d.log", m.n, m.starts)))
	if err != nil {
		return err
	}
	cmd := exec.Command(m.f.o.ControlProgram, "serve", file)
	pipe, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended, serving := make(chan struct{}), make(chan struct{})
	m.cmd, m.ended = cmd, ended
	go func() {
		defer close(ended)
		defer log.Close()
		said := false
		for lines := bufio.NewScanner(pipe); lines.Scan(); {
			log.Write(append(lines.Bytes(), '\n'))
			var line struct{ Msg string }
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "serving" && !said {
				said = true
				close(serving)
			}
		}
		cmd.Wait()
	}()
	select {
	case <-serving:
		return nil
	case <-ended:
		return fmt.Errorf("process %d of the group does not start: see %s", m.n, log.Name())
	case <-time.After(readyIn):
		return fmt.Errorf("process %d of the group does not serve within %v", m.n, readyIn)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *member) signal(s syscall.Signal) error {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	if err := cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// kill kills the process, and waits until it has ended.
func (m *member) kill() error {
	err := m.signal(syscall.SIGKILL)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	<-ended
	return err
}

func (m *member) close() {
	if m.cmd != nil {
		m.kill()
	}
	for _, l := range append(append([]*Link{}, m.peers...), m.routers...) {
		l.Close()
	}
}

// leader is the place of the process that can prove that it leads; -1: none can just now.
func (f *field) leader() int {
	for _, m := range f.members {
		if s, err := adminclient.New([]string{m.client}, 300*time.Millisecond).Status(context.Background()); err == nil && s.IsLeader {
			return m.n
		}
	}
	return -1
}

// named are the members that a fault names.
func (f *field) named(x Fault) (list []*member) {
	for _, n := range x.Members {
		if n < 0 {
			if n = f.leader(); n < 0 {
				continue
			}
		}
		list = append(list, f.members[n])
	}
	return list
}

// beginGroup has a fault of the control group begin; what it returns ends it.
func (f *field) beginGroup(ctx context.Context, x Fault) (mend func() error, err error) {
	members := f.named(x)
	cut := Impairment{Blocked: true}
	ways := map[string][2]Impairment{"group-cut": {cut, cut}, "group-cut-there": {cut, {}}, "group-cut-back": {{}, cut}, "group-delay": {{}, {Delay: seconds(x.Amount)}}}
	links := func(do func(*Link)) {
		for _, m := range members {
			for _, r := range x.Routers {
				do(m.routers[r])
			}
		}
	}
	if w, ok := ways[x.Kind]; ok {
		links(func(l *Link) { l.Impair(w[0], w[1]) })
		return func() error { links(func(l *Link) { l.Impair(Impairment{}, Impairment{}) }); return nil }, nil
	}
	each := func(do func(*member) error) (err error) {
		for _, m := range members {
			err = errors.Join(err, do(m))
		}
		return err
	}
	apart := func(w Impairment) func() error {
		return func() error {
			for _, m := range members {
				for _, o := range f.members {
					if !slices.Contains(members, o) {
						m.peers[o.n].Impair(w, w)
						o.peers[m.n].Impair(w, w)
					}
				}
			}
			return nil
		}
	}
	switch x.Kind {
	case "group-reset":
		links((*Link).Reset)
	case "apart":
		return apart(Impairment{}), apart(cut)()
	case "member-kill":
		return func() error { return each(func(m *member) error { return m.start(ctx) }) }, each((*member).kill)
	case "member-lose":
		return nil, each(func(m *member) error { m.lost = true; return m.kill() })
	case "member-stop":
		return func() error { return each(func(m *member) error { return m.signal(syscall.SIGCONT) }) },
			each(func(m *member) error { return m.signal(syscall.SIGSTOP) })
	}
	return nil, nil
}

// ---- Operators ----

// groupRules are what operators begin with: looser than the routers' own.
func groupRules(f *field) *rules.Rules {
	r := &rules.Rules{Routers: f.s.Routers, PriorityWeights: map[string]float64{}, OverQuotaFactor: 1, RetryBudgetShare: 1, RetryBudgetFree: 10, HealthChecksPerStatement: 2, SlowStartShare: coldness.InitialShare,
		SlowStartMultiple: coldness.MaxLoadFactor, WarmAfterMillis: coldness.WarmUpTime.Milliseconds(), DrainGraceMillis: 1000}
	for _, w := range workloads {
		r.PriorityWeights[w.name] = w.importance
		r.SheddableWorkloads = append(r.SheddableWorkloads, w.name)
	}
	return r
}

// operate proposes versions until three quarters of the play are over: each tightens something, loosens something, or does both.
func (f *field) operate(ctx context.Context) error {
	if f.s.ControlMembers == 0 || f.s.VersionInterval == 0 {
		return nil
	}
	r, chance := groupRules(f), rand.New(rand.NewPCG(f.s.Seed, 31))
	var addresses []string
	for _, m := range f.members {
		addresses = append(addresses, m.client)
	}
	var sent sync.WaitGroup
	defer sent.Wait()
	for n, at := 0, 0.0; at < f.s.Seconds*3/4; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(f.began.Add(seconds(at)))):
		}
		at += f.s.VersionInterval * (0.5 + chance.Float64())
		if n > 0 {
			changeRules(r, chance, n)
		}
		if err := r.Validate(); err != nil {
			return err
		}
		e := configregister.Entry{Kind: configregister.EntryPropose, ID: fmt.Sprintf("p%d", n), Rules: r.Canonical(), ForcedGuards: []string{"floor"}}
		due := time.Since(f.began)
		send := func() {
			o, err := adminclient.New(addresses, 15*time.Second).Propose(context.WithoutCancel(ctx), e)
			if err == nil {
				f.note(Event{At: due, Kind: VersionProposed, Router: -1, Statement: e.ID, Version: o.Number})
				f.note(Event{Kind: VersionAcknowledged, Router: -1, Statement: e.ID, Version: o.Number})
			}
		}
		if n == 0 { // all that follow change it
			send()
		} else {
			sent.Go(send)
		}
	}
	return nil
}

func changeRules(r *rules.Rules, chance *rand.Rand, n int) {
	scale := []float64{0.8, 1.25}[chance.IntN(2)]
	switch chance.IntN(4) {
	case 0:
		r.SlowStartMultiple = min(8, max(2, r.SlowStartMultiple*scale))
	case 1:
		r.HealthChecksPerStatement = min(4, max(1, r.HealthChecksPerStatement*scale))
	case 2:
		r.RetryBudgetShare = min(2, max(0.5, r.RetryBudgetShare*scale))
		r.SlowStartShare = min(0.31, max(0.1, r.SlowStartShare/scale))
	case 3:
		r.PriorityWeights["lookup"] = min(3, max(0.5, r.PriorityWeights["lookup"]*scale))
	}
	r.RetryBudgetFree = 10 + float64(n%2) // never the same as the one before
}

// watch takes down, as it comes, what the group has written, for the auditors: the group itself keeps the last ones only.
func (f *field) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, m := range f.members {
			if list, err := adminclient.New([]string{m.client}, 200*time.Millisecond).Versions(context.WithoutCancel(ctx)); err == nil {
				f.mu.Lock()
				for _, v := range list.Versions {
					f.versions[v.Number] = v
				}
				f.mu.Unlock()
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// keepVersions takes down what the group has written by the end.
func (f *field) keepVersions(h *History) error {
	if f.s.ControlMembers == 0 {
		return nil
	}
	var addresses []string
	for _, m := range f.members {
		if !m.lost {
			addresses = append(addresses, m.client)
		}
	}
	// A process that lags knows less than the group: each is asked, until one has what the leader can prove to be the newest.
	newest := uint64(0)
	if s, err := adminclient.New(addresses, 5*time.Second).Status(context.Background()); err == nil && s.IsLeader {
		newest = s.NewestVersion
	}
	until := time.Now().Add(5 * time.Second)
	for have := uint64(0); have == 0 || have < newest && time.Now().Before(until); {
		for _, a := range addresses {
			list, err := adminclient.New([]string{a}, time.Second).Versions(context.Background())
			if err != nil {
				continue
			}
			f.mu.Lock()
			for _, v := range list.Versions {
				if old := f.versions[v.Number]; old != nil && old.Hash != v.Hash {
					f.mu.Unlock()
					return fmt.Errorf("two versions %d were seen", v.Number)
				}
				f.versions[v.Number] = v
				have = max(have, v.Number)
			}
			f.mu.Unlock()
		}
		if have == 0 && time.Now().After(until) {
			return errors.New("no process of the group tells its versions")
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range slices.Sorted(maps.Keys(f.versions)) {
		h.Versions = append(h.Versions, f.versions[n])
	}
	return nil
}

// acts notes what a router says that it acts on.
func (r *router) acts(line []byte) {
	var l struct {
		Msg       string
		TS        time.Time
		Leased    bool
		Activated uint64
		Pending   uint64
	}
	if json.Unmarshal(line, &l) != nil || l.Msg != logevent.ActiveRulesChanged {
		return
	}
	at := l.TS.Sub(r.f.began.Round(0)) // both by the machine's clock
	r.f.note(Event{At: max(at, 1), Kind: RulesApplied, Router: r.n, Leased: l.Leased, Activated: l.Activated, Version: l.Pending})
}

// DrawGroup makes a schedule of a control group's troubles from a seed: five routers, a group of three (one in four: of one or five), a
// version each so often, one to four faults, over by three quarters of the time.
func GenerateGroupSchedule(seed uint64, length float64) *Schedule {
	r := rand.New(rand.NewPCG(seed, 30))
	s := &Schedule{Name: fmt.Sprintf("group seed %d", seed), Seed: seed, Routers: 5, Engines: 2, Seconds: length, Load: 0.15, BusiestFactor: 1, ControlMembers: 3}
	if seed%4 == 0 {
		s.ControlMembers = []int{1, 5}[r.IntN(2)]
	}
	s.VersionInterval = []float64{0.05, 0.4, 1.2}[r.IntN(3)]
	kinds := []string{"group-cut", "group-cut-there", "group-cut-back", "group-delay", "group-reset", "apart", "member-kill", "member-stop", "member-stop", "kill", "stop", "stop"}
	for range 1 + r.IntN(4) {
		f := Fault{Kind: kinds[r.IntN(len(kinds))], At: (0.15 + 0.35*r.Float64()) * length, Amount: 0.05 + r.Float64()}
		k := faultKinds[f.Kind]
		if k.span {
			f.For = (0.03 + 0.22*r.Float64()) * length
		}
		if k.routers {
			f.Routers = some(r, s.Routers, 1+r.IntN(s.Routers-1))
		}
		if k.members {
			f.Members = some(r, s.ControlMembers, 1+r.IntN(max(1, s.ControlMembers-1)))
			if r.IntN(3) == 0 {
				f.Members = []int{-1}
			}
		}
		s.Faults = append(s.Faults, f)
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(1e6 * (a.At - b.At)) })
	return s
}
