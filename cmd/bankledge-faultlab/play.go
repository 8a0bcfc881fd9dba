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

// progressSteps is how finely the progress of a play is shown.
const progressSteps = 1000

// common are the flags of all commands that play schedules of a fleet.
type common struct {
	Router string `help:"The router's program; built from the folder that this is called in if empty." type:"path"`
	Logs   string `help:"Folder to keep the routers' logs and the histories in." type:"path"`
	JSON   bool   `help:"Write the outcome as JSON."`
	Quiet  bool   `help:"Show no progress."`
}

// seeds are the flags that say which schedules are drawn.
type seeds struct {
	From    uint64  `default:"1" help:"First seed."`
	Count   uint64  `default:"10" help:"Number of schedules."`
	Seconds float64 `default:"12" help:"Length of each."`
}

func (s seeds) schedules() (list []*faultlab.Scenario) {
	for i := range s.Count {
		list = append(list, faultlab.GenerateScenario(s.From+i, s.Seconds))
	}
	return list
}

// play plays one schedule, keeps what the flags say, and audits it.
func (c *common) play(ctx context.Context, program, label string, s *faultlab.Scenario) (faultlab.Outcome, error) {
	options := faultlab.Options{RouterProgram: program}
	if c.Logs != "" {
		options.Dir = filepath.Join(c.Logs, label, strings.ReplaceAll(s.Name, " ", "-"))
	}
	if !c.Quiet {
		bar := newProgressBar(s.Name)
		options.Progress = func(part float64) { bar.Set(int(part * progressSteps)) }
		defer bar.Finish()
	}
	h, err := faultlab.Run(ctx, s, options)
	if err != nil {
		return faultlab.Outcome{}, fmt.Errorf("%s: %w", s.Name, err)
	}
	if options.Dir != "" {
		if err := keep(options.Dir, h); err != nil {
			return faultlab.Outcome{}, err
		}
	}
	return faultlab.Outcome{Label: label, Scenario: s, Metrics: faultlab.Measure(h), Violations: faultlab.Audit(h)}, nil
}

func newProgressBar(title string) *progressbar.ProgressBar {
	return progressbar.NewOptions(progressSteps,
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetDescription(title),
		progressbar.OptionClearOnFinish(),
		progressbar.OptionSetPredictTime(false))
}

// keep writes a history and its schedule into a folder.
func keep(dir string, h *faultlab.History) error {
	return errors.Join(
		h.Write(filepath.Join(dir, "history.jsonl")),
		h.Scenario.Save(filepath.Join(dir, "schedule.json")))
}

// report prints outcomes. The error is errViolations where any rule was broken.
func (c *common) report(outcomes []faultlab.Outcome) error {
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
