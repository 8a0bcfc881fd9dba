package faultlab

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"bankledge/internal/adminclient"
)

// Time limits of the parts of a benchmark.
const (
	benchmarkProposalTimeout = 20 * time.Second
	leaseAllTimeout          = 30 * time.Second
	applyTimeout             = 10 * time.Second
	leaseExpiryTimeout       = 20 * time.Second
	minMembersForFailover    = 3
)

// ControlBenchmark measures the control service. The group consists of real processes; many control clients of routers run in this process,
// with the router's own code.
type ControlBenchmark struct {
	Program         string // path of the built control service
	Members         int
	Routers         int
	Seconds         float64 // duration of each part
	VersionInterval time.Duration
	Dir             string
}

// ControlMetrics are the results of a benchmark of the control service.
type ControlMetrics struct {
	Routers            int           `json:"routers"`
	Versions           int           `json:"versions"`
	CommitP50          time.Duration `json:"written_p50_ns"` // from the proposal to its acknowledgement
	CommitP99          time.Duration `json:"written_p99_ns"`
	ApplyP50           time.Duration `json:"acts_p50_ns"` // from the proposal until a router has activated it, over all routers
	ApplyP99           time.Duration `json:"acts_p99_ns"`
	ConvergeP50        time.Duration `json:"all_p50_ns"` // from the proposal until the last router has activated it
	ConvergeP99        time.Duration `json:"all_p99_ns"`
	IdleCPU            float64       `json:"idle_cpu"` // processor seconds of the leader per second
	BusyCPU            float64       `json:"busy_cpu"` // while versions are proposed
	ResidentMB         float64       `json:"resident_mb"`
	IdleBytes          float64       `json:"idle_bytes"` // per second and router, read and written
	BusyBytes          float64       `json:"busy_bytes"`
	Outage             time.Duration `json:"outage_ns"`       // time until a proposal succeeds after the leader is killed
	RecoveryTime       time.Duration `json:"back_ns"`         // time until all routers have a lease again after a restart of all members
	LeasedDuringOutage float64       `json:"terms_meanwhile"` // share of routers with a lease at the end of the outage
}

// benchmarkRun is the state of one run of a benchmark.
type benchmarkRun struct {
	ControlBenchmark
	fleet     *fleet
	routers   []*benchmarkRouter
	client    *adminclient.Client
	leader    *member // at the start of the benchmark
	proposals int
	metrics   ControlMetrics
}

// Run runs the benchmark once. It fails if a process does not start, or if routers do not get a lease or a version in time.
func (b ControlBenchmark) Run(ctx context.Context) (ControlMetrics, error) {
	scenario := &Scenario{Routers: 1, ControlMembers: b.Members}
	run := &benchmarkRun{ControlBenchmark: b, fleet: newFleet(scenario, Options{ControlProgram: b.Program}, b.Dir)}
	run.metrics.Routers = b.Routers
	defer run.fleet.close()
	if err := run.fleet.startGroup(ctx); err != nil {
		return run.metrics, err
	}
	run.client = adminclient.New(run.fleet.memberAddresses(), benchmarkProposalTimeout)
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	defer group.Wait()
	defer cancel()
	run.startRouters(ctx, &group)
	for _, measure := range []func(context.Context) error{
		run.leaseAll,
		run.measureIdle,
		run.measureVersions,
		run.measureFailover,
		run.measureRestart,
	} {
		if err := measure(ctx); err != nil {
			return run.metrics, err
		}
	}
	return run.metrics, nil
}

func (run *benchmarkRun) startRouters(ctx context.Context, group *errgroup.Group) {
	local := localRules(run.Routers)
	addresses := run.fleet.memberAddresses()
	for i := range run.Routers {
		r := newBenchmarkRouter(i, local, addresses)
		run.routers = append(run.routers, r)
		group.Go(func() error {
			defer r.transport.Close()
			return r.transport.Run(ctx)
		})
		group.Go(func() error {
			r.run(ctx)
			return nil
		})
	}
}

// propose proposes rules that are alternately tighter and looser than the previous ones. It returns the version's number and how long the
// proposal took.
func (run *benchmarkRun) propose(ctx context.Context) (number uint64, took time.Duration, err error) {
	run.proposals++
	r := initialRules(run.Routers)
	r.RetryBudgetFree = 10 + float64(run.proposals%2)
	r.SlowStartMultiple = 3 + float64(run.proposals%3)
	if err := r.Validate(); err != nil {
		return 0, 0, err
	}
	began := time.Now()
	outcome, err := run.client.Propose(context.WithoutCancel(ctx), proposal(fmt.Sprint("c", run.proposals), r))
	return outcome.Number, time.Since(began), err
}

// leaseAll proposes the first version and waits until all routers have a lease.
func (run *benchmarkRun) leaseAll(ctx context.Context) error {
	if _, _, err := run.propose(ctx); err != nil {
		return err
	}
	if err := waitFor(ctx, leaseAllTimeout, run.allLeased); err != nil {
		return fmt.Errorf("only %d routers have a lease", run.leased())
	}
	run.leader = run.fleet.members[run.fleet.leader()]
	return nil
}

func (run *benchmarkRun) measureIdle(ctx context.Context) error {
	usage := run.startUsage()
	sleep(ctx, seconds(run.Seconds))
	run.metrics.IdleCPU, run.metrics.IdleBytes = usage.rates(run.Seconds, run.Routers)
	return nil
}

// measureVersions proposes versions, each after all routers have activated the previous one.
func (run *benchmarkRun) measureVersions(ctx context.Context) error {
	commit, apply, converge := newDurationHistogram(), newDurationHistogram(), newDurationHistogram()
	usage := run.startUsage()
	began := time.Now()
	for time.Since(began) < seconds(run.Seconds) {
		proposedAt := time.Now()
		number, took, err := run.propose(ctx)
		if err != nil {
			return err
		}
		commit.RecordValue(int64(took))
		allApplied := func() bool { return run.applied(number) == len(run.routers) }
		if err := waitFor(ctx, applyTimeout, allApplied); err != nil {
			return fmt.Errorf("version %d: only %d of %d routers have activated it", number, run.applied(number), len(run.routers))
		}
		latest := time.Duration(0)
		for _, r := range run.routers {
			took := r.appliedAt(number).Sub(proposedAt)
			latest = max(latest, took)
			apply.RecordValue(int64(took))
		}
		converge.RecordValue(int64(latest))
		run.metrics.Versions++
		sleep(ctx, run.VersionInterval-time.Since(proposedAt))
	}
	m := &run.metrics
	m.BusyCPU, m.BusyBytes = usage.rates(time.Since(began).Seconds(), run.Routers)
	m.ResidentMB = usage.leader.residentMB()
	m.CommitP50, m.CommitP99 = quantiles(commit)
	m.ApplyP50, m.ApplyP99 = quantiles(apply)
	m.ConvergeP50, m.ConvergeP99 = quantiles(converge)
	return nil
}

// measureFailover kills the leader, measures how long no proposal succeeds, and restarts the member.
func (run *benchmarkRun) measureFailover(ctx context.Context) error {
	if run.Members < minMembersForFailover {
		return nil
	}
	leader := run.fleet.members[run.fleet.leader()]
	began := time.Now()
	if err := leader.kill(); err != nil {
		return err
	}
	if _, _, err := run.propose(ctx); err != nil {
		return err
	}
	run.metrics.Outage = time.Since(began)
	run.metrics.LeasedDuringOutage = float64(run.leased()) / float64(len(run.routers))
	return leader.start(ctx)
}

// measureRestart kills all members, waits until all leases have expired, and measures the time from the restart until all routers have a
// lease again.
func (run *benchmarkRun) measureRestart(ctx context.Context) error {
	for _, m := range run.fleet.members {
		if err := m.kill(); err != nil {
			return err
		}
	}
	noneLeased := func() bool { return run.leased() == 0 }
	if err := waitFor(ctx, leaseExpiryTimeout, noneLeased); err != nil {
		return err
	}
	began := time.Now()
	for _, m := range run.fleet.members {
		if err := m.start(ctx); err != nil {
			return err
		}
	}
	if err := waitFor(ctx, leaseAllTimeout, run.allLeased); err != nil {
		return fmt.Errorf("after a restart of all members: only %d of %d routers have a lease", run.leased(), len(run.routers))
	}
	run.metrics.RecoveryTime = time.Since(began)
	return nil
}

// leased counts the routers with a lease.
func (run *benchmarkRun) leased() (n int) {
	for _, r := range run.routers {
		if r.isLeased() {
			n++
		}
	}
	return n
}

func (run *benchmarkRun) allLeased() bool { return run.leased() == len(run.routers) }

// applied counts the routers that have activated a version.
func (run *benchmarkRun) applied(version uint64) (n int) {
	for _, r := range run.routers {
		if !r.appliedAt(version).IsZero() {
			n++
		}
	}
	return n
}

// newDurationHistogram returns a histogram of nanoseconds up to one minute.
func newDurationHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute), 3)
}

func quantiles(h *hdrhistogram.Histogram) (p50, p99 time.Duration) {
	return time.Duration(h.ValueAtQuantile(50)), time.Duration(h.ValueAtQuantile(99))
}

// waitPollInterval is the time between two checks of waitFor.
const waitPollInterval = 2 * time.Millisecond

// waitFor waits until a condition holds. It fails after the limit or when the context is done.
func waitFor(ctx context.Context, limit time.Duration, condition func() bool) error {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("condition not met within %v", limit)
		}
		sleep(ctx, waitPollInterval)
	}
	return nil
}

// sleep waits for a duration, or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
