package main

import (
	"slices"

	"bankledge/internal/faultlab"
)

// soakCmd runs scenarios with many overlapping faults.
type soakCmd struct {
	fleetFlags
	From    uint64  `default:"1" help:"First seed."`
	Count   uint64  `default:"10" help:"Number of scenarios."`
	Seconds float64 `default:"20" help:"Duration of each scenario, in seconds."`
	Plain   bool    `help:"Leave out planned shutdowns, short timeouts and idle clients. Each seed then gives the scenario that it gave before these were added."`
}

// Run runs the scenarios one after the other. It ignores violations of auditors whose result depends on the speed of the machine.
func (s *soakCmd) Run() error {
	ctx, cancel := interruptContext()
	defer cancel()
	program, remove, err := buildRouter(s.Router)
	if err != nil {
		return err
	}
	defer remove()
	var outcomes []faultlab.Outcome
	for seed := s.From; seed < s.From+s.Count; seed++ {
		scenario := faultlab.GenerateShutdownSoakScenario(seed, s.Seconds)
		if s.Plain {
			scenario = faultlab.GenerateSoakScenario(seed, s.Seconds)
		}
		o, err := s.runScenario(ctx, program, "soak", scenario)
		if err != nil {
			return err
		}
		o.Violations = slices.DeleteFunc(o.Violations, func(v faultlab.Violation) bool { return !faultlab.IsInvariant(v.Auditor) })
		outcomes = append(outcomes, o)
	}
	return s.report(outcomes)
}
