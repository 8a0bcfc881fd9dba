package fingerprint

import (
	"math"

	"github.com/VividCortex/gohistogram"
)

const (
	sketchBins = 12

	// generationSize is the number of values in the younger generation at which it replaces the older one.
	generationSize = 48

	// p10ToP90StdDevs is the distance from the 10th to the 90th percentile of a normal distribution in standard
	// deviations.
	p10ToP90StdDevs = 2.563
)

// percentiles are the fractions that Quantile accepts.
var percentiles = [...]float64{0.1, 0.5, 0.75, 0.8, 0.9}

// Sketch approximates a distribution of natural logarithms by two generations of a streaming histogram: when the younger
// is full, it replaces the older. Percentiles are computed when a value is added, since they are read far more often.
// The zero value is empty.
type Sketch struct {
	younger, older *gohistogram.NumericHistogram
	count          float64
	quantiles      [len(percentiles)]float32
}

// Add adds a value; NaN and infinities are ignored.
func (s *Sketch) Add(value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return
	}
	if s.younger == nil {
		s.younger = gohistogram.NewHistogram(sketchBins)
	}
	s.younger.Add(value)
	youngerCount := s.younger.Count()
	olderCount := 0.0
	if s.older != nil {
		olderCount = s.older.Count()
	}
	s.count = youngerCount + olderCount
	for i, percentile := range percentiles {
		sum := youngerCount * s.younger.Quantile(percentile)
		if olderCount > 0 {
			sum += olderCount * s.older.Quantile(percentile)
		}
		s.quantiles[i] = float32(sum / s.count)
	}
	if youngerCount >= generationSize {
		s.older = s.younger
		s.younger = nil
		s.count = youngerCount
	}
}

// N returns the number of values in both generations.
func (s *Sketch) N() float64 { return s.count }

// Quantile returns the value below which a fraction of the values lies, or 0 if there are none. It panics if the fraction
// is not in percentiles.
func (s *Sketch) Quantile(fraction float64) float64 {
	for i, percentile := range percentiles {
		if percentile == fraction {
			return float64(s.quantiles[i])
		}
	}
	panic("fingerprint: Quantile called with a fraction that is not in percentiles")
}

// Spread returns the standard deviation of a normal distribution with the same 10th and 90th percentiles.
func (s *Sketch) Spread() float64 { return (s.Quantile(0.9) - s.Quantile(0.1)) / p10ToP90StdDevs }
