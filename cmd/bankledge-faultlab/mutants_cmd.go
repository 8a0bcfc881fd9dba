package main

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"bankledge/internal/faultlab"
)

// mutantsCmd runs routers that lack one guard each, to show that the auditors detect what the guards prevent.
type mutantsCmd struct {
	fleetFlags
	Only  []string `help:"Test only the mutants whose names contain one of these strings."`
	Times int      `default:"3" help:"Maximum number of runs of each mutant until its auditor finds a violation."`
}

// Run builds each selected mutant and runs it until its auditor detects it. It has to be called in the repository root.
func (c *mutantsCmd) Run() error {
	ctx, cancel := interruptContext()
	defer cancel()
	missed := 0
	for _, m := range slices.Concat(mutants, shutdownMutants) {
		if !c.isSelected(m) {
			continue
		}
		finding, err := c.testMutant(ctx, m)
		if err != nil {
			return err
		}
		if finding == "" {
			missed++
			finding = "not detected"
		}
		fmt.Printf("| %s | %s | %s |\n", m.name, m.auditor, finding)
	}
	if missed > 0 {
		return fmt.Errorf("the auditors did not detect %d mutants", missed)
	}
	return nil
}

func (c *mutantsCmd) isSelected(m mutant) bool {
	return len(c.Only) == 0 || slices.ContainsFunc(c.Only, func(word string) bool { return strings.Contains(m.name, word) })
}

// testMutant runs a mutant up to Times times, and returns the first violation that its auditor found, or "" if there was none.
func (c *mutantsCmd) testMutant(ctx context.Context, m mutant) (finding string, err error) {
	program, remove, err := m.build()
	if err != nil {
		return "", err
	}
	defer remove()
	for i := range c.Times {
		s := m.scenario(uint64(i + 1))
		outcome, err := c.runScenario(ctx, program, "mutant", s)
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

// scenario returns the scenario of a mutant. For the auditors that check long attempts, statements run for longer than usual and clients
// wait for longer.
func (m mutant) scenario(seed uint64) *faultlab.Scenario {
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
		s.WorkFactor = mutantWorkFactor
		s.TimeoutFactor = mutantTimeoutFactor
		s.CancelShare = mutantCancelShare
	}
	if m.adjust != nil {
		m.adjust(s)
	}
	return s
}

// build builds the router without the guard.
func (m mutant) build() (path string, remove func(), err error) {
	return buildEdited(m.name, routerPackage, m.edits)
}
