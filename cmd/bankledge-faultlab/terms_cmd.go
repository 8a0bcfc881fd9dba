package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"bankledge/internal/simulation"
)

// termsCmd plays the state machines of the control group and of the routers' leases under a simulated clock.
type termsCmd struct {
	From    uint64 `default:"0" help:"First seed."`
	Count   uint64 `default:"1000" help:"Number of schedules."`
	Routers int    `default:"6" help:"Routers in each."`
	Push    bool   `help:"The baseline: no terms and no cautious side, routers act on what they hear."`
	Stop    bool   `help:"End at the first schedule that breaks a rule."`
	Chart   string `help:"File for a chart of the longest contradictions, PNG." type:"path"`
	Mutants bool   `help:"Take one guard off the machines at a time, and see that an auditor finds it."`
	Only    string `help:"With --mutants: only those whose names hold this."`
	Trace   bool   `help:"Write what happens in the first schedule."`
	JSON    bool   `help:"Write the outcome as JSON."`
}

// maxSimulatedRouters is the largest number of routers of a schedule.
const maxSimulatedRouters = 1000

// simulationSummary is what came of all schedules.
type simulationSummary struct {
	Schedules            uint64        `json:"schedules"`
	Violated             uint64        `json:"broken"` // schedules
	FirstViolation       string        `json:"first"`
	LongestContradiction time.Duration `json:"worst_ns"`
	Bound                time.Duration `json:"bound_ns"`
	OverBound            uint64        `json:"over_in"` // schedules
	Contradictions       int           `json:"pairs"`
	Versions             uint64        `json:"versions"`
	LeaseShare           float64       `json:"terms"`        // of the routers' time; the sum, until all are played
	ConvergenceMS        int64         `json:"most_late_ms"` // longest, from the first quiet moment until all act on the newest version

	longest plotter.Values // contradiction of each schedule, seconds
	took    time.Duration  // by the wall clock
}

// Run plays them, as many at once as there are cores.
func (c *termsCmd) Run() error {
	if c.Mutants {
		return c.playMutants()
	}
	if c.Count == 0 || c.Routers < 1 || c.Routers > maxSimulatedRouters {
		return errors.New("count, routers: not above 0, or over 1,000 routers")
	}
	summary, err := c.play()
	if err != nil {
		return err
	}
	if c.Chart != "" {
		if err := writeContradictionChart(c.Chart, summary.longest, summary.Bound); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(summary); err != nil {
			return err
		}
	} else {
		summary.print(c.Routers)
	}
	if summary.Violated > 0 {
		return fmt.Errorf("rules were broken in %d schedules: %s", summary.Violated, summary.FirstViolation)
	}
	return nil
}

// play plays the schedules in batches, so that it can end at the first violation.
func (c *termsCmd) play() (*simulationSummary, error) {
	durations := simulation.OptionsForSeed(0, c.Routers).LeaseDurations
	summary := &simulationSummary{Bound: simulation.ContradictionBound(durations)}
	began := time.Now()
	batch := uint64(4 * runtime.GOMAXPROCS(0))
	for from := c.From; from < c.From+c.Count; from += batch {
		if c.Stop && summary.Violated > 0 {
			break
		}
		results, err := c.playBatch(from, min(batch, c.From+c.Count-from))
		if err != nil {
			return nil, err
		}
		for _, r := range results {
			summary.add(r)
		}
	}
	summary.took = time.Since(began)
	summary.LeaseShare /= float64(max(1, summary.Schedules))
	return summary, nil
}

// playBatch plays the schedules of some seeds, and returns their results in order.
func (c *termsCmd) playBatch(from, count uint64) ([]simulation.Result, error) {
	results := make([]simulation.Result, count)
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range count {
		group.Go(func() error {
			options := simulation.OptionsForSeed(from+i, c.Routers)
			options.PlainPush = c.Push
			if c.Trace && from+i == c.From {
				results[i] = simulation.Run(options, os.Stderr)
			} else {
				results[i] = simulation.Run(options, nil)
			}
			return nil
		})
	}
	return results, group.Wait()
}

func (s *simulationSummary) add(r simulation.Result) {
	s.Schedules++
	s.LongestContradiction = max(s.LongestContradiction, r.LongestContradiction)
	s.Contradictions += r.Contradictions
	s.Versions += r.Versions
	s.LeaseShare += r.LeaseShare
	s.longest = append(s.longest, r.LongestContradiction.Seconds())
	s.ConvergenceMS = max(s.ConvergenceMS, r.ConvergenceDelay.Milliseconds())
	if r.OverBound > 0 {
		s.OverBound++
	}
	if len(r.Violations) == 0 {
		return
	}
	s.Violated++
	if s.FirstViolation == "" {
		v := r.Violations[0]
		s.FirstViolation = fmt.Sprintf("seed %d, %s at %v: %s", r.Seed, v.Auditor, v.At, v.Detail)
	}
}

func (s *simulationSummary) print(routers int) {
	fmt.Printf("%d schedules of %d routers in %v: longest contradiction %v (bound %v), over it in %d; %d pairs of versions contradicted each other; %d versions; terms held %.3f of the time; latest convergence %d ms\n",
		s.Schedules, routers, s.took.Round(time.Millisecond), s.LongestContradiction, s.Bound, s.OverBound, s.Contradictions, s.Versions, s.LeaseShare, s.ConvergenceMS)
}

// Sizes of the chart of contradictions.
const (
	contradictionChartWidth  = 14 * vg.Centimeter
	contradictionChartHeight = 9 * vg.Centimeter
	contradictionChartBins   = 60
)

// writeContradictionChart draws how the longest contradictions of the schedules, in seconds, are spread, beside the bound.
func writeContradictionChart(path string, longest plotter.Values, bound time.Duration) error {
	p := plot.New()
	p.Title.Text = "longest contradiction of a schedule"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "schedules"
	histogram, err := plotter.NewHist(longest, contradictionChartBins)
	if err != nil {
		return err
	}
	line, err := plotter.NewLine(plotter.XYs{
		{X: bound.Seconds(), Y: 0},
		{X: bound.Seconds(), Y: float64(len(longest)) / 5},
	})
	if err != nil {
		return err
	}
	p.Add(histogram, line)
	p.Legend.Add("bound", line)
	return p.Save(contradictionChartWidth, contradictionChartHeight, path)
}

// playMutants builds this program with each guard of termMutants taken off, and plays until an auditor finds it.
func (c *termsCmd) playMutants() error {
	missed := 0
	for _, m := range termMutants {
		if !strings.Contains(m.name, c.Only) {
			continue
		}
		program, remove, err := buildEdited(m.name, faultlabPackage, m.edits)
		if err != nil {
			return err
		}
		began := time.Now()
		summary := c.runMutant(program)
		remove()
		if summary.FirstViolation == "" {
			missed++
			summary.FirstViolation = fmt.Sprintf("not found in %d schedules", summary.Schedules)
		}
		fmt.Printf("| %s | %s | %v |\n", m.name, summary.FirstViolation, time.Since(began).Round(time.Second/10))
	}
	if missed > 0 {
		return fmt.Errorf("%d of %d mutants were not found", missed, len(termMutants))
	}
	return nil
}

// runMutant runs a built mutant. A program that breaks down counts as found.
func (c *termsCmd) runMutant(program string) (summary simulationSummary) {
	out, err := exec.Command(program, "terms", "--stop", "--json", "--count", strconv.FormatUint(c.Count, 10),
		"--from", strconv.FormatUint(c.From, 10), "--routers", strconv.Itoa(c.Routers)).Output()
	if json.Unmarshal(out, &summary) != nil {
		summary.FirstViolation = "the program broke down: " + fmt.Sprint(err)
	}
	return summary
}
