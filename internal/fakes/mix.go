package fakes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"bankledge/decision"
)

// Item is one statement of a mix.
type Item struct {
	Declared decision.WorkloadID
	Actual   decision.WorkloadID
	Shape    int           // number of its shape; -1: one that comes once
	Work     time.Duration // on one thread
	Estimate time.Duration // of the work, as declared
	MemoryMB float64       // as declared
	Text     []byte
}

// MixOptions say how a mix is made.
type MixOptions struct {
	Shapes      int     // number of usual ones
	OneOffs     float64 // share of statements whose shape comes once
	EstimateOff float64 // factor by which the estimates of each shape are too high or too low; 1: right
	Mutated     bool    // other names and clauses, so that no shape is as in a mix that is not mutated
	Bimodal     bool    // every second statement of a shape runs 20 times as long, by its literal
	Honest      bool    // nothing is mislabelled
	Lies        bool    // what is mislabelled has estimates to match its label
}

// workloadMix is what a mix makes of a workload. Work is in seconds on one thread.
type workloadMix struct {
	share         float64 // of statements
	shapeShare    float64 // of shapes
	medianWork    float64
	mislabelled   float64             // share of statements, for 5 % of all
	mislabelledAs decision.WorkloadID // in most cases
}

var mixWorkloads = []workloadMix{
	Lookup:    {share: 0.78, shapeShare: 0.62, medianWork: 0.11, mislabelled: 0.01, mislabelledAs: Report},
	Report:    {share: 0.17, shapeShare: 0.30, medianWork: 1.9, mislabelled: 0.17, mislabelledAs: Lookup},
	PriceLoad: {share: 0.05, shapeShare: 0.08, medianWork: 3.8, mislabelled: 0.1, mislabelledAs: Report},
}

// Spreads are standard deviations of logarithms.
const (
	shapeSpread       = 0.45 // of the work, between shapes
	statementSpread   = 0.5  // of the work, within a shape
	estimateSpread    = 0.25
	alwaysMislabelled = 0.06 // share of the shapes of reports
	zipfExponent      = 0.9
	bimodalFactor     = 20
	minEstimateFactor = 1e-3

	// Declared memory: the logarithm of megabytes.
	memoryBase   = 4
	memoryByWork = 0.5 // times the logarithm of the work
	memorySpread = 0.3

	mixStream = 7 // of random numbers
)

// Mix makes statements, the same ones for the same seed. The order of its draws is part of what a seed means.
type Mix struct {
	options   MixOptions
	random    *rand.Rand
	shapes    []mixShape
	pickShape distuv.Categorical
	normal    distuv.Normal
	made      int
}

// mixShape is a statement without its literals.
type mixShape struct {
	workload          decision.WorkloadID
	text              string // with ? for literals, # for a list of them
	logWork           float64
	estimateFactor    float64
	alwaysMislabelled bool
}

// NewMix prepares a mix.
func NewMix(seed uint64, options MixOptions) *Mix {
	m := &Mix{options: options, random: rand.New(rand.NewPCG(seed, mixStream))}
	m.normal = distuv.Normal{Mu: 0, Sigma: 1, Src: m.random}
	seen := map[string]bool{}
	var weights []float64
	for w, mix := range mixWorkloads {
		count := int(math.Round(float64(options.Shapes) * mix.shapeShare))
		total := 0.0
		for rank := range count {
			total += zipfWeight(rank)
		}
		for rank := range count {
			s := m.newShape(decision.WorkloadID(w))
			for seen[s.text] {
				s = m.newShape(decision.WorkloadID(w))
			}
			seen[s.text] = true
			m.shapes = append(m.shapes, s)
			weights = append(weights, mix.share*zipfWeight(rank)/total)
		}
	}
	m.pickShape = distuv.NewCategorical(weights, m.random)
	return m
}

// zipfWeight is the weight of the shape of a rank, from 0.
func zipfWeight(rank int) float64 { return math.Pow(float64(rank+1), -zipfExponent) }

// Next makes a statement.
func (m *Mix) Next() Item {
	number := int(m.pickShape.Rand())
	s := m.shapes[number]
	if m.random.Float64() < m.options.OneOffs {
		s = m.newShape(s.workload)
		s.text = strings.Replace(s.text, "{", "", 1) + fmt.Sprintf(" /* */ AND one_%d.x IS NULL", m.made)
		number = -1
	}
	m.made++
	logWork := s.logWork + statementSpread*m.normal.Rand()
	if m.options.Bimodal && m.random.IntN(2) == 0 {
		logWork += math.Log(bimodalFactor)
	}
	item := Item{Declared: s.workload, Actual: s.workload, Shape: number, Work: seconds(math.Exp(logWork))}
	item.MemoryMB = math.Exp(memoryBase + memoryByWork*logWork + memorySpread*m.normal.Rand())
	item.Estimate = m.estimate(s, logWork)
	m.mislabel(&item, s)
	item.Text = m.withLiterals(s.text)
	return item
}

// estimate draws what a client declares of the work.
func (m *Mix) estimate(s mixShape, logWork float64) time.Duration {
	estimate := seconds(math.Exp(logWork+estimateSpread*m.normal.Rand()) * max(s.estimateFactor, minEstimateFactor))
	if m.options.EstimateOff == 0 { // drawn anew, without a factor
		estimate = seconds(math.Exp(logWork + estimateSpread*m.normal.Rand()))
	}
	return estimate
}

// mislabel declares some statements as another workload.
func (m *Mix) mislabel(item *Item, s mixShape) {
	if m.options.Honest {
		return
	}
	mix := mixWorkloads[s.workload]
	if !s.alwaysMislabelled && m.random.Float64() >= mix.mislabelled {
		return
	}
	item.Declared = mix.mislabelledAs
	if s.workload == PriceLoad && m.random.IntN(2) == 0 {
		item.Declared = Lookup
	}
	if m.options.Lies {
		item.Estimate = seconds(mixWorkloads[item.Declared].medianWork * math.Exp(shapeSpread*m.normal.Rand()))
	}
}

// seconds converts seconds to a duration, rounded down to the nanosecond.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
