package main

import (
	"encoding/json"
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

// termsCmd simulates the state machines of the control group and of the routers' lease clients under a simulated clock.
type termsCmd struct {
	From    uint64 `default:"0" help:"First seed."`
	Count   uint64 `default:"1000" help:"Number of simulations."`
	Routers int    `default:"6" help:"Number of routers in each simulation."`
	Push    bool   `help:"Simulate the baseline, in which routers apply each version on arrival, without leases and without falling back to the stricter rules."`
	Stop    bool   `help:"Stop after the first batch of simulations with a violation."`
	Chart   string `help:"File for a histogram of the longest contradictions, PNG." type:"path"`
	Mutants bool   `help:"Remove one guard from the state machines at a time, and check that an auditor detects each mutant."`
	Only    string `help:"With --mutants, test only the mutants whose names contain this string."`
	Trace   bool   `help:"Write a trace of the first simulation to standard error."`
	JSON    bool   `help:"Print the summary as JSON."`
}

// maxSimulatedRouters is the largest number of routers of a simulation.
const maxSimulatedRouters = 1000

// simulationSummary combines the results of all simulations.
type simulationSummary struct {
	Simulations          uint64        `json:"schedules"`
	Violated             uint64        `json:"broken"` // simulations with a violation
	FirstViolation       string        `json:"first"`
	LongestContradiction time.Duration `json:"worst_ns"`
	Bound                time.Duration `json:"bound_ns"`
	OverBound            uint64        `json:"over_in"` // simulations with a contradiction that was longer than Bound
	Contradictions       int           `json:"pairs"`
	Versions             uint64        `json:"versions"`
	LeaseShare           float64       `json:"terms"`        // of the routers' time; the sum over the simulations until runAll divides it by their number
	ConvergenceMS        int64         `json:"most_late_ms"` // longest time from the end of the faults until all routers acted on the newest version

	longest plotter.Values // longest contradiction of each simulation, in seconds
	took    time.Duration  // in real time
}

// Run runs the simulations, as many concurrently as there are cores.
func (c *termsCmd) Run() error {
	if c.Mutants {
		return c.testMutants()
	}
	if c.Count == 0 || c.Routers < 1 || c.Routers > maxSimulatedRouters {
		return fmt.Errorf("invalid --count %d or --routers %d: the count must be at least 1, the number of routers from 1 to %d", c.Count, c.Routers, maxSimulatedRouters)
	}
	summary, err := c.runAll()
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
		return fmt.Errorf("the auditor found violations in %d simulations, first: %s", summary.Violated, summary.FirstViolation)
	}
	return nil
}

// runAll runs the simulations in batches, so that it can stop after the first violation.
func (c *termsCmd) runAll() (*simulationSummary, error) {
	durations := simulation.OptionsForSeed(0, c.Routers).LeaseDurations
	summary := &simulationSummary{Bound: simulation.ContradictionBound(durations)}
	began := time.Now()
	batch := uint64(4 * runtime.GOMAXPROCS(0))
	for from := c.From; from < c.From+c.Count; from += batch {
		if c.Stop && summary.Violated > 0 {
			break
		}
		results, err := c.runBatch(from, min(batch, c.From+c.Count-from))
		if err != nil {
			return nil, err
		}
		for _, r := range results {
			summary.add(r)
		}
	}
	summary.took = time.Since(began)
	summary.LeaseShare /= float64(max(1, summary.Simulations))
	return summary, nil
}

// runBatch runs the simulations of count seeds, starting at from, and returns their results in the order of the seeds.
func (c *termsCmd) runBatch(from, count uint64) ([]simulation.Result, error) {
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
	s.Simulations++
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
	fmt.Printf("%d simulations of %d routers in %v: longest contradiction %v (bound %v), over the bound in %d; %d contradicting pairs; %d versions; leases held %.3f of the time; longest convergence %d ms\n",
		s.Simulations, routers, s.took.Round(time.Millisecond), s.LongestContradiction, s.Bound, s.OverBound, s.Contradictions, s.Versions, s.LeaseShare, s.ConvergenceMS)
}

// Sizes of the chart of contradictions.
const (
	contradictionChartWidth  = 14 * vg.Centimeter
	contradictionChartHeight = 9 * vg.Centimeter
	contradictionChartBins   = 60
)

// writeContradictionChart draws a histogram of the longest contradictions of the runs, in seconds, and marks the bound.
func writeContradictionChart(path string, longest plotter.Values, bound time.Duration) error {
	p := plot.New()
	p.Title.Text = "longest contradiction of a run"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "runs"
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

// testMutants builds this program without each guard of leaseMutants in turn, and runs simulations until the auditor finds a violation.
func (c *termsCmd) testMutants() error {
	missed := 0
	for _, m := range leaseMutants {
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
			summary.FirstViolation = fmt.Sprintf("not detected in %d simulations", summary.Simulations)
		}
		fmt.Printf("| %s | %s | %v |\n", m.name, summary.FirstViolation, time.Since(began).Round(time.Second/10))
	}
	if missed > 0 {
		return fmt.Errorf("the auditor did not detect %d of %d mutants", missed, len(leaseMutants))
	}
	return nil
}

// runMutant runs the program of a mutant. A program that exits without a summary counts as detected.
func (c *termsCmd) runMutant(program string) (summary simulationSummary) {
	out, err := exec.Command(program, "terms", "--stop", "--json", "--count", strconv.FormatUint(c.Count, 10),
		"--from", strconv.FormatUint(c.From, 10), "--routers", strconv.Itoa(c.Routers)).Output()
	if json.Unmarshal(out, &summary) != nil {
		summary.FirstViolation = "the program wrote no summary: " + fmt.Sprint(err)
	}
	return summary
}
