package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/plot/plotter"

	"bankledge/internal/faultlab"
)

// groupCmd plays schedules of a control group's troubles with real processes.
type groupCmd struct {
	From     uint64  `default:"1" help:"First seed."`
	Count    uint64  `default:"10" help:"Number of schedules."`
	Seconds  float64 `default:"7" help:"Length of each."`
	Parallel int     `default:"4" help:"Schedules at once."`
	Push     bool    `help:"The baseline: routers that act on what they hear, with no terms and no cautious side."`
	Logs     string  `help:"Folder to keep the processes' logs in." type:"path"`
	Chart    string  `help:"File for a chart of the longest contradictions, PNG." type:"path"`
	JSON     bool    `help:"Write the outcome as JSON."`
}

// pushEdits make the baseline of the router.
var pushEdits = []edit{
	{clientVersions, "	if c.activated != nil {\n		restrict(c.activated.Rules)", "	if c.activated != nil && c.pending == nil {\n		restrict(c.activated.Rules)"},
	{clientVersions, "	if !configuration.Leased || c.activated == nil {", "	if c.activated == nil && c.pending == nil {"},
	{clientVersions, "ActiveConfiguration{Leased: c.leaseExpiry > 0 && c.newest() != nil}", "ActiveConfiguration{Leased: c.newest() != nil}"},
	{clientVersions, "		configuration.Pending = c.pending.Number\n", "		configuration.Activated = c.pending.Number\n"},
}

// buildAll builds the router, with some guards taken off, and the control service.
func buildAll(edits []edit) (o faultlab.Options, drop func(), err error) {
	router, dropRouter, err := mutate("the router", "./cmd/bankledge", edits)
	if err != nil {
		return o, nil, err
	}
	dir, err := os.MkdirTemp("", "bankledge-faultlab")
	if err != nil {
		return o, nil, err
	}
	drop = func() { dropRouter(); os.RemoveAll(dir) }
	control := filepath.Join(dir, "bankledge-control")
	if out, err := exec.Command("go", "build", "-o", control, "./cmd/bankledge-control").CombinedOutput(); err != nil {
		drop()
		return o, nil, fmt.Errorf("the control service does not build: %s", strings.TrimSpace(string(out)))
	}
	return faultlab.Options{RouterProgram: router, ControlProgram: control}, drop, nil
}

// groupSums is what came of all schedules.
type groupSums struct {
	Schedules int           `json:"schedules"`
	Worst     time.Duration `json:"worst_ns"`
	T         time.Duration `json:"t_ns"`
	OverIn    int           `json:"over_in"` // schedules in which two routers contradicted each other for longer
	Loosened  time.Duration `json:"loosened_ns"`
	Pairs     int           `json:"pairs"`
	Versions  int           `json:"versions"`
	Terms     float64       `json:"terms"`
	Lost      int           `json:"lost"` // statements without an answer, or with two
	Breaches  []string      `json:"breaches"`
}

// Run plays them.
func (c *groupCmd) Run() error {
	edits := []edit(nil)
	if c.Push {
		edits = pushEdits
	}
	o, drop, err := buildAll(edits)
	if err != nil {
		return err
	}
	defer drop()
	ctx, cancel := interrupted()
	defer cancel()
	var mu sync.Mutex
	sum := groupSums{T: faultlab.GroupDurations.MaxContradiction()}
	var longest plotter.Values
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, c.Parallel))
	for i := range c.Count {
		g.Go(func() error {
			s, with := faultlab.GenerateGroupSchedule(c.From+i, c.Seconds), o
			if c.Logs != "" {
				with.Dir = filepath.Join(c.Logs, strings.ReplaceAll(s.Name, " ", "-"))
			}
			h, err := faultlab.Play(ctx, s, with)
			if err != nil {
				return fmt.Errorf("%s: %w", s.Name, err)
			}
			a := faultlab.CheckConsistency(h)
			mu.Lock()
			defer mu.Unlock()
			sum.Schedules++
			sum.Worst, sum.Loosened, sum.Pairs, sum.Versions, sum.Terms = max(sum.Worst, a.LongestContradiction), max(sum.Loosened, a.LongestEarlyLoosening), sum.Pairs+a.Contradictions, sum.Versions+a.Versions, sum.Terms+a.LeasedShare
			longest = append(longest, a.LongestContradiction.Seconds())
			over := false
			for _, b := range a.Violations {
				over = over || b.Auditor == "contradiction"
				sum.Breaches = append(sum.Breaches, fmt.Sprintf("%s: %s at %v: %s", s.Name, b.Auditor, b.At, b.Text))
			}
			if over {
				sum.OverIn++
			}
			for _, b := range faultlab.Audit(h) {
				if b.Auditor == "answers" {
					sum.Lost++
				}
				if b.Auditor != "back" && b.Auditor != "harm" {
					sum.Breaches = append(sum.Breaches, fmt.Sprintf("%s: %s at %v: %s", s.Name, b.Auditor, b.At, b.Text))
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	sum.Terms /= float64(max(1, sum.Schedules))
	if c.Chart != "" {
		if err := (&sums{longest: longest, Bound: sum.T}).chart(c.Chart); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(sum); err != nil {
			return err
		}
	} else {
		fmt.Printf("%d schedules: longest contradiction %v (T %v), over T in %d; longest that something loosened early %v; %d pairs, %d versions, terms held %.3f of the time, %d statements lost\n",
			sum.Schedules, sum.Worst, sum.T, sum.OverIn, sum.Loosened, sum.Pairs, sum.Versions, sum.Terms, sum.Lost)
		for _, b := range sum.Breaches[:min(10, len(sum.Breaches))] {
			fmt.Println("-", b)
		}
	}
	if len(sum.Breaches) > 0 {
		return errBreach
	}
	return nil
}
