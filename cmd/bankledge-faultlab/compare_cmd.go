package main

import (
	"context"
	"strings"

	"bankledge/internal/faultlab"
)

// runCmd runs scenarios that are generated from seeds, with one build of the router.
type runCmd struct {
	fleetFlags
	seedFlags
	Table  string `help:"File for the metrics, Parquet." type:"path"`
	Charts string `help:"Directory for the charts, PNG." type:"path"`
}

// Run runs the scenarios one after the other.
func (r *runCmd) Run() error {
	c := comparison{fleetFlags: &r.fleetFlags, programs: []string{r.Router}, table: r.Table, charts: r.Charts}
	return c.run(r.scenarios())
}

// compareCmd runs scenarios that are generated from seeds, with several builds of the router.
type compareCmd struct {
	fleetFlags
	seedFlags
	Programs []string `arg:"" help:"Router programs to compare, each as NAME=PATH." `
	Table    string   `help:"File for the metrics, Parquet." type:"path"`
	Charts   string   `help:"Directory for the charts, PNG." type:"path"`
}

// Run runs each scenario with each program in turn.
func (c *compareCmd) Run() error {
	x := comparison{fleetFlags: &c.fleetFlags, programs: c.Programs, table: c.Table, charts: c.Charts}
	return x.run(c.scenarios())
}

// replayCmd runs a scenario from a file.
type replayCmd struct {
	fleetFlags
	File  string `arg:"" help:"Scenario file, Jsonnet or JSON." type:"path"`
	Times int    `default:"1" help:"Number of runs."`
}

// Run runs the scenario as often as the flags say.
func (r *replayCmd) Run() error {
	s, err := faultlab.LoadScenario(r.File)
	if err != nil {
		return err
	}
	var scenarios []*faultlab.Scenario
	for range r.Times {
		scenarios = append(scenarios, s)
	}
	c := comparison{fleetFlags: &r.fleetFlags, programs: []string{r.Router}}
	return c.run(scenarios)
}

// comparison runs scenarios with one or more builds of the router.
type comparison struct {
	*fleetFlags
	programs []string // NAME=PATH, or PATH; an empty entry means that the router is built
	table    string   // Parquet file for the metrics; empty means none
	charts   string   // directory for charts; empty means none
}

// labelledProgram is a build of the router with its name in reports.
type labelledProgram struct{ label, path string }

// run runs each scenario with each program in turn, and writes the report, the table and the charts.
func (c *comparison) run(scenarios []*faultlab.Scenario) error {
	ctx, cancel := interruptContext()
	defer cancel()
	var programs []labelledProgram
	for _, p := range c.programs {
		label, path, named := strings.Cut(p, "=")
		if !named {
			label = "router"
			path = p
		}
		built, remove, err := buildRouter(path)
		if err != nil {
			return err
		}
		defer remove()
		programs = append(programs, labelledProgram{label: label, path: built})
	}
	outcomes, err := c.runAll(ctx, programs, scenarios)
	if err != nil {
		return err
	}
	if c.table != "" {
		if err := faultlab.WriteParquet(c.table, outcomes); err != nil {
			return err
		}
	}
	if c.charts != "" {
		if err := faultlab.Charts(c.charts, outcomes); err != nil {
			return err
		}
	}
	return c.report(outcomes)
}

func (c *comparison) runAll(ctx context.Context, programs []labelledProgram, scenarios []*faultlab.Scenario) (outcomes []faultlab.Outcome, err error) {
	for _, s := range scenarios {
		for _, p := range programs {
			o, err := c.runScenario(ctx, p.path, p.label, s)
			if err != nil {
				return nil, err
			}
			outcomes = append(outcomes, o)
		}
	}
	return outcomes, nil
}
