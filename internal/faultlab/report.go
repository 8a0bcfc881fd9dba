package faultlab

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Outcome is what one play came to.
type Outcome struct {
	Label      string      `json:"label"` // the program's
	Schedule   *Schedule   `json:"schedule"`
	Metrics    Metrics     `json:"figures"`
	Violations []Violation `json:"breaches"`
}

const mostSaid = 3 // breaches of one play in a table

// Markdown is a table of outcomes, a mean for each label, and what was broken.
func Markdown(outcomes []Outcome) string {
	var b strings.Builder
	b.WriteString("| schedule | program | faults | statements | in time | rejected | work wasted | probes /engine s | further /engine s | called off | dials | p50 | p99 | back | broken |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	line := func(name, label, faults string, f Metrics, broken int) {
		fmt.Fprintf(&b, "| %s | %s | %s | %d | %.3f | %.3f | %.3f | %.2f | %.2f | %.3f | %.3f | %v | %v | %v | %d |\n", name, label, faults,
			f.Statements, f.InTime, f.Rejected, f.Wasted, f.HealthChecks, f.AdditionalAttempts, f.Cancellations, f.Handshakes, f.P50, f.P99, f.RecoveryTime.Round(100*time.Millisecond), broken)
	}
	for _, o := range outcomes {
		var kinds []string
		for _, f := range o.Schedule.Faults {
			kinds = append(kinds, f.Kind)
		}
		line(o.Schedule.Name, o.Label, strings.Join(kinds, " "), o.Metrics, len(o.Violations))
	}
	for _, label := range labels(outcomes) {
		mean, broken := meanOf(outcomes, label)
		line("mean", label, "", mean, broken)
	}
	for _, o := range outcomes {
		for i, x := range o.Violations {
			if i == mostSaid {
				fmt.Fprintf(&b, "- %s, %s: and %d more\n", o.Schedule.Name, o.Label, len(o.Violations)-i)
				break
			}
			fmt.Fprintf(&b, "- %s, %s, %s, at %v: %s\n", o.Schedule.Name, o.Label, x.Auditor, x.At.Round(time.Millisecond), x.Text)
		}
	}
	return b.String()
}

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

func meanOf(outcomes []Outcome, label string) (m Metrics, broken int) {
	columns := map[string][]float64{}
	for _, o := range outcomes {
		if o.Label != label {
			continue
		}
		f := o.Metrics
		broken += len(o.Violations)
		m.Statements += f.Statements
		for name, v := range map[string]float64{"time": f.InTime, "rejected": f.Rejected, "wasted": f.Wasted, "probes": f.HealthChecks, "further": f.AdditionalAttempts,
			"off": f.Cancellations, "dials": f.Handshakes, "p50": float64(f.P50), "p99": float64(f.P99), "back": float64(f.RecoveryTime)} {
			columns[name] = append(columns[name], v)
		}
	}
	mean := func(name string) float64 { return stat.Mean(columns[name], nil) }
	m.InTime, m.Rejected, m.Wasted, m.HealthChecks, m.AdditionalAttempts, m.Cancellations, m.Handshakes = mean("time"), mean("rejected"), mean("wasted"), mean("probes"), mean("further"), mean("off"), mean("dials")
	m.P50, m.P99, m.RecoveryTime = time.Duration(mean("p50")), time.Duration(mean("p99")), time.Duration(mean("back"))
	return m, broken
}

// Row is an outcome's line in a Parquet file.
type Row struct {
	Schedule           string  `parquet:"schedule"`
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

// WriteParquet writes a line for each outcome.
func WriteParquet(path string, outcomes []Outcome) error {
	var rows []Row
	for _, o := range outcomes {
		var kinds []string
		for _, f := range o.Schedule.Faults {
			kinds = append(kinds, f.Kind)
		}
		f := o.Metrics
		rows = append(rows, Row{o.Schedule.Name, o.Label, strings.Join(kinds, " "), f.InTime, f.Rejected, f.Wasted, f.HealthChecks, f.AdditionalAttempts, f.Cancellations,
			f.Handshakes, f.P50.Milliseconds(), f.P99.Milliseconds(), f.RecoveryTime.Milliseconds(), f.PeakColdLoad, int64(len(o.Violations))})
	}
	return parquet.WriteFile(path, rows)
}

// Charts draws, for each program, how its plays are spread by importance in time, and by time back to normal.
func Charts(dir string, outcomes []Outcome) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, c := range []struct {
		file, title string
		of          func(Metrics) float64
	}{{"in-time.png", "importance in time", func(f Metrics) float64 { return f.InTime }}, {"back.png", "seconds back to normal", func(f Metrics) float64 { return f.RecoveryTime.Seconds() }}} {
		p := plot.New()
		p.Title.Text, p.Y.Label.Text = c.title, c.title
		names := labels(outcomes)
		for i, label := range names {
			var values plotter.Values
			for _, o := range outcomes {
				if o.Label == label {
					values = append(values, c.of(o.Metrics))
				}
			}
			box, err := plotter.NewBoxPlot(vg.Points(30), float64(i), values)
			if err != nil {
				return err
			}
			p.Add(box)
		}
		p.NominalX(names...)
		if err := p.Save(12*vg.Centimeter, 10*vg.Centimeter, filepath.Join(dir, c.file)); err != nil {
			return err
		}
	}
	return nil
}
