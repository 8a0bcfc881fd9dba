package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/schollz/progressbar/v3"

	"bankledge/internal/faultlab"
)

// progressSteps is the number of steps of the progress bar of a run.
const progressSteps = 1000

// fleetFlags are the flags of all commands that run scenarios with a fleet of routers.
type fleetFlags struct {
	Router string `help:"Path of the router program. If empty, it is built from the sources in the working directory." type:"path"`
	Logs   string `help:"Directory in which to keep the routers' logs and the histories." type:"path"`
	JSON   bool   `help:"Print the outcomes as JSON."`
	Quiet  bool   `help:"Show no progress bar."`
}

// seedFlags are the flags that select the seeds from which scenarios are generated.
type seedFlags struct {
	From    uint64  `default:"1" help:"First seed."`
	Count   uint64  `default:"10" help:"Number of scenarios."`
	Seconds float64 `default:"12" help:"Duration of each scenario, in seconds."`
}

func (s seedFlags) scenarios() (list []*faultlab.Scenario) {
	for i := range s.Count {
		list = append(list, faultlab.GenerateScenario(s.From+i, s.Seconds))
	}
	return list
}

// runScenario runs one scenario, saves its history if the flags ask for it, and audits it.
func (c *fleetFlags) runScenario(ctx context.Context, program, label string, s *faultlab.Scenario) (faultlab.Outcome, error) {
	options := faultlab.Options{RouterProgram: program}
	if c.Logs != "" {
		options.Dir = filepath.Join(c.Logs, label, strings.ReplaceAll(s.Name, " ", "-"))
	}
	if !c.Quiet {
		bar := newProgressBar(s.Name)
		options.Progress = func(fraction float64) { bar.Set(int(fraction * progressSteps)) }
		defer bar.Finish()
	}
	history, err := faultlab.Run(ctx, s, options)
	if err != nil {
		return faultlab.Outcome{}, fmt.Errorf("%s: %w", s.Name, err)
	}
	if options.Dir != "" {
		if err := saveHistory(options.Dir, history); err != nil {
			return faultlab.Outcome{}, err
		}
	}
	return faultlab.Outcome{Label: label, Scenario: s, Metrics: faultlab.Measure(history), Violations: faultlab.Audit(history)}, nil
}

func newProgressBar(title string) *progressbar.ProgressBar {
	return progressbar.NewOptions(progressSteps,
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetDescription(title),
		progressbar.OptionClearOnFinish(),
		progressbar.OptionSetPredictTime(false))
}

// saveHistory writes a history and its scenario into a directory.
func saveHistory(dir string, history *faultlab.History) error {
	return errors.Join(
		history.Write(filepath.Join(dir, "history.jsonl")),
		history.Scenario.Save(filepath.Join(dir, "schedule.json")))
}

// report prints the outcomes. The error is errViolations if an auditor found a violation.
func (c *fleetFlags) report(outcomes []faultlab.Outcome) error {
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(outcomes); err != nil {
			return err
		}
	} else {
		fmt.Print(faultlab.Markdown(outcomes))
	}
	for _, o := range outcomes {
		if len(o.Violations) > 0 {
			return errViolations
		}
	}
	return nil
}
