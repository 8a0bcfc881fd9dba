package simulation

import "time"

const (
	minFaults         = 3
	maxFaults         = 12
	earliestFault     = time.Second
	minFaultDuration  = 50 * time.Millisecond
	maxFaultDuration  = 4 * time.Second
	maxSlowExtraDelay = 300 * time.Millisecond
	maxSavesToCrash   = 3
)

// faults lists the kinds of faults of hosts and links; a kind that is listed twice is twice as likely. Each function schedules one fault
// that begins at start.
var faults = [...]func(s *simulation, start, duration time.Duration){
	(*simulation).isolateRouter,
	(*simulation).isolateRouter,
	(*simulation).partitionGroup,
	(*simulation).pauseProcess,
	(*simulation).pauseLeader,
	(*simulation).crashProcess,
	(*simulation).pauseRouter,
	(*simulation).pauseRouter,
	(*simulation).restartRouter,
}

// scheduleFaults chooses faults, their targets and times at random. All faults end by faultsEnd.
func (s *simulation) scheduleFaults() {
	faultsEnd := s.faultsEnd()
	if s.oneIn(3) {
		s.at(s.uniform(0, faultsEnd), func() { s.network.maxExtraDelay = s.uniform(0, maxSlowExtraDelay) })
		s.at(faultsEnd, func() { s.network.maxExtraDelay = 0 })
	}
	count := minFaults + s.random.IntN(maxFaults-minFaults+1)
	for range count {
		start := s.uniform(earliestFault, faultsEnd)
		duration := min(s.uniform(minFaultDuration, maxFaultDuration), faultsEnd-start)
		fault := faults[s.random.IntN(len(faults))]
		fault(s, start, duration)
	}
}

// faultsActive reports whether faults may occur now.
func (s *simulation) faultsActive() bool { return !s.NoFaults && s.now < s.faultsEnd() }

func (s *simulation) randomRouter() *routerHost { return s.routers[s.random.IntN(len(s.routers))] }

func (s *simulation) randomProcess() *processHost {
	return s.processes[s.random.IntN(len(s.processes))]
}

// direction selects which of the two links between two hosts is cut.
type direction int

const (
	forwardOnly direction = iota
	reverseOnly
	bothDirections
	directionCount
)

func (s *simulation) randomDirection() direction {
	return direction(s.random.IntN(int(directionCount)))
}

// cutBetween cuts the links between two hosts for a duration.
func (s *simulation) cutBetween(start, duration time.Duration, a, b int, cut direction) {
	if cut != reverseOnly {
		s.scheduleCut(start, duration, link{a, b})
	}
	if cut != forwardOnly {
		s.scheduleCut(start, duration, link{b, a})
	}
}

func (s *simulation) scheduleCut(start, duration time.Duration, over link) {
	s.at(start, func() { s.cutLink(over) })
	s.at(start+duration, func() { s.restoreLink(over) })
}

// isolateRouter cuts the links between a router and all or some of the processes.
func (s *simulation) isolateRouter(start, duration time.Duration) {
	router := s.randomRouter()
	cut := s.randomDirection()
	fromAll := s.oneIn(2)
	for _, process := range s.processes {
		if !fromAll && s.oneIn(2) {
			continue
		}
		s.cutBetween(start, duration, router.id, process.id, cut)
	}
}

// partitionGroup cuts the links between two parts of the group. At random each router reaches only one part, or both.
func (s *simulation) partitionGroup(start, duration time.Duration) {
	half := s.Processes / 2
	for _, minority := range s.processes[:half] {
		for _, majority := range s.processes[half:] {
			s.cutBetween(start, duration, minority.id, majority.id, s.randomDirection())
		}
	}
	for _, router := range s.routers {
		var unreachable []*processHost
		switch s.random.IntN(3) {
		case 0:
			unreachable = s.processes[:half]
		case 1:
			unreachable = s.processes[half:]
		}
		for _, process := range unreachable {
			s.cutBetween(start, duration, router.id, process.id, bothDirections)
		}
	}
}

func (s *simulation) pauseProcess(start, duration time.Duration) {
	process := s.randomProcess()
	s.at(start, func() {
		process.pause()
		s.record("stop %d", process.id)
	})
	s.at(start+duration, func() { s.resumeProcess(process) })
}

func (s *simulation) resumeProcess(process *processHost) {
	process.resume()
	s.record("wake %d", process.id)
}

// pauseLeader pauses the process that leads when the fault starts.
func (s *simulation) pauseLeader(start, duration time.Duration) {
	s.at(start, func() {
		for _, process := range s.processes {
			if process.isRunning() && process.replica.IsLeader() {
				process.pause()
				s.record("stop leader %d", process.id)
				s.after(duration, func() { s.resumeProcess(process) })
				return
			}
		}
	})
}

// crashProcess kills a process, either at start or at one of its next saves after start, and restarts it.
func (s *simulation) crashProcess(start, duration time.Duration) {
	process := s.randomProcess()
	saves := s.random.IntN(maxSavesToCrash + 1)
	if saves > 0 {
		s.at(start, func() { process.savesUntilCrash = saves })
		return
	}
	s.at(start, func() {
		if !process.up {
			return
		}
		s.record("kill %d", process.id)
		process.kill()
		s.after(duration, func() {
			if !process.up {
				process.start()
			}
		})
	})
}

func (s *simulation) pauseRouter(start, duration time.Duration) {
	router := s.randomRouter()
	s.at(start, func() {
		router.pause()
		s.record("stop router %d", router.id)
	})
	s.at(start+duration, func() {
		router.resume()
		s.record("wake router %d", router.id)
	})
}

// restartRouter kills a router and restarts it under the same name, without any state.
func (s *simulation) restartRouter(start, duration time.Duration) {
	router := s.randomRouter()
	s.at(start, func() {
		if !router.up {
			return
		}
		router.kill()
		s.record("kill router %d", router.id)
		s.after(s.uniform(0, duration), router.start)
	})
}
