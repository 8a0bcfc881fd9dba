// Package simulation runs the state machines of the control group (replica) and of the routers (lease.Client) under one simulated
// clock, on simulated disks and a simulated network, with random faults generated from a seed. An auditor observes all of them and checks
// the guarantees of the design. The same seed always gives the same history.
package simulation

import (
	"fmt"
	"hash"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"

	"bankledge/internal/lease"
	"bankledge/internal/timerqueue"
)

const (
	// auditInterval is the time between two lease checks of the routers. After each check the auditor compares the routers.
	auditInterval = 10 * time.Millisecond
	// clockDrift is the fraction by which clocks run fast or slow.
	clockDrift = 0.05
	// firstRouterID is the host id of the first router; the ids of the processes start at 0.
	firstRouterID = 1000

	maxProcessStartDelay = 100 * time.Millisecond
	maxRouterStartDelay  = 500 * time.Millisecond
)

// Options configure one simulation.
type Options struct {
	Seed           uint64
	Routers        int
	Processes      int           // of the control group
	SimulatedTime  time.Duration // length of the simulation
	LeaseDurations lease.Durations
	PlainPush      bool // baseline: routers apply each version on arrival, without leases
	NoFaults       bool
}

// OptionsForSeed returns options with a group of one, three or five processes, and clocks that drift.
func OptionsForSeed(seed uint64, routers int) Options {
	durations := lease.DefaultDurations()
	durations.MaxClockDrift = clockDrift
	return Options{
		Seed:           seed,
		Routers:        routers,
		Processes:      []int{1, 3, 5}[seed%3],
		SimulatedTime:  16 * time.Second,
		LeaseDurations: durations,
	}
}

// simulation is the state of one run.
type simulation struct {
	Options
	now          time.Duration // simulated time
	timers       timerqueue.Queue
	random       *rand.Rand
	network      network
	processes    []*processHost
	routers      []*routerHost
	auditor      *auditor
	lastEngineID int       // last id used in an engine address
	trace        io.Writer // receives the history as text; nil for none
	digest       hash.Hash64
}

// Run runs one simulation and returns what the auditor found. The history is written to trace unless that is nil.
func Run(options Options, trace io.Writer) Result {
	s := newSimulation(options, trace)
	for _, process := range s.processes {
		s.at(s.uniform(0, maxProcessStartDelay), process.start)
	}
	for _, router := range s.routers {
		s.at(s.uniform(0, maxRouterStartDelay), router.start)
	}
	s.scheduleProposals()
	if !options.NoFaults {
		s.scheduleFaults()
	}
	s.at(auditInterval, s.audit)
	s.runTimers()
	return s.auditor.result(s)
}

func newSimulation(options Options, trace io.Writer) *simulation {
	s := &simulation{
		Options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 29)),
		network: newNetwork(),
		auditor: newAuditor(),
		trace:   trace,
		digest:  fnv.New64a(),
	}
	for id := range options.Processes {
		s.processes = append(s.processes, &processHost{host: s.newHost(id)})
	}
	for i := range options.Routers {
		s.routers = append(s.routers, &routerHost{host: s.newHost(firstRouterID + i)})
	}
	return s
}

// runTimers runs the timers in order, until the end of the simulated time.
func (s *simulation) runTimers() {
	end := s.SimulatedTime + 1
	for {
		next := s.timers.Next(end)
		if next >= end {
			return
		}
		s.now = next
		s.timers.RunDue(next)
	}
}

// audit makes each router check its lease, as before each batch of decisions, and the auditor compare what the routers apply.
func (s *simulation) audit() {
	for _, router := range s.routers {
		router.checkLeaseExpiry()
	}
	s.auditor.compareRouters(s)
	s.after(auditInterval, s.audit)
}

func (s *simulation) at(when time.Duration, do func()) {
	s.timers.Schedule(max(when, s.now), do)
}

func (s *simulation) after(delay time.Duration, do func()) { s.at(s.now+delay, do) }

func (s *simulation) uniform(lower, upper time.Duration) time.Duration {
	return lower + time.Duration(s.random.Float64()*float64(upper-lower))
}

// oneIn returns true with a probability of 1/n.
func (s *simulation) oneIn(n int) bool { return s.random.IntN(n) == 0 }

// record adds a line to the history. The recorded histories of the tests depend on the wording of the lines.
func (s *simulation) record(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	fmt.Fprintf(s.digest, "%d %s", s.now, line)
	if s.trace != nil {
		fmt.Fprintf(s.trace, "%8.3f %s\n", s.now.Seconds(), line)
	}
}
