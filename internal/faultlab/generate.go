package faultlab

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

// Streams of random numbers that a seed gives, one for each kind of schedule.
const (
	scheduleStream = 28
	groupStream    = 30
	soakStream     = 39

	shutdownSoakStream = 49
)

// drawnFaults are the kinds of faults that GenerateScenario draws.
var drawnFaults = []FaultKind{"cut", "cut-there", "cut-back", "delay", "slow", faultResetLinks, faultRefuseConnections, faultBlockFeed,
	faultKillRouters, faultStopRouters, faultTerminateRouters, faultReplaceEngines, faultLoseEngines, faultSlowEngines, faultFailingEngines, faultSurge}

// generator draws the parts of a schedule. The order of its draws is part of what a seed means.
type generator struct{ random *rand.Rand }

func newGenerator(seed, stream uint64) generator {
	return generator{rand.New(rand.NewPCG(seed, stream))}
}

func (g generator) between(low, high float64) float64 {
	return distuv.Uniform{Min: low, Max: high, Src: g.random}.Rand()
}

func (g generator) kind(kinds []FaultKind) FaultKind { return kinds[g.random.IntN(len(kinds))] }

// indexes draws n of the indexes below count, in order.
func (g generator) indexes(count, n int) []int {
	list := g.random.Perm(count)[:n]
	slices.Sort(list)
	return list
}

// GenerateScenario draws a schedule from a seed: nine routers, eight engines, one to three faults of the kinds that a fleet sees, over by
// two thirds of the time. length is in seconds.
func GenerateScenario(seed uint64, length float64) *Scenario {
	g := newGenerator(seed, scheduleStream)
	s := &Scenario{Name: fmt.Sprintf("seed %d", seed), Seed: seed, Routers: 9, Engines: 8, Seconds: length, Retries: 2}
	s.Load = g.between(0.35, 0.7)
	s.BusiestFactor = g.between(1, 4)
	for range 1 + g.random.IntN(3) {
		s.Faults = append(s.Faults, g.fault(s))
	}
	s.sortFaults()
	return s
}

func (g generator) fault(s *Scenario) Fault {
	f := Fault{Kind: g.kind(drawnFaults)}
	f.At = g.between(0.2, 0.4) * s.Seconds
	spec := faultKinds[f.Kind]
	if spec.lasting {
		f.For = g.between(0.05, 0.26) * s.Seconds
	}
	if spec.routers {
		f.Routers = g.indexes(s.Routers, 1+g.random.IntN(s.Routers*2/3))
	}
	if spec.engines {
		f.Engines = g.indexes(s.Engines, 1+g.random.IntN(s.Engines/2))
	}
	switch f.Kind {
	case "delay":
		f.Amount = g.between(0.05, 2)
	case faultSlowEngines:
		f.Amount = g.between(1.5, 6)
	case faultSurge:
		f.Amount = g.between(1.5, 3)
	case faultReplaceEngines, faultLoseEngines:
		f.Engines = f.Engines[:min(3, len(f.Engines))]
	case faultFailingEngines:
		f.Engines = f.Engines[:1]
	}
	return f
}

// drawnGroupFaults are the kinds of faults that GenerateGroupScenario draws; one that stands twice comes twice as often.
var drawnGroupFaults = []FaultKind{"group-cut", "group-cut-there", "group-cut-back", "group-delay", faultResetGroupLinks, faultPartitionMembers,
	faultKillMembers, faultStopMembers, faultStopMembers, faultKillRouters, faultStopRouters, faultStopRouters}

// GenerateGroupScenario draws a schedule of a control group's faults from a seed: five routers, a group of three (one in four: of one or
// five), proposals at one of three rates, one to four faults, over by three quarters of the time. length is in seconds.
func GenerateGroupScenario(seed uint64, length float64) *Scenario {
	g := newGenerator(seed, groupStream)
	s := &Scenario{
		Name:           fmt.Sprintf("group seed %d", seed),
		Seed:           seed,
		Routers:        5,
		Engines:        2,
		Seconds:        length,
		Load:           0.15,
		BusiestFactor:  1,
		ControlMembers: 3,
	}
	if seed%4 == 0 {
		s.ControlMembers = []int{1, 5}[g.random.IntN(2)]
	}
	s.VersionInterval = []float64{0.05, 0.4, 1.2}[g.random.IntN(3)]
	for range 1 + g.random.IntN(4) {
		s.Faults = append(s.Faults, g.groupFault(s))
	}
	s.sortFaults()
	return s
}

func (g generator) groupFault(s *Scenario) Fault {
	f := Fault{Kind: g.kind(drawnGroupFaults)}
	f.At = (0.15 + 0.35*g.random.Float64()) * s.Seconds
	f.Amount = 0.05 + g.random.Float64()
	spec := faultKinds[f.Kind]
	if spec.lasting {
		f.For = (0.03 + 0.22*g.random.Float64()) * s.Seconds
	}
	if spec.routers {
		f.Routers = g.indexes(s.Routers, 1+g.random.IntN(s.Routers-1))
	}
	if spec.members {
		f.Members = g.indexes(s.ControlMembers, 1+g.random.IntN(max(1, s.ControlMembers-1)))
		if g.random.IntN(3) == 0 {
			f.Members = []int{currentLeader}
		}
	}
	return f
}
