package faultlab

import (
	"fmt"
	"slices"
)

// Bounds of a generated soak.
const (
	minSoakRouters       = 10
	maxSoakRouters       = 24
	minSoakFaults        = 6
	maxSoakFaults        = 14
	maxSoakWorkFactor    = 6.0 // factor; attempts run long enough to be in flight when faults begin
	maxSoakTimeoutFactor = 3.0 // factor; lost attempts are retried while the client still waits
	maxSoakFaultShare    = 0.3 // of the length: duration of the longest fault
	soakTailShare        = 0.2 // of the length, at its end, in which no fault begins
	clockStepsPerFault   = 6   // steps of a wall clock, alternately forward and back, while links are blocked
	maxClockStepInterval = 0.3 // seconds
)

// soakBlockingFaults are the faults that cut routers off from engines. Routers then decide only by durations whether an attempt has ended,
// so clock steps are added to these faults.
var soakBlockingFaults = []FaultKind{"cut", "cut-back", "cut-there"}

// soakFaults are the kinds of faults that a soak draws from. A kind that is listed several times is that many times as likely.
var soakFaults = []FaultKind{faultStepClock, faultStepClock, faultStepClock, faultFailAccept, faultFailConnect, faultFailSocket, faultReloadRouters,
	"cut", "cut-there", "cut-back", "delay", faultResetLinks, faultRefuseConnections, faultBlockFeed, faultKillRouters, faultStopRouters,
	faultStopRouters, faultTerminateRouters, faultReplaceEngines, faultLoseEngines, faultSlowEngines, faultFailingEngines, faultSurge}

// GenerateSoakScenario draws a scenario with overlapping faults from a seed: 10 to 24 routers, six to fourteen of soakFaults, clients that
// cancel, and clocks that step forward or back by seconds up to an hour, also before routers restart. length is in seconds.
func GenerateSoakScenario(seed uint64, length float64) *Scenario {
	g := newGenerator(seed, soakStream)
	s := &Scenario{Name: fmt.Sprintf("soak seed %d", seed), Seed: seed, Engines: 8, Seconds: length}
	s.Routers = minSoakRouters + g.random.IntN(maxSoakRouters-minSoakRouters+1)
	s.Retries = g.random.IntN(3)
	s.Load = g.between(0.3, 0.6)
	s.BusiestFactor = g.between(1, 4)
	s.CancelShare = g.between(0, 0.2)
	s.WorkFactor = g.between(1, maxSoakWorkFactor)
	s.TimeoutFactor = g.between(1, maxSoakTimeoutFactor)
	for range minSoakFaults + g.random.IntN(maxSoakFaults-minSoakFaults+1) {
		f := g.soakFault(s)
		s.Faults = append(s.Faults, f)
		if slices.Contains(soakBlockingFaults, f.Kind) {
			s.Faults = append(s.Faults, g.clockSteps(f, length)...)
		}
	}
	s.sortFaults()
	return s
}

func (g generator) soakFault(s *Scenario) Fault {
	f := Fault{Kind: g.kind(soakFaults)}
	f.At = g.between(0, 1-soakTailShare) * s.Seconds
	spec := faultKinds[f.Kind]
	if spec.duration || f.Kind == faultStepClock && g.random.IntN(2) == 0 {
		f.For = g.between(0.03, maxSoakFaultShare) * s.Seconds
	}
	if spec.routers {
		f.Routers = g.indexes(s.Routers, 1+g.random.IntN(s.Routers/2))
	}
	if spec.engines {
		f.Engines = g.indexes(s.Engines, 1+g.random.IntN(s.Engines/2))
	}
	return g.limitSoakFault(f)
}

// limitSoakFault draws the amount of a fault and limits its engines to as many as the fleet can spare.
func (g generator) limitSoakFault(f Fault) Fault {
	switch f.Kind {
	case faultStepClock:
		f.Amount = []float64{-3600, -400, -20, -3, 3, 20, 400, 3600}[g.random.IntN(8)]
	case faultFailAccept, faultFailConnect, faultFailSocket:
		f.Amount = float64(2 + g.random.IntN(10))
	case "delay":
		f.Amount = g.between(0.05, 2)
	case faultSlowEngines:
		f.Amount = g.between(1.5, 6)
	case faultSurge:
		f.Amount = g.between(1.2, 2)
	case faultReplaceEngines, faultLoseEngines:
		f.Engines = f.Engines[:min(2, len(f.Engines))]
	case faultFailingEngines:
		f.Engines = f.Engines[:1]
	}
	return f
}

// clockSteps draws steps of the wall clocks of another fault's routers, alternately forward and back, that start during that fault.
func (g generator) clockSteps(during Fault, length float64) (steps []Fault) {
	amount := []float64{3, 20, 400, 3600}[g.random.IntN(4)]
	at := during.At
	for len(steps) < clockStepsPerFault {
		at = min(at+g.between(0.05, maxClockStepInterval), length)
		steps = append(steps, Fault{Kind: faultStepClock, At: at, Routers: during.Routers, Amount: amount})
		amount = -amount
	}
	return steps
}
