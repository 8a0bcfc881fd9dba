package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/plot/plotter"

	"bankledge/internal/faultlab"
)

// groupCmd runs scenarios with faults of the control group, with real processes.
type groupCmd struct {
	From     uint64  `default:"1" help:"First seed."`
	Count    uint64  `default:"10" help:"Number of scenarios."`
	Seconds  float64 `default:"7" help:"Duration of each scenario, in seconds."`
	Parallel int     `default:"4" help:"Maximum number of scenarios that run concurrently."`
	Push     bool    `help:"Run the baseline, in which routers apply each version on arrival, without leases and without falling back to the stricter rules."`
	Logs     string  `help:"Directory in which to keep the logs of the processes." type:"path"`
	Chart    string  `help:"File for a histogram of the longest contradictions, PNG." type:"path"`
	JSON     bool    `help:"Print the summary as JSON."`
}

// pushEdits turn the router into the baseline, which applies each version as soon as it receives it and ignores leases.
var pushEdits = []edit{
	{clientVersions, "	if c.activated != nil {\n		restrict(c.activated.Rules)", "	if c.activated != nil && c.pending == nil {\n		restrict(c.activated.Rules)"},
	{clientVersions, "	if !configuration.Leased || c.activated == nil {", "	if c.activated == nil && c.pending == nil {"},
	{clientVersions, "ActiveConfiguration{Leased: c.leaseExpiry > 0 && c.newest() != nil}", "ActiveConfiguration{Leased: c.newest() != nil}"},
	{clientVersions, "		configuration.Pending = c.pending.Number\n", "		configuration.Activated = c.pending.Number\n"},
}

// maxPrintedViolations limits the violations that print writes.
const maxPrintedViolations = 10

// groupSummary combines the results of all scenarios.
type groupSummary struct {
	Scenarios             int           `json:"schedules"`
	LongestContradiction  time.Duration `json:"worst_ns"`
	Bound                 time.Duration `json:"t_ns"`
	OverBound             int           `json:"over_in"` // scenarios in which two routers contradicted each other for longer than Bound
	LongestEarlyLoosening time.Duration `json:"loosened_ns"`
	Contradictions        int           `json:"pairs"`
	Versions              int           `json:"versions"`
	LeasedShare           float64       `json:"terms"` // the sum over the scenarios until runAll divides it by their number
	Lost                  int           `json:"lost"`  // statements without an answer, or with two
	Violations            []string      `json:"breaches"`

	longest plotter.Values // longest contradiction of each scenario, in seconds
}

// Run runs the scenarios and prints the summary. The error is errViolations if an auditor found a violation.
func (c *groupCmd) Run() error {
	var edits []edit
	if c.Push {
		edits = pushEdits
	}
	options, remove, err := buildFleet(edits)
	if err != nil {
		return err
	}
	defer remove()
	ctx, cancel := interruptContext()
	defer cancel()
	summary, err := c.runAll(ctx, options)
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
		summary.print()
	}
	if len(summary.Violations) > 0 {
		return errViolations
	}
	return nil
}

// runAll runs the scenarios, up to Parallel of them concurrently.
func (c *groupCmd) runAll(ctx context.Context, options faultlab.Options) (*groupSummary, error) {
	summary := &groupSummary{Bound: faultlab.GroupDurations.MaxContradiction()}
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, c.Parallel))
	for i := range c.Count {
		group.Go(func() error {
			s := faultlab.GenerateGroupScenario(c.From+i, c.Seconds)
			scenarioOptions := options
			if c.Logs != "" {
				scenarioOptions.Dir = filepath.Join(c.Logs, strings.ReplaceAll(s.Name, " ", "-"))
			}
			history, err := faultlab.Run(ctx, s, scenarioOptions)
			if err != nil {
				return fmt.Errorf("%s: %w", s.Name, err)
			}
			report := faultlab.CheckConsistency(history)
			mu.Lock()
			defer mu.Unlock()
			summary.addReport(s.Name, report)
			summary.addAudit(s.Name, faultlab.Audit(history))
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	summary.LeasedShare /= float64(max(1, summary.Scenarios))
	return summary, nil
}

func (s *groupSummary) addReport(scenario string, r faultlab.ConsistencyReport) {
	s.Scenarios++
	s.LongestContradiction = max(s.LongestContradiction, r.LongestContradiction)
	s.LongestEarlyLoosening = max(s.LongestEarlyLoosening, r.LongestEarlyLoosening)
	s.Contradictions += r.Contradictions
	s.Versions += r.Versions
	s.LeasedShare += r.LeasedShare
	s.longest = append(s.longest, r.LongestContradiction.Seconds())
	overBound := false
	for _, v := range r.Violations {
		overBound = overBound || v.Auditor == "contradiction"
		s.addViolation(scenario, v)
	}
	if overBound {
		s.OverBound++
	}
}

func (s *groupSummary) addAudit(scenario string, violations []faultlab.Violation) {
	for _, v := range violations {
		if v.Auditor == "answers" {
			s.Lost++
		}
		if faultlab.IsInvariant(v.Auditor) {
			s.addViolation(scenario, v)
		}
	}
}

func (s *groupSummary) addViolation(scenario string, v faultlab.Violation) {
	s.Violations = append(s.Violations, fmt.Sprintf("%s: %s at %v: %s", scenario, v.Auditor, v.At, v.Text))
}

func (s *groupSummary) print() {
	fmt.Printf("%d scenarios: longest contradiction %v (bound %v), over the bound in %d; longest early loosening %v; %d contradicting pairs, %d versions, leases held %.3f of the time, %d statements lost\n",
		s.Scenarios, s.LongestContradiction, s.Bound, s.OverBound, s.LongestEarlyLoosening, s.Contradictions, s.Versions, s.LeasedShare, s.Lost)
	for _, v := range s.Violations[:min(maxPrintedViolations, len(s.Violations))] {
		fmt.Println("-", v)
	}
}
