package main

import (
	"context"
	"fmt"

	"bankledge/internal/faultlab"
)

// shrinkCmd cuts down a schedule that fails.
type shrinkCmd struct {
	common
	File    string `arg:"" help:"The schedule that fails." type:"path"`
	Out     string `arg:"" help:"File for the least one that still does, JSON." type:"path"`
	Auditor string `help:"Only this auditor's breaches count."`
	Tries   int    `default:"3" help:"Plays of a smaller schedule before it counts as one that does not fail."`
}

// Run cuts a schedule down and writes what is left.
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
	ctx, cancel := interrupted()
	defer cancel()
	fails := func(s *faultlab.Scenario) bool { return r.fails(ctx, program, s) }
	if !fails(s) {
		return fmt.Errorf("%s: no rule is broken in %d plays", r.File, r.Tries)
	}
	least := faultlab.Shrink(s, fails)
	fmt.Printf("%d of %d faults are left\n", len(least.Faults), len(s.Faults))
	return least.Save(r.Out)
}

// fails plays a schedule up to Tries times and reports whether a rule was broken. A play that does not come about breaks none.
func (r *shrinkCmd) fails(ctx context.Context, program string, s *faultlab.Scenario) bool {
	for range r.Tries {
		o, err := r.play(ctx, program, "shrink", s)
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
