package faultlab

import (
	"fmt"
	"strings"
	"time"

	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/gonum/stat"
)

// Outcome is the result of one run.
type Outcome struct {
	Label      string      `json:"label"` // name of the router program
	Scenario   *Scenario   `json:"schedule"`
	Metrics    Metrics     `json:"figures"`
	Violations []Violation `json:"breaches"`
}

// maxListed is the largest number of violations of one run that a report lists.
const maxListed = 3

// Markdown returns a table of outcomes with a mean for each label, followed by a list of violations.
func Markdown(outcomes []Outcome) string {
	var b strings.Builder
	b.WriteString("| scenario | program | faults | statements | in time | rejected | work wasted | health checks /engine s | additional attempts /engine s | cancelled | connections /attempt | p50 | p99 | recovery | violations |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, o := range outcomes {
		writeMarkdownRow(&b, o.Scenario.Name, o.Label, faultNames(o.Scenario), o.Metrics, len(o.Violations))
	}
	for _, label := range labels(outcomes) {
		mean, violations := meanMetrics(outcomes, label)
		writeMarkdownRow(&b, "mean", label, "", mean, violations)
	}
	for _, o := range outcomes {
		writeViolations(&b, o)
	}
	return b.String()
}

func writeMarkdownRow(b *strings.Builder, name, label, faults string, m Metrics, violations int) {
	fmt.Fprintf(b, "| %s | %s | %s | %d | %.3f | %.3f | %.3f | %.2f | %.2f | %.3f | %.3f | %v | %v | %v | %d |\n", name, label, faults,
		m.Statements, m.InTime, m.Rejected, m.Wasted, m.HealthChecks, m.AdditionalAttempts, m.Cancellations, m.Handshakes, m.P50, m.P99,
		m.RecoveryTime.Round(100*time.Millisecond), violations)
}

func writeViolations(b *strings.Builder, o Outcome) {
	for i, v := range o.Violations {
		if i == maxListed {
			fmt.Fprintf(b, "- %s, %s: and %d more\n", o.Scenario.Name, o.Label, len(o.Violations)-i)
			return
		}
		fmt.Fprintf(b, "- %s, %s, %s, at %v: %s\n", o.Scenario.Name, o.Label, v.Auditor, v.At.Round(time.Millisecond), v.Text)
	}
}

// faultNames returns the kinds of a scenario's faults, separated by spaces.
func faultNames(s *Scenario) string {
	var names []string
	for _, f := range s.Faults {
		names = append(names, string(f.Kind))
	}
	return strings.Join(names, " ")
}

// labels returns the distinct labels of outcomes in order of first appearance.
func labels(outcomes []Outcome) (list []string) {
	seen := map[string]bool{}
	for _, o := range outcomes {
		if !seen[o.Label] {
			seen[o.Label] = true
			list = append(list, o.Label)
		}
	}
	return list
}

// meanMetrics returns the means of a label's metrics, and the totals of its statements and violations.
func meanMetrics(outcomes []Outcome, label string) (m Metrics, violations int) {
	var runs []Metrics
	for _, o := range outcomes {
		if o.Label == label {
			runs = append(runs, o.Metrics)
			m.Statements += o.Metrics.Statements
			violations += len(o.Violations)
		}
	}
	mean := func(value func(Metrics) float64) float64 {
		var values []float64
		for _, p := range runs {
			values = append(values, value(p))
		}
		return stat.Mean(values, nil)
	}
	m.InTime = mean(func(p Metrics) float64 { return p.InTime })
	m.Rejected = mean(func(p Metrics) float64 { return p.Rejected })
	m.Wasted = mean(func(p Metrics) float64 { return p.Wasted })
	m.HealthChecks = mean(func(p Metrics) float64 { return p.HealthChecks })
	m.AdditionalAttempts = mean(func(p Metrics) float64 { return p.AdditionalAttempts })
	m.Cancellations = mean(func(p Metrics) float64 { return p.Cancellations })
	m.Handshakes = mean(func(p Metrics) float64 { return p.Handshakes })
	m.P50 = time.Duration(mean(func(p Metrics) float64 { return float64(p.P50) }))
	m.P99 = time.Duration(mean(func(p Metrics) float64 { return float64(p.P99) }))
	m.RecoveryTime = time.Duration(mean(func(p Metrics) float64 { return float64(p.RecoveryTime) }))
	return m, violations
}

// Row is the row of an outcome in a Parquet file.
type Row struct {
	Scenario           string  `parquet:"schedule"`
	Program            string  `parquet:"program"`
	Faults             string  `parquet:"faults"`
	InTime             float64 `parquet:"in_time"`
	Rejected           float64 `parquet:"rejected"`
	Wasted             float64 `parquet:"wasted"`
	HealthChecks       float64 `parquet:"probes"`
	AdditionalAttempts float64 `parquet:"further"`
	Cancellations      float64 `parquet:"call_offs"`
	Handshakes         float64 `parquet:"dials"`
	P50MS              int64   `parquet:"p50_ms"`
	P99MS              int64   `parquet:"p99_ms"`
	RecoveryMS         int64   `parquet:"back_ms"`
	PeakColdLoad       float64 `parquet:"cold_most"`
	Violations         int64   `parquet:"broken"`
}

// WriteParquet writes a Parquet file with a row for each outcome.
func WriteParquet(path string, outcomes []Outcome) error {
	var rows []Row
	for _, o := range outcomes {
		m := o.Metrics
		rows = append(rows, Row{
			Scenario:           o.Scenario.Name,
			Program:            o.Label,
			Faults:             faultNames(o.Scenario),
			InTime:             m.InTime,
			Rejected:           m.Rejected,
			Wasted:             m.Wasted,
			HealthChecks:       m.HealthChecks,
			AdditionalAttempts: m.AdditionalAttempts,
			Cancellations:      m.Cancellations,
			Handshakes:         m.Handshakes,
			P50MS:              m.P50.Milliseconds(),
			P99MS:              m.P99.Milliseconds(),
			RecoveryMS:         m.RecoveryTime.Milliseconds(),
			PeakColdLoad:       m.PeakColdLoad,
			Violations:         int64(len(o.Violations)),
		})
	}
	return parquet.WriteFile(path, rows)
}
