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

// tally holds the results of a run over a mix.
type tally struct {
	confusion                   [3][3]int // by true workload and the one that it was treated as
	reclassified, right         int       // of those reclassified, how many rightly
	mislabelled                 int
	warmMislabelled, warmFound  int // of fingerprints seen 20 times before
	warmReclassified, warmRight int
	usual, known                int       // statements of usual fingerprints after their first, and how many were known
	declaredErrors              []float64 // |log ratio| to the true work
	meanErrors, ownErrors       []float64
	missed                      map[string]int // mislabelled, warm and not found out
}

// minWarmSeen is how often a fingerprint was seen before that counts as warm.
const minWarmSeen = 20

// mixRun runs statements of a mix past a classifier.
type mixRun struct {
	*tally
	classifier *Classifier
	analyser   sqltext.Analyser
	random     *rand.Rand
	seen       map[int]int // by the mix's number of the fingerprint
	workSums   [3]float64  // seconds, by declared workload
	workCounts [3]float64
}

// play runs statements of a mix past a classifier, and records their ends if learns is set.
func play(mix *fakes.Mix, statements int, learns bool) *tally {
	run := &mixRun{
		tally:      &tally{missed: map[string]int{}},
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
		if learns { // engines are up to twice as slow for a while, and noisy
			slowdown := 1.5 + 0.5*math.Sin(float64(i)/3000)
			took := item.Work.Seconds() / run.classifier.workloads[item.Actual].threads * slowdown * math.Exp(0.15*run.random.NormFloat64())
			run.classifier.RecordEnd(now, observation, time.Duration(took*float64(time.Second)), true, 0)
		}
	}
	return run.tally
}

// countFingerprint counts whether a statement's fingerprint was known, and that it was seen.
func (r *mixRun) countFingerprint(item fakes.Item, hits int) {
	if item.Shape < 0 {
		return
	}
	if r.seen[item.Shape] > 0 {
		r.usual++
		r.known += hits
	}
	r.seen[item.Shape]++
}

func (r *mixRun) countWorkload(item fakes.Item, classified Classification) {
	r.confusion[item.Actual][classified.Workload]++
	warm := item.Shape >= 0 && r.seen[item.Shape] > minWarmSeen // this time included
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

// measureWork compares the expected work with the true one, beside the declared work and the mean of the workload.
func (r *mixRun) measureWork(item fakes.Item, classified Classification, counts bool) {
	truth := math.Log(item.Work.Seconds())
	expected := classified.Work
	if expected == 0 {
		expected = item.Estimate
	}
	if counts {
		r.ownErrors = append(r.ownErrors, math.Abs(math.Log(expected.Seconds())-truth))
		r.declaredErrors = append(r.declaredErrors, math.Abs(math.Log(item.Estimate.Seconds())-truth))
		if r.workCounts[item.Declared] > 0 {
			r.meanErrors = append(r.meanErrors, math.Abs(math.Log(r.workSums[item.Declared]/r.workCounts[item.Declared])-truth))
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

func (t *tally) String() string {
	var b strings.Builder
	for w, row := range t.confusion {
		fmt.Fprintf(&b, "%-10s %6d %6d %6d\n", fakes.Workloads()[w].Name, row[0], row[1], row[2])
	}
	fmt.Fprintf(&b, "reclassified %d precision %.4f recall %.3f; warm: precision %.4f recall %.3f (of %d); known %.4f\n", t.reclassified, share(t.right, t.reclassified),
		share(t.right, t.mislabelled), share(t.warmRight, t.warmReclassified), share(t.warmFound, t.warmMislabelled), t.warmMislabelled, share(t.known, t.usual))
	fmt.Fprintln(&b, "missed, warm:", t.missed)
	for _, e := range []struct {
		name string
		list []float64
	}{{"declared", t.declaredErrors}, {"mean", t.meanErrors}, {"own", t.ownErrors}} {
		fmt.Fprintf(&b, "work, |log ratio| %-8s median %.2f p95 %.2f\n", e.name, quantile(e.list, 0.5), quantile(e.list, 0.95))
	}
	return b.String()
}

// The figures of docs/results.md; the thresholds are the required ones.
func TestRecordedMix(t *testing.T) {
	const n = 30_000
	usual := fakes.MixOptions{Shapes: 300, EstimateOff: 1}
	for _, c := range []struct {
		name              string
		o                 fakes.MixOptions
		learns            bool
		precision, recall float64
	}{
		{"warm", usual, true, 0.995, 0.95},
		{"cold, structure alone, fingerprints never seen", fakes.MixOptions{Shapes: 300, EstimateOff: 1, Mutated: true}, false, 0.995, 0.6},
		{"estimates off by 5", fakes.MixOptions{Shapes: 300, EstimateOff: 5}, true, 0.995, 0.95},
		{"beside one-off fingerprints", fakes.MixOptions{Shapes: 300, EstimateOff: 1, OneOffs: 0.3}, true, 0.995, 0.95},
		{"nothing mislabelled", fakes.MixOptions{Shapes: 300, EstimateOff: 1, Honest: true}, true, 0, 0},
		{"costs that differ by literal", fakes.MixOptions{Shapes: 300, EstimateOff: 1, Honest: true, Bimodal: true}, true, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := play(fakes.NewMix(11, c.o), n, c.learns)
			t.Logf("\n%s", got)
			if c.o.Honest {
				assert.Less(t, share(got.reclassified, n), 0.0005, "honest statements treated as others")
				return
			}
			assert.InDelta(t, 0.05, share(got.mislabelled, n), 0.01)
			recall := share(got.warmFound, got.warmMislabelled)
			precision := share(got.warmRight, got.warmReclassified)
			if !c.learns {
				recall = share(got.right, got.mislabelled)
				precision = share(got.right, got.reclassified)
			}
			assert.GreaterOrEqual(t, precision, c.precision)
			assert.GreaterOrEqual(t, recall, c.recall)
			if c.learns {
				assert.GreaterOrEqual(t, share(got.known, got.usual), 0.95, "usual fingerprints known")
				assert.LessOrEqual(t, quantile(got.ownErrors, 0.95), quantile(got.declaredErrors, 0.95)*1.05, "error of work")
			}
		})
	}
}

// Added to each lookup of the mix, and to one of 500 bytes: percentiles of single calls, text to classification.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFixture()
	mix := fakes.NewMix(11, fakes.MixOptions{Shapes: 300, EstimateOff: 1})
	var texts [][]byte
	for len(texts) < 20_000 {
		if item := mix.Next(); item.Actual == fakes.Lookup {
			texts = append(texts, item.Text)
		}
	}
	for _, c := range []struct {
		name string
		text func(i int) []byte
	}{{"mix", func(i int) []byte { return texts[i%len(texts)] }}, {"500_bytes", func(int) []byte { return []byte(long) }}} {
		b.Run(c.name, func(b *testing.B) {
			took := make([]float64, 0, b.N)
			observation := new(Observation)
			for i := range b.N {
				text := c.text(i)
				began := time.Now()
				statement := f.reader.Analyse(text)
				f.Classify(f.now, fakes.Lookup, 100*time.Millisecond, 50, &statement, observation)
				took = append(took, float64(time.Since(began)))
			}
			b.ReportMetric(quantile(took, 0.5), "p50-ns")
			b.ReportMetric(quantile(took, 0.99), "p99-ns")
		})
	}
}
