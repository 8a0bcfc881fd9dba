package main

import (
	"context"
	"strings"

	"bankledge/internal/faultlab"
)

// runCmd plays drawn schedules with one router.
type runCmd struct {
	common
	seeds
	Table  string `help:"File for the figures, Parquet." type:"path"`
	Charts string `help:"Folder for charts, PNG." type:"path"`
}

// Run plays schedules one after the other.
func (r *runCmd) Run() error {
	c := comparison{common: &r.common, programs: []string{r.Router}, table: r.Table, charts: r.Charts}
	return c.run(r.schedules())
}

// compareCmd plays drawn schedules with several builds of the router.
type compareCmd struct {
	common
	seeds
	Programs []string `arg:"" help:"Programs of the router to compare, NAME=PATH." `
	Table    string   `help:"File for the figures, Parquet." type:"path"`
	Charts   string   `help:"Folder for charts, PNG." type:"path"`
}

// Run plays each schedule with each program in turn.
func (c *compareCmd) Run() error {
	x := comparison{common: &c.common, programs: c.Programs, table: c.Table, charts: c.Charts}
	return x.run(c.schedules())
}

// replayCmd plays a schedule from a file.
type replayCmd struct {
	common
	File  string `arg:"" help:"The schedule, Jsonnet or JSON." type:"path"`
	Times int    `default:"1" help:"How often."`
}

// Run plays a schedule from a file.
func (r *replayCmd) Run() error {
	s, err := faultlab.LoadScenario(r.File)
	if err != nil {
		return err
	}
	var schedules []*faultlab.Scenario
	for range r.Times {
		schedules = append(schedules, s)
	}
	c := comparison{common: &r.common, programs: []string{r.Router}}
	return c.run(schedules)
}

// comparison plays schedules with one or more programs of the router.
type comparison struct {
	*common
	programs []string // NAME=PATH, or PATH; empty: it is built
	table    string   // Parquet file for the metrics; empty: none
	charts   string   // folder for charts; empty: none
}

// labelledProgram is a program of the router with its name in reports.
type labelledProgram struct{ label, path string }

// run plays each schedule with each program in turn, and reports.
func (c *comparison) run(schedules []*faultlab.Scenario) error {
	ctx, cancel := interrupted()
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
	outcomes, err := c.playAll(ctx, programs, schedules)
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

func (c *comparison) playAll(ctx context.Context, programs []labelledProgram, schedules []*faultlab.Scenario) (outcomes []faultlab.Outcome, err error) {
	for _, s := range schedules {
		for _, p := range programs {
			o, err := c.play(ctx, p.path, p.label, s)
			if err != nil {
				return nil, err
			}
			outcomes = append(outcomes, o)
		}
	}
	return outcomes, nil
}
