package main

import "bankledge/internal/faultlab"

// Schedules of the mutants of shutdowns: five routers are told to end while statements run that take long.
const (
	retiredAt         = 2.0
	shutdownWork      = 6
	crowdedRouter     = 256 // descriptors
	idleClientsOfEach = 130
)

// retirements is one shutdown of some routers by so many signals.
func retirements(signals int) []faultlab.Fault {
	return []faultlab.Fault{{Kind: "retire", At: retiredAt, Routers: []int{0, 1, 2, 3, 4}, Amount: float64(signals)}}
}

// longStatements has statements run for longer than usual, and clients use connections until the router ends them.
func longStatements(s *faultlab.Scenario) {
	s.WorkFactor = shutdownWork
	s.UseWhileDraining = true
}

// shutdownMutants are the guards of shutdowns and of full descriptors.
var shutdownMutants = []mutant{
	{
		name:    "a router that is told to end does not wait for its answers",
		auditor: "answers",
		edits: []edit{{
			file: "internal/proxy/shutdown.go",
			old:  "return elapsed > s.endAfter || elapsed > acceptGrace && idle",
			new:  "return elapsed > s.endAfter || elapsed > acceptGrace",
		}},
		faults: retirements(1),
		load:   0.5,
		adjust: longStatements,
	},
	{
		name:    "a second SIGTERM ends a router at once",
		auditor: "answers",
		edits: []edit{{
			file: "cmd/bankledge/serve.go",
			old:  "	signal.Ignore(syscall.SIGPIPE)\n",
			new:  "	signal.Ignore(syscall.SIGPIPE)\n	context.AfterFunc(stop, cancel)\n",
		}},
		faults: retirements(3),
		load:   0.5,
		adjust: longStatements,
	},
	{
		name:    "SIGHUP during a shutdown ends a router",
		auditor: "answers",
		edits: []edit{{
			file: "cmd/bankledge/serve.go",
			old:  "	signal.Notify(reload, syscall.SIGHUP)\n",
			new:  "",
		}},
		faults: retirements(2),
		load:   0.5,
		adjust: longStatements,
	},
	{
		name:    "SIGHUP before it is ready ends a router",
		auditor: "guard",
		edits: []edit{{
			file: "cmd/bankledge/serve.go",
			old:  "	signal.Notify(reload, syscall.SIGHUP)\n",
			new:  "",
		}},
		faults: retirements(1),
		load:   0.5,
		adjust: func(s *faultlab.Scenario) { s.EarlyReloads = true },
	},
	{
		name:    "idle clients take the connections of others",
		auditor: "answers",
		edits: []edit{{
			file: "internal/downstream/idle_eviction.go",
			old:  "case c.ended || len(c.openStreams) > 0 || len(c.queue) > 0 || c.framesInWrite > 0:",
			new:  "case c.ended:",
		}},
		faults: []faultlab.Fault{{Kind: "crowd", At: 1, For: 9, Routers: allRouters, Amount: idleClientsOfEach}},
		load:   0.5,
		adjust: func(s *faultlab.Scenario) {
			longStatements(s)
			s.Descriptors = crowdedRouter
		},
	},
}
