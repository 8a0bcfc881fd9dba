package main

import (
	"context"
	"fmt"

	"bankledge/internal/faultlab"
)

// shrinkCmd reduces a failing scenario to a minimal one that still fails.
type shrinkCmd struct {
	fleetFlags
	File    string `arg:"" help:"Failing scenario, Jsonnet or JSON." type:"path"`
	Out     string `arg:"" help:"File for the minimal scenario that still fails, JSON." type:"path"`
	Auditor string `help:"Count only the violations that this auditor finds."`
	Tries   int    `default:"3" help:"Number of runs without a violation after which a scenario counts as passing."`
}

// Run reduces the scenario and writes the result to a file.
func (r *shrinkCmd) Run() error {
	s, err := faultlab.LoadScenario(r.File)
	if err != nil {
		return err
	}
	program, remove, err := buildRouter(r.Router)
	if err != nil {
		return err
	}
	defer remove()
	ctx, cancel := interruptContext()
	defer cancel()
	fails := func(s *faultlab.Scenario) bool { return r.hasViolation(ctx, program, s) }
	if !fails(s) {
		return fmt.Errorf("%s: no violation in %d runs", r.File, r.Tries)
	}
	minimal := faultlab.Shrink(s, fails)
	fmt.Printf("%d of %d faults remain\n", len(minimal.Faults), len(s.Faults))
	return minimal.Save(r.Out)
}

// hasViolation runs a scenario up to Tries times and reports whether an auditor found a violation. A run that returns an error counts as
// one without violations.
func (r *shrinkCmd) hasViolation(ctx context.Context, program string, s *faultlab.Scenario) bool {
	for range r.Tries {
		o, err := r.runScenario(ctx, program, "shrink", s)
		if err != nil {
			continue
		}
		for _, v := range o.Violations {
			if r.Auditor == "" || v.Auditor == r.Auditor {
				return true
			}
		}
	}
	return false
}
