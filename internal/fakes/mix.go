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
	Declared    decision.WorkloadID
	Actual      decision.WorkloadID
	Fingerprint int           // index of its fingerprint; -1 for a fingerprint that occurs once
	Work        time.Duration // time on one thread
	Estimate    time.Duration // of the work, as declared by the client
	MemoryMB    float64       // as declared by the client
	Text        []byte
}

// MixOptions configure a mix.
type MixOptions struct {
	RecurringFingerprints int     // number of fingerprints that occur repeatedly
	OneOffShare           float64 // share of statements whose fingerprint occurs once
	EstimateErrorFactor   float64 // factor by which the estimates of each fingerprint are too high or too low; 1 means no systematic error
	OtherFingerprints     bool    // other names and clauses, so that no fingerprint occurs in a mix without this option
	WorkByLiteral         bool    // half of the statements of each fingerprint run 20 times as long, as if their literals decided the work
	CorrectLabels         bool    // no statement is mislabelled
	EstimatesMatchLabels  bool    // mislabelled statements have estimates that match their label
}

// workloadMix describes the statements of one workload in a mix. Work is in seconds on one thread.
type workloadMix struct {
	share            float64 // of statements
	fingerprintShare float64 // of fingerprints
	medianWork       float64
	mislabelled      float64             // share of statements, chosen so that about 5 % of all statements are mislabelled, with the fingerprints that always are
	mislabelledAs    decision.WorkloadID // workload that most of the mislabelled statements declare
}

var mixWorkloads = []workloadMix{
	Lookup:    {share: 0.78, fingerprintShare: 0.62, medianWork: 0.11, mislabelled: 0.01, mislabelledAs: Report},
	Report:    {share: 0.17, fingerprintShare: 0.30, medianWork: 1.9, mislabelled: 0.17, mislabelledAs: Lookup},
	PriceLoad: {share: 0.05, fingerprintShare: 0.08, medianWork: 3.8, mislabelled: 0.1, mislabelledAs: Report},
}

// Parameters of a mix. Spreads are standard deviations of logarithms.
const (
	fingerprintSpread = 0.45 // of the work of different fingerprints
	statementSpread   = 0.5  // of the work of the statements of one fingerprint
	estimateSpread    = 0.25
	alwaysMislabelled = 0.06 // share of the fingerprints of reports
	zipfExponent      = 0.9
	bimodalFactor     = 20
	minEstimateFactor = 1e-3

	// Parameters of the declared memory, as the logarithm of megabytes.
	memoryBase   = 4
	memoryByWork = 0.5 // multiplied by the logarithm of the work
	memorySpread = 0.3

	mixRandomStream = 7 // second seed of the random generator
)

// Mix generates statements, the same ones for the same seed. The order of the calls of the random generator must not change, since
// results for a seed depend on it.
type Mix struct {
	options          MixOptions
	random           *rand.Rand
	fingerprints     []mixFingerprint
	fingerprintIndex distuv.Categorical
	normal           distuv.Normal
	generated        int
}

// mixFingerprint is a statement text without literals, with the properties that its statements share.
type mixFingerprint struct {
	workload          decision.WorkloadID
	text              string // with ? for a literal and # for a list of literals
	logWork           float64
	estimateFactor    float64
	alwaysMislabelled bool
}

// NewMix creates a mix with random fingerprints.
func NewMix(seed uint64, options MixOptions) *Mix {
	m := &Mix{options: options, random: rand.New(rand.NewPCG(seed, mixRandomStream))}
	m.normal = distuv.Normal{Mu: 0, Sigma: 1, Src: m.random}
	seen := map[string]bool{}
	var weights []float64
	for w, mix := range mixWorkloads {
		count := int(math.Round(float64(options.RecurringFingerprints) * mix.fingerprintShare))
		total := 0.0
		for rank := range count {
			total += zipfWeight(rank)
		}
		for rank := range count {
			s := m.newFingerprint(decision.WorkloadID(w))
			for seen[s.text] {
				s = m.newFingerprint(decision.WorkloadID(w))
			}
			seen[s.text] = true
			m.fingerprints = append(m.fingerprints, s)
			weights = append(weights, mix.share*zipfWeight(rank)/total)
		}
	}
	m.fingerprintIndex = distuv.NewCategorical(weights, m.random)
	return m
}

// zipfWeight returns the weight of the fingerprint with a rank; ranks start at 0.
func zipfWeight(rank int) float64 { return math.Pow(float64(rank+1), -zipfExponent) }

// Next generates a statement.
func (m *Mix) Next() Item {
	number := int(m.fingerprintIndex.Rand())
	s := m.fingerprints[number]
	if m.random.Float64() < m.options.OneOffShare {
		s = m.newFingerprint(s.workload)
		s.text = strings.Replace(s.text, "{", "", 1) + fmt.Sprintf(" /* */ AND one_%d.x IS NULL", m.generated)
		number = -1
	}
	m.generated++
	logWork := s.logWork + statementSpread*m.normal.Rand()
	if m.options.WorkByLiteral && m.random.IntN(2) == 0 {
		logWork += math.Log(bimodalFactor)
	}
	item := Item{Declared: s.workload, Actual: s.workload, Fingerprint: number, Work: seconds(math.Exp(logWork))}
	item.MemoryMB = math.Exp(memoryBase + memoryByWork*logWork + memorySpread*m.normal.Rand())
	item.Estimate = m.estimate(s, logWork)
	m.mislabel(&item, s)
	item.Text = m.withLiterals(s.text)
	return item
}

// estimate draws the estimate of the work that the client declares.
func (m *Mix) estimate(s mixFingerprint, logWork float64) time.Duration {
	estimate := seconds(math.Exp(logWork+estimateSpread*m.normal.Rand()) * max(s.estimateFactor, minEstimateFactor))
	if m.options.EstimateErrorFactor == 0 { // without a systematic error: drawn again without a factor
		estimate = seconds(math.Exp(logWork + estimateSpread*m.normal.Rand()))
	}
	return estimate
}

// mislabel makes some statements declare another workload than their own.
func (m *Mix) mislabel(item *Item, s mixFingerprint) {
	if m.options.CorrectLabels {
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
	if m.options.EstimatesMatchLabels {
		item.Estimate = seconds(mixWorkloads[item.Declared].medianWork * math.Exp(fingerprintSpread*m.normal.Rand()))
	}
}

// seconds converts seconds to a duration, rounded down to the nanosecond.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
