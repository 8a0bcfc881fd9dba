package faultlab

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	chartWidth  = 12 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
	boxWidth    = 30 // points
)

// Charts writes box plots as PNG files into a folder. They show, for each program, the distribution over its runs of the priority weight
// answered in time and of the recovery time.
func Charts(dir string, outcomes []Outcome) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	inTime := func(m Metrics) float64 { return m.InTime }
	if err := writeBoxPlot(filepath.Join(dir, "in-time.png"), "share of priority weight answered in time", inTime, outcomes); err != nil {
		return err
	}
	recovery := func(m Metrics) float64 { return m.RecoveryTime.Seconds() }
	return writeBoxPlot(filepath.Join(dir, "back.png"), "recovery time (seconds)", recovery, outcomes)
}

func writeBoxPlot(path, title string, value func(Metrics) float64, outcomes []Outcome) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = title
	names := labels(outcomes)
	for i, label := range names {
		var values plotter.Values
		for _, o := range outcomes {
			if o.Label == label {
				values = append(values, value(o.Metrics))
			}
		}
		box, err := plotter.NewBoxPlot(vg.Points(boxWidth), float64(i), values)
		if err != nil {
			return err
		}
		p.Add(box)
	}
	p.NominalX(names...)
	return p.Save(chartWidth, chartHeight, path)
}
