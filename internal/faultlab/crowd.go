package faultlab

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bankledge/internal/adminclient"
	"bankledge/internal/configregister"
	"bankledge/internal/configversion"
	"bankledge/internal/controlclient"
	"bankledge/internal/lease"
)

// Crowd is a measurement of the control service: a group of real processes, and router sides that are as the router's, with its link, many
// to a process.
type ControlBenchmark struct {
	Program         string // program
	Members         int
	Routers         int
	Seconds         float64 // of each part
	VersionInterval time.Duration
	Dir             string
}

// CrowdFigures is what came of it.
type ControlMetrics struct {
	Routers            int           `json:"routers"`
	Versions           int           `json:"versions"`
	CommitP50          time.Duration `json:"written_p50_ns"` // from propose to its number
	CommitP99          time.Duration `json:"written_p99_ns"`
	ApplyP50           time.Duration `json:"acts_p50_ns"` // from propose until a router acts on it in force, each router
	ApplyP99           time.Duration `json:"acts_p99_ns"`
	ConvergeP50        time.Duration `json:"all_p50_ns"` // until the last router does
	ConvergeP99        time.Duration `json:"all_p99_ns"`
	IdleCPU            float64       `json:"idle_cpu"` // seconds a second, of the leader
	BusyCPU            float64       `json:"busy_cpu"` // with a version each so often
	ResidentMB         float64       `json:"resident_mb"`
	IdleBytes          float64       `json:"idle_bytes"` // a second and router, both ways
	BusyBytes          float64       `json:"busy_bytes"`
	Outage             time.Duration `json:"outage_ns"` // of proposals, when the leader is killed
	RecoveryTime       time.Duration `json:"back_ns"`   // until all have a term again, when all processes are started anew
	LeasedDuringOutage float64       `json:"terms_meanwhile"`
}

// crowdRouter is one router's side.
type crowdRouter struct {
	mu     sync.Mutex
	core   *lease.Client
	link   *controlclient.Transport
	ground lease.ActiveConfiguration
	acts   map[uint64]time.Time // since when it acts on a version in force
	origin time.Time
	wake   chan struct{}
}

func (r *crowdRouter) post(ev lease.ClientEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.core.Step(time.Since(r.origin), ev) {
		if u, is := a.(lease.ApplyRules); is {
			if r.ground = u.Configuration; u.Configuration.Leased && u.Configuration.Pending == 0 {
				r.acts[u.Configuration.Activated] = time.Now()
			}
			continue
		}
		r.link.Execute(a)
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *crowdRouter) run(ctx context.Context) error {
	for ctx.Err() == nil {
		r.post(lease.ClientTick{})
		r.mu.Lock()
		rest := r.core.NextDeadline() - time.Since(r.origin)
		r.mu.Unlock()
		select {
		case <-r.wake:
		default:
		}
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-time.After(max(rest, time.Millisecond)):
		}
	}
	return nil
}

// Run measures.
func (c ControlBenchmark) Run(ctx context.Context) (f ControlMetrics, err error) {
	f.Routers = c.Routers
	fld := &field{s: &Schedule{Routers: 1, ControlMembers: c.Members}, o: Options{ControlProgram: c.Program}, dir: c.Dir, versions: map[uint64]*configversion.Version{}, began: time.Now()}
	defer fld.close()
	if err := fld.startGroup(ctx); err != nil {
		return f, err
	}
	var addresses []string
	for _, m := range fld.members {
		addresses = append(addresses, m.client)
	}
	ctx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	defer g.Wait()
	defer cancel()
	own := groupOwn(&Schedule{Routers: c.Routers})
	var all []*crowdRouter
	for i := range c.Routers {
		r := &crowdRouter{acts: map[uint64]time.Time{}, origin: time.Now().Add(-time.Hour), wake: make(chan struct{}, 1)}
		r.core = lease.NewClient(lease.ClientSettings{Durations: GroupDurations, Name: fmt.Sprint("r", i), Incarnation: fmt.Sprint("x", i), LocalRules: own, Guards: configversion.Guards{MaxRemovedShare: 1}, AddressCount: len(addresses), Seed: uint64(i)})
		r.link = controlclient.NewTransport(addresses, GroupDurations, r.post, zap.NewNop())
		all = append(all, r)
		g.Go(func() error {
			defer r.link.Close()
			return r.link.Run(ctx)
		})
		g.Go(func() error { return r.run(ctx) })
	}
	client := adminclient.New(addresses, 20*time.Second)
	next := 0
	propose := func() (uint64, time.Duration, error) {
		next++
		r := groupRules(&field{s: &Schedule{Routers: c.Routers}})
		r.RetryBudgetFree, r.SlowStartMultiple = 10+float64(next%2), 3+float64(next%3) // up and down
		if err := r.Validate(); err != nil {
			return 0, 0, err
		}
		began := time.Now()
		o, err := client.Propose(context.WithoutCancel(ctx), configregister.Entry{Kind: configregister.EntryPropose, ID: fmt.Sprint("c", next), Rules: r.Canonical(), ForcedGuards: []string{configversion.GuardFloor}})
		return o.Number, time.Since(began), err
	}
	if _, _, err := propose(); err != nil {
		return f, err
	}
	if err := await(ctx, 30*time.Second, func() bool { return withTerm(all) == len(all) }); err != nil {
		return f, fmt.Errorf("not all routers get a term: %d do", withTerm(all))
	}
	lead := fld.leader()
	cpu, wire := usage(fld.members[lead]), bytesOf(fld.members)
	wait(ctx, seconds(c.Seconds))
	f.IdleCPU, f.IdleBytes = (usage(fld.members[lead])-cpu)/c.Seconds, (bytesOf(fld.members)-wire)/c.Seconds/float64(c.Routers)
	written, acts, last := hdrhistogram.New(1, int64(time.Minute), 3), hdrhistogram.New(1, int64(time.Minute), 3), hdrhistogram.New(1, int64(time.Minute), 3)
	cpu, wire = usage(fld.members[lead]), bytesOf(fld.members)
	began := time.Now()
	for time.Since(began) < seconds(c.Seconds) {
		at := time.Now()
		n, took, err := propose()
		if err != nil {
			return f, err
		}
		written.RecordValue(int64(took))
		if err := await(ctx, 10*time.Second, func() bool { return actOn(all, n) == len(all) }); err != nil {
			return f, fmt.Errorf("version %d: %d of %d act on it", n, actOn(all, n), len(all))
		}
		latest := time.Duration(0)
		for _, r := range all {
			r.mu.Lock()
			took := r.acts[n].Sub(at)
			r.mu.Unlock()
			latest = max(latest, took)
			acts.RecordValue(int64(took))
		}
		last.RecordValue(int64(latest))
		f.Versions++
		wait(ctx, c.VersionInterval-time.Since(at))
	}
	passed := time.Since(began).Seconds()
	f.BusyCPU, f.BusyBytes = (usage(fld.members[lead])-cpu)/passed, (bytesOf(fld.members)-wire)/passed/float64(c.Routers)
	f.ResidentMB = resident(fld.members[lead])
	for _, x := range []struct {
		of       *hdrhistogram.Histogram
		p50, p99 *time.Duration
	}{{written, &f.CommitP50, &f.CommitP99}, {acts, &f.ApplyP50, &f.ApplyP99}, {last, &f.ConvergeP50, &f.ConvergeP99}} {
		*x.p50, *x.p99 = time.Duration(x.of.ValueAtQuantile(50)), time.Duration(x.of.ValueAtQuantile(99))
	}
	if c.Members >= 3 { // an outage of proposals
		lead = fld.leader()
		began := time.Now()
		if err := fld.members[lead].kill(); err != nil {
			return f, err
		}
		if _, _, err := propose(); err != nil {
			return f, err
		}
		f.Outage = time.Since(began)
		f.LeasedDuringOutage = float64(withTerm(all)) / float64(len(all))
		if err := fld.members[lead].start(ctx); err != nil {
			return f, err
		}
	}
	for _, m := range fld.members { // all at once, and all routers come back
		if err := m.kill(); err != nil {
			return f, err
		}
	}
	if err := await(ctx, 20*time.Second, func() bool { return withTerm(all) == 0 }); err != nil {
		return f, err
	}
	began = time.Now()
	for _, m := range fld.members {
		if err := m.start(ctx); err != nil {
			return f, err
		}
	}
	if err := await(ctx, 30*time.Second, func() bool { return withTerm(all) == len(all) }); err != nil {
		return f, fmt.Errorf("after a restart of all: %d of %d routers have a term", withTerm(all), len(all))
	}
	f.RecoveryTime = time.Since(began)
	return f, nil
}

func withTerm(all []*crowdRouter) (n int) {
	for _, r := range all {
		r.mu.Lock()
		if r.ground.Leased {
			n++
		}
		r.mu.Unlock()
	}
	return n
}

func actOn(all []*crowdRouter, version uint64) (n int) {
	for _, r := range all {
		r.mu.Lock()
		if !r.acts[version].IsZero() {
			n++
		}
		r.mu.Unlock()
	}
	return n
}

// await waits until something has happened.
func await(ctx context.Context, most time.Duration, what func() bool) error {
	for until := time.Now().Add(most); !what(); {
		if time.Now().After(until) || ctx.Err() != nil {
			return fmt.Errorf("not within %v", most)
		}
		wait(ctx, 2*time.Millisecond)
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// usage is the processor time that a process has taken, in seconds, by the system's own accounting.
func usage(m *member) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.pid()))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100
}

func resident(m *member) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.pid()))
	if fields := strings.Fields(string(raw)); err == nil && len(fields) > 1 {
		pages, _ := strconv.ParseFloat(fields[1], 64)
		return pages * float64(os.Getpagesize()) / (1 << 20)
	}
	return 0
}

func (m *member) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

// bytesOf is what all processes have read and written by calls, which is what passed their sockets and a little of their disks.
func bytesOf(members []*member) (total float64) {
	for _, m := range members {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", m.pid()))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(raw), "\n") {
			if name, value, _ := strings.Cut(line, ": "); slices.Contains([]string{"rchar", "wchar"}, name) {
				n, _ := strconv.ParseFloat(value, 64)
				total += n
			}
		}
	}
	return total
}
