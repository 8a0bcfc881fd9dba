package faultlab

import (
	"fmt"
	"slices"
)

// Bounds of a drawn soak of shutdowns.
const (
	maxRetirements       = 3
	maxSignals           = 5   // of a series
	retirementRoom       = 4.5 // seconds before the end: the longest time until a kill, and a start
	crowdDescriptors     = 256 // of a router in a soak with a crowd
	minCrowd             = 60  // idle clients of a router
	maxCrowd             = 130
	minShortPatience     = 0.2 // times the usual
	maxShortPatience     = 0.6
	oneInShortDeadlines  = 3 // soaks has short deadlines
	oneInCrowds          = 3 // soaks has a crowd
	oneInEarlyReloads    = 2 // soaks reloads routers before they are ready
	oneInFreeOfOutages   = 3 // routers has no other outage
	largestCrowdDuration = 0.6
)

// outageFaults are the kinds of faults that end or suspend a router's process.
var outageFaults = []FaultKind{faultKillRouters, faultStopRouters, faultTerminateRouters}

// GenerateShutdownSoakScenario draws a soak as GenerateSoakScenario does from the same seed, and beside its faults shutdowns as operators
// begin them: clients use open connections until the kill, which comes as soon as the protocol allows; signals come in series, also before
// a router is ready; routers start again at once. One soak in three has short deadlines, and one in three a crowd of idle clients.
func GenerateShutdownSoakScenario(seed uint64, length float64) *Scenario {
	s := GenerateSoakScenario(seed, length)
	g := newGenerator(seed, shutdownSoakStream)
	s.Name = fmt.Sprintf("shutdown soak seed %d", seed)
	s.UseWhileDraining = true
	s.EarlyReloads = g.random.IntN(oneInEarlyReloads) == 0
	if g.random.IntN(oneInShortDeadlines) == 0 {
		s.PatienceFactor = g.between(minShortPatience, maxShortPatience)
		s.WorkFactor = 1
	}
	free := s.routersWithoutOutage()
	g.random.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	for range 1 + g.random.IntN(maxRetirements) {
		count := min(len(free), 1+g.random.IntN(max(1, s.Routers/oneInFreeOfOutages)))
		if count == 0 {
			break
		}
		routers := slices.Sorted(slices.Values(free[:count]))
		free = free[count:]
		s.Faults = append(s.Faults, Fault{
			Kind:    faultRetireRouters,
			At:      g.between(0, max(0, 1-retirementRoom/length)) * length,
			Routers: routers,
			Amount:  float64(1 + g.random.IntN(maxSignals)),
		})
	}
	if g.random.IntN(oneInCrowds) == 0 {
		s.Descriptors = crowdDescriptors
		s.Faults = append(s.Faults, g.idleClients(s))
	}
	s.sortFaults()
	return s
}

func (g generator) idleClients(s *Scenario) Fault {
	return Fault{
		Kind:    faultIdleClients,
		At:      g.between(0, 1-largestCrowdDuration) * s.Seconds,
		For:     g.between(maxSoakFaultShare, largestCrowdDuration) * s.Seconds,
		Routers: g.indexes(s.Routers, 1+g.random.IntN(s.Routers/2)),
		Amount:  float64(minCrowd + g.random.IntN(maxCrowd-minCrowd)),
	}
}

// routersWithoutOutage lists the routers that no fault ends or suspends. It leaves out faults until those are a third of all: two outages
// of one process at once would be no shutdown any more.
func (s *Scenario) routersWithoutOutage() []int {
	for {
		free := s.allRouters()
		last := -1
		for i, f := range s.Faults {
			if slices.Contains(outageFaults, f.Kind) {
				last = i
				free = slices.DeleteFunc(free, func(router int) bool { return slices.Contains(f.Routers, router) })
			}
		}
		if len(free) >= s.Routers/oneInFreeOfOutages || last < 0 {
			return free
		}
		s.Faults = slices.Delete(s.Faults, last, last+1)
	}
}

func (s *Scenario) allRouters() (indexes []int) {
	for i := range s.Routers {
		indexes = append(indexes, i)
	}
	return indexes
}
