package main

import "bankledge/internal/faultlab"

// Scenarios of the shutdown mutants: five routers receive signals to shut down while long statements run.
const (
	shutdownAt           = 2.0 // seconds
	shutdownWorkFactor   = 6
	limitedDescriptors   = 256 // limit of each router
	idleClientsPerRouter = 130
)

// shutdowns returns one fault that sends five routers a series of signals: SIGTERM first, then SIGHUP and SIGTERM in turn.
func shutdowns(signals int) []faultlab.Fault {
	return []faultlab.Fault{{Kind: "retire", At: shutdownAt, Routers: []int{0, 1, 2, 3, 4}, Amount: float64(signals)}}
}

// longStatements makes statements run for longer than usual, and clients send on connections until the router closes them.
func longStatements(s *faultlab.Scenario) {
	s.WorkFactor = shutdownWorkFactor
	s.UseWhileDraining = true
}

// shutdownMutants lists the removable guards of shutdowns and of the descriptor limit.
var shutdownMutants = []mutant{
	{
		name:    "a router that is told to end does not wait for its answers",
		auditor: "answers",
		edits: []edit{{
			file: "internal/proxy/shutdown.go",
			old:  "return elapsed > s.endAfter || elapsed > acceptGrace && idle",
			new:  "return elapsed > s.endAfter || elapsed > acceptGrace",
		}},
		faults: shutdowns(1),
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
		faults: shutdowns(3),
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
		faults: shutdowns(2),
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
		faults: shutdowns(1),
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
		faults: []faultlab.Fault{{Kind: "crowd", At: 1, For: 9, Routers: allRouters, Amount: idleClientsPerRouter}},
		load:   0.5,
		adjust: func(s *faultlab.Scenario) {
			longStatements(s)
			s.Descriptors = limitedDescriptors
		},
	},
}
