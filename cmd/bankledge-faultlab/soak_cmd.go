package main

import (
	"slices"

	"bankledge/internal/faultlab"
)

// soakCmd plays schedules of many overlapping faults.
type soakCmd struct {
	common
	From    uint64  `default:"1" help:"First seed."`
	Count   uint64  `default:"10" help:"Number of schedules."`
	Seconds float64 `default:"20" help:"Length of each."`
	Plain   bool    `help:"Without shutdowns as operators begin them, short deadlines and crowds: the schedules that seeds gave before there were these."`
}

// Run plays soaks one after the other. What depends on the machine's speed is not judged.
func (s *soakCmd) Run() error {
	ctx, cancel := interrupted()
	defer cancel()
	program, remove, err := buildRouter(s.Router)
	if err != nil {
		return err
	}
	defer remove()
	var outcomes []faultlab.Outcome
	for seed := s.From; seed < s.From+s.Count; seed++ {
		schedule := faultlab.GenerateShutdownSoakScenario(seed, s.Seconds)
		if s.Plain {
			schedule = faultlab.GenerateSoakScenario(seed, s.Seconds)
		}
		o, err := s.play(ctx, program, "soak", schedule)
		if err != nil {
			return err
		}
		o.Violations = slices.DeleteFunc(o.Violations, func(v faultlab.Violation) bool { return !faultlab.IsInvariant(v.Auditor) })
		outcomes = append(outcomes, o)
	}
	return s.report(outcomes)
}
