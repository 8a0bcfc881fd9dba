package faultlab

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

// Streams of random numbers of a seed, one for each kind of generated scenario.
const (
	scenarioStream = 28
	groupStream    = 30
	soakStream     = 39

	shutdownSoakStream = 49
)

// drawnFaults are the kinds of faults that GenerateScenario draws from.
var drawnFaults = []FaultKind{"cut", "cut-there", "cut-back", "delay", "slow", faultResetLinks, faultRefuseConnections, faultBlockFeed,
	faultKillRouters, faultStopRouters, faultTerminateRouters, faultReplaceEngines, faultLoseEngines, faultSlowEngines, faultFailingEngines, faultSurge}

// generator draws the parts of a scenario. A seed gives the same scenario only if the order of the draws stays the same.
type generator struct{ random *rand.Rand }

func newGenerator(seed, stream uint64) generator {
	return generator{rand.New(rand.NewPCG(seed, stream))}
}

func (g generator) between(low, high float64) float64 {
	return distuv.Uniform{Min: low, Max: high, Src: g.random}.Rand()
}

func (g generator) kind(kinds []FaultKind) FaultKind { return kinds[g.random.IntN(len(kinds))] }

// indexes draws n distinct indexes below count, in ascending order.
func (g generator) indexes(count, n int) []int {
	list := g.random.Perm(count)[:n]
	slices.Sort(list)
	return list
}

// GenerateScenario draws a scenario from a seed: nine routers, eight engines, and one to three of drawnFaults, which end before two thirds
// of the length. length is in seconds.
func GenerateScenario(seed uint64, length float64) *Scenario {
	g := newGenerator(seed, scenarioStream)
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
	if spec.duration {
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

// drawnGroupFaults are the kinds of faults that GenerateGroupScenario draws from. A kind that is listed twice is twice as likely.
var drawnGroupFaults = []FaultKind{"group-cut", "group-cut-there", "group-cut-back", "group-delay", faultResetGroupLinks, faultPartitionMembers,
	faultKillMembers, faultStopMembers, faultStopMembers, faultKillRouters, faultStopRouters, faultStopRouters}

// GenerateGroupScenario draws a scenario with faults of the control group from a seed: five routers, a group of three members (for every
// fourth seed one or five), proposals at one of three rates, and one to four faults, which end before three quarters of the length.
// length is in seconds.
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
	if spec.duration {
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
