package classify

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bankledge/internal/fakes"
	"bankledge/internal/sqltext"
)

// mixResults counts how a classifier treated the statements of a mix.
type mixResults struct {
	confusion                   [3][3]int // by actual workload, then by the workload treated as
	reclassified, right         int       // number of reclassified statements, and of these correct ones
	mislabelled                 int
	warmMislabelled, warmFound  int            // mislabelled statements of warm fingerprints, and of these correctly classified ones
	warmReclassified, warmRight int            // the same as reclassified and right, for warm fingerprints
	recurring, known            int            // statements of recurring fingerprints after their first, and of these the ones with a record
	declaredErrors              []float64      // |log ratio| of the declared work to the actual work
	meanErrors, expectedErrors  []float64      // the same for the mean work of the workload and for the expected work
	missed                      map[string]int // mislabelled statements of warm fingerprints that were not corrected, by workload and reason
}

// minWarmSeen is the number of earlier statements from which a fingerprint counts as warm.
const minWarmSeen = 20

// mixRun is a run of the statements of a mix through a classifier.
type mixRun struct {
	*mixResults
	classifier *Classifier
	analyser   sqltext.Analyser
	random     *rand.Rand
	seen       map[int]int // number of statements by the mix's number of the fingerprint
	workSums   [3]float64  // seconds, by declared workload
	workCounts [3]float64
}

// classifyMix classifies statements of a mix, and records their ends if recordEnds is set.
func classifyMix(mix *fakes.Mix, statements int, recordEnds bool) *mixResults {
	run := &mixRun{
		mixResults: &mixResults{missed: map[string]int{}},
		classifier: New(fakes.Workloads(), 1<<20),
		random:     rand.New(rand.NewPCG(5, 5)),
		seen:       map[int]int{},
	}
	for i := range statements {
		item := mix.Next()
		now := time.Duration(i) * 8 * time.Millisecond
		statement := run.analyser.Analyse(item.Text)
		hitsBefore, _ := run.classifier.fingerprints.Counts()
		observation := new(Observation)
		classified := run.classifier.Classify(now, item.Declared, item.Estimate, item.MemoryMB, &statement, observation)
		hitsAfter, _ := run.classifier.fingerprints.Counts()
		run.countFingerprint(item, int(hitsAfter-hitsBefore))
		run.countWorkload(item, classified)
		run.measureWork(item, classified, i > statements/10)
		if recordEnds { // the engines' slowdown varies between 1 and 2, with noise
			slowdown := 1.5 + 0.5*math.Sin(float64(i)/3000)
			elapsed := item.Work.Seconds() / run.classifier.workloads[item.Actual].threads * slowdown * math.Exp(0.15*run.random.NormFloat64())
			run.classifier.RecordEnd(now, observation, time.Duration(elapsed*float64(time.Second)), true, 0)
		}
	}
	return run.mixResults
}

// countFingerprint counts a statement's fingerprint as seen, and whether the classifier had a record of it.
func (r *mixRun) countFingerprint(item fakes.Item, hits int) {
	if item.Fingerprint < 0 {
		return
	}
	if r.seen[item.Fingerprint] > 0 {
		r.recurring++
		r.known += hits
	}
	r.seen[item.Fingerprint]++
}

func (r *mixRun) countWorkload(item fakes.Item, classified Classification) {
	r.confusion[item.Actual][classified.Workload]++
	warm := item.Fingerprint >= 0 && r.seen[item.Fingerprint] > minWarmSeen // seen includes this statement
	right := classified.Workload == item.Actual
	if classified.Workload != item.Declared {
		r.reclassified++
		r.right += countIf(right)
		r.warmReclassified += countIf(warm)
		r.warmRight += countIf(warm && right)
	}
	if item.Declared == item.Actual {
		return
	}
	r.mislabelled++
	r.warmMislabelled += countIf(warm)
	r.warmFound += countIf(warm && right)
	if warm && !right {
		names := fakes.Workloads()
		r.missed[fmt.Sprint(names[item.Actual].Name, " declared ", names[item.Declared].Name, ": ", classified.Reason)]++
	}
}

func countIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// measureWork compares the expected work, the declared work and the mean work of the workload with the actual work.
func (r *mixRun) measureWork(item fakes.Item, classified Classification, measured bool) {
	trueLogWork := math.Log(item.Work.Seconds())
	expected := classified.Work
	if expected == 0 {
		expected = item.Estimate
	}
	if measured {
		r.expectedErrors = append(r.expectedErrors, math.Abs(math.Log(expected.Seconds())-trueLogWork))
		r.declaredErrors = append(r.declaredErrors, math.Abs(math.Log(item.Estimate.Seconds())-trueLogWork))
		if r.workCounts[item.Declared] > 0 {
			r.meanErrors = append(r.meanErrors, math.Abs(math.Log(r.workSums[item.Declared]/r.workCounts[item.Declared])-trueLogWork))
		}
	}
	r.workSums[item.Declared] += item.Work.Seconds()
	r.workCounts[item.Declared]++
}

func quantile(list []float64, q float64) float64 {
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}

func share(a, b int) float64 { return float64(a) / math.Max(1, float64(b)) }

func (t *mixResults) String() string {
	var b strings.Builder
	for w, row := range t.confusion {
		fmt.Fprintf(&b, "%-10s %6d %6d %6d\n", fakes.Workloads()[w].Name, row[0], row[1], row[2])
	}
	fmt.Fprintf(&b, "reclassified %d precision %.4f recall %.3f; warm: precision %.4f recall %.3f (of %d); known %.4f\n", t.reclassified, share(t.right, t.reclassified),
		share(t.right, t.mislabelled), share(t.warmRight, t.warmReclassified), share(t.warmFound, t.warmMislabelled), t.warmMislabelled, share(t.known, t.recurring))
	fmt.Fprintln(&b, "missed, warm:", t.missed)
	for _, e := range []struct {
		name string
		list []float64
	}{{"declared", t.declaredErrors}, {"mean", t.meanErrors}, {"expected", t.expectedErrors}} {
		fmt.Fprintf(&b, "work, |log ratio| %-8s median %.2f p95 %.2f\n", e.name, quantile(e.list, 0.5), quantile(e.list, 0.95))
	}
	return b.String()
}

// TestRecordedMix prints the figures of docs/results.md. Its thresholds are the required ones.
func TestRecordedMix(t *testing.T) {
	const statements = 30_000
	defaults := fakes.MixOptions{RecurringFingerprints: 300, EstimateErrorFactor: 1}
	for _, c := range []struct {
		name              string
		options           fakes.MixOptions
		recordEnds        bool
		precision, recall float64
	}{
		{"warm", defaults, true, 0.995, 0.95},
		{"cold: structure alone, unknown fingerprints", fakes.MixOptions{RecurringFingerprints: 300, EstimateErrorFactor: 1, OtherFingerprints: true}, false, 0.995, 0.6},
		{"estimates off by 5", fakes.MixOptions{RecurringFingerprints: 300, EstimateErrorFactor: 5}, true, 0.995, 0.95},
		{"with one-off fingerprints", fakes.MixOptions{RecurringFingerprints: 300, EstimateErrorFactor: 1, OneOffShare: 0.3}, true, 0.995, 0.95},
		{"nothing mislabelled", fakes.MixOptions{RecurringFingerprints: 300, EstimateErrorFactor: 1, CorrectLabels: true}, true, 0, 0},
		{"work depends on the literal", fakes.MixOptions{RecurringFingerprints: 300, EstimateErrorFactor: 1, CorrectLabels: true, WorkByLiteral: true}, true, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := classifyMix(fakes.NewMix(11, c.options), statements, c.recordEnds)
			t.Logf("\n%s", got)
			if c.options.CorrectLabels {
				assert.Less(t, share(got.reclassified, statements), 0.0005, "correctly labelled statements that were reclassified")
				return
			}
			assert.InDelta(t, 0.05, share(got.mislabelled, statements), 0.01)
			recall := share(got.warmFound, got.warmMislabelled)
			precision := share(got.warmRight, got.warmReclassified)
			if !c.recordEnds {
				recall = share(got.right, got.mislabelled)
				precision = share(got.right, got.reclassified)
			}
			assert.GreaterOrEqual(t, precision, c.precision)
			assert.GreaterOrEqual(t, recall, c.recall)
			if c.recordEnds {
				assert.GreaterOrEqual(t, share(got.known, got.recurring), 0.95, "share of recurring fingerprints with a record")
				assert.LessOrEqual(t, quantile(got.expectedErrors, 0.95), quantile(got.declaredErrors, 0.95)*1.05, "error of the expected work")
			}
		})
	}
}

// BenchmarkAddedLatency reports percentiles of the latency that analysis and classification add to a lookup: to those of
// the mix, and to one of 500 bytes.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFixture()
	mix := fakes.NewMix(11, fakes.MixOptions{RecurringFingerprints: 300, EstimateErrorFactor: 1})
	var texts [][]byte
	for len(texts) < 20_000 {
		if item := mix.Next(); item.Actual == fakes.Lookup {
			texts = append(texts, item.Text)
		}
	}
	for _, c := range []struct {
		name string
		text func(i int) []byte
	}{{"mix", func(i int) []byte { return texts[i%len(texts)] }}, {"500_bytes", func(int) []byte { return []byte(longLookupText) }}} {
		b.Run(c.name, func(b *testing.B) {
			elapsed := make([]float64, 0, b.N)
			observation := new(Observation)
			for i := range b.N {
				text := c.text(i)
				start := time.Now()
				statement := f.analyser.Analyse(text)
				f.Classify(f.now, fakes.Lookup, 100*time.Millisecond, 50, &statement, observation)
				elapsed = append(elapsed, float64(time.Since(start)))
			}
			b.ReportMetric(quantile(elapsed, 0.5), "p50-ns")
			b.ReportMetric(quantile(elapsed, 0.99), "p99-ns")
		})
	}
}
