package main

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"bankledge/internal/faultlab"
)

// mutantsCmd plays routers that lack one guard each, to show that the auditors find what the guards prevent.
type mutantsCmd struct {
	common
	Only  []string `help:"Only those whose names hold one of these words."`
	Times int      `default:"3" help:"Plays of each until an auditor finds it."`
}

// Run builds each mutant and plays it until the auditor that has to find it does. It has to be called in the project's folder.
func (c *mutantsCmd) Run() error {
	ctx, cancel := interrupted()
	defer cancel()
	missed := 0
	for _, m := range slices.Concat(mutants, shutdownMutants) {
		if !c.isSelected(m) {
			continue
		}
		finding, err := c.playMutant(ctx, m)
		if err != nil {
			return err
		}
		if finding == "" {
			missed++
			finding = "not found"
		}
		fmt.Printf("| %s | %s | %s |\n", m.name, m.auditor, finding)
	}
	if missed > 0 {
		return fmt.Errorf("%d mutants were not found", missed)
	}
	return nil
}

func (c *mutantsCmd) isSelected(m mutant) bool {
	return len(c.Only) == 0 || slices.ContainsFunc(c.Only, func(word string) bool { return strings.Contains(m.name, word) })
}

// playMutant plays a mutant up to Times times, and returns what its auditor found; empty: nothing.
func (c *mutantsCmd) playMutant(ctx context.Context, m mutant) (finding string, err error) {
	program, remove, err := m.build()
	if err != nil {
		return "", err
	}
	defer remove()
	for i := range c.Times {
		s := m.schedule(uint64(i + 1))
		outcome, err := c.play(ctx, program, "mutant", s)
		if err != nil {
			return "", err
		}
		for _, v := range outcome.Violations {
			if v.Auditor == m.auditor {
				return fmt.Sprintf("seed %d, at %v: %s", s.Seed, v.At, v.Text), nil
			}
		}
	}
	return "", nil
}

// schedule returns the schedule of a mutant. Where the auditor judges attempts that take long, statements run for longer than usual and
// clients wait for longer.
func (m mutant) schedule(seed uint64) *faultlab.Scenario {
	s := &faultlab.Scenario{
		Name:          m.name,
		Seed:          seed,
		Routers:       len(allRouters),
		Engines:       len(allEngines),
		Seconds:       12,
		Load:          m.load,
		Retries:       2,
		BusiestFactor: 1,
		Faults:        m.faults,
	}
	if m.auditor == "one at a time" || m.auditor == "left" {
		s.WorkFactor = mutantWork
		s.PatienceFactor = mutantPatience
		s.CancelShare = mutantCancelShare
	}
	if m.adjust != nil {
		m.adjust(s)
	}
	return s
}

// build builds the router with the guard taken off.
func (m mutant) build() (path string, remove func(), err error) {
	return buildEdited(m.name, routerPackage, m.edits)
}
