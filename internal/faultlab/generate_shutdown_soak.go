package faultlab

import (
	"fmt"
	"slices"
)

// Bounds of a generated soak of shutdowns.
const (
	maxRetirements         = 3
	maxSignals             = 5   // in the series that a router receives
	retirementReserve      = 4.5 // seconds before the end, for the longest time until the kill and for the restart
	idleClientsDescriptors = 256 // file descriptors of a router in a soak with idle clients
	minIdleClients         = 60  // per router
	maxIdleClients         = 130
	minShortTimeoutFactor  = 0.2 // scales the default timeouts
	maxShortTimeoutFactor  = 0.6
	oneInShortDeadlines    = 3 // one soak in this many has short timeouts
	oneInIdleClients       = 3 // one soak in this many has idle clients
	oneInEarlyReloads      = 2 // one soak in this many reloads restarted routers before they are ready
	oneInWithoutOutage     = 3 // at least one router in this many has no outage other than planned restarts
	maxIdleClientsShare    = 0.6
)

// outageFaults are the kinds of faults that end or suspend a router's process, except planned restarts.
var outageFaults = []FaultKind{faultKillRouters, faultStopRouters, faultTerminateRouters}

// GenerateShutdownSoakScenario draws the soak of GenerateSoakScenario from the same seed and adds shutdowns as operators perform them:
// clients use open connections until the router is killed, as soon as the protocol allows; a router receives a series of signals, also
// before it is ready; it restarts immediately. One soak in three has short timeouts, and one in three a load of idle clients.
func GenerateShutdownSoakScenario(seed uint64, length float64) *Scenario {
	s := GenerateSoakScenario(seed, length)
	g := newGenerator(seed, shutdownSoakStream)
	s.Name = fmt.Sprintf("shutdown soak seed %d", seed)
	s.UseWhileDraining = true
	s.EarlyReloads = g.random.IntN(oneInEarlyReloads) == 0
	if g.random.IntN(oneInShortDeadlines) == 0 {
		s.TimeoutFactor = g.between(minShortTimeoutFactor, maxShortTimeoutFactor)
		s.WorkFactor = 1
	}
	free := s.routersWithoutOutage()
	g.random.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	for range 1 + g.random.IntN(maxRetirements) {
		count := min(len(free), 1+g.random.IntN(max(1, s.Routers/oneInWithoutOutage)))
		if count == 0 {
			break
		}
		routers := slices.Sorted(slices.Values(free[:count]))
		free = free[count:]
		s.Faults = append(s.Faults, Fault{
			Kind:    faultRetireRouters,
			At:      g.between(0, max(0, 1-retirementReserve/length)) * length,
			Routers: routers,
			Amount:  float64(1 + g.random.IntN(maxSignals)),
		})
	}
	if g.random.IntN(oneInIdleClients) == 0 {
		s.Descriptors = idleClientsDescriptors
		s.Faults = append(s.Faults, g.idleClients(s))
	}
	s.sortFaults()
	return s
}

func (g generator) idleClients(s *Scenario) Fault {
	return Fault{
		Kind:    faultIdleClients,
		At:      g.between(0, 1-maxIdleClientsShare) * s.Seconds,
		For:     g.between(maxSoakFaultShare, maxIdleClientsShare) * s.Seconds,
		Routers: g.indexes(s.Routers, 1+g.random.IntN(s.Routers/2)),
		Amount:  float64(minIdleClients + g.random.IntN(maxIdleClients-minIdleClients)),
	}
}

// routersWithoutOutage returns the routers that no fault ends or suspends. It deletes faults from the scenario until at least a third of
// the routers is free of outages, since a shutdown that overlaps another outage of the same process does not test a shutdown.
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
		if len(free) >= s.Routers/oneInWithoutOutage || last < 0 {
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
