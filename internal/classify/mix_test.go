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

// tally is what a run over a mix has shown.
type tally struct {
	confusion            [3][3]int // by true workload, treated as
	treated, right       int       // treated as another than declared, of these rightly
	mislabelled          int
	warmMis, warmRight   int // of shapes sighted 20 times before
	warmTreated, warmHit int
	declared, mean, ours []float64      // |log ratio| to the true work
	usual, known         int            // statements of usual shapes after their first, and how many were known
	missed               map[string]int // mislabelled, and not found out, warm
}

// play runs statements of a mix past a classifier, and has their ends teach it, unless nothing is to be learned.
func play(mix *fakes.Mix, n int, learns bool) *tally {
	c, reader := New(fakes.Workloads(), 1<<20), new(sqltext.Analyser)
	t, seen, r := &tally{missed: map[string]int{}}, map[int]int{}, rand.New(rand.NewPCG(5, 5))
	sums, counts := [3]float64{}, [3]float64{}
	for i := range n {
		item := mix.Next()
		now := time.Duration(i) * 8 * time.Millisecond
		built := reader.Analyse(item.Text)
		before, _ := c.shapes.Counts()
		sight := new(Observation)
		v := c.Classify(now, item.Declared, item.Estimate, item.MemoryMB, &built, sight)
		after, _ := c.shapes.Counts()
		t.confusion[item.Actual][v.Workload]++
		warm := item.Shape >= 0 && seen[item.Shape] >= 20
		if item.Shape >= 0 {
			if seen[item.Shape] > 0 {
				t.usual++
				t.known += int(after - before)
			}
			seen[item.Shape]++
		}
		if v.Workload != item.Declared {
			t.treated++
			if warm {
				t.warmTreated++
			}
			if v.Workload == item.Actual {
				t.right++
				if warm {
					t.warmHit++
				}
			}
		}
		if item.Declared != item.Actual {
			t.mislabelled++
			if warm {
				t.warmMis++
				if v.Workload == item.Actual {
					t.warmRight++
				} else {
					t.missed[fmt.Sprint(fakes.Workloads()[item.Actual].Name, " declared ", fakes.Workloads()[item.Declared].Name, ": ", v.Reason)]++
				}
			}
		}
		truth, ours := math.Log(item.Work.Seconds()), v.Work
		if ours == 0 {
			ours = item.Estimate
		}
		if i > n/10 {
			t.ours = append(t.ours, math.Abs(math.Log(ours.Seconds())-truth))
			t.declared = append(t.declared, math.Abs(math.Log(item.Estimate.Seconds())-truth))
			if counts[item.Declared] > 0 {
				t.mean = append(t.mean, math.Abs(math.Log(sums[item.Declared]/counts[item.Declared])-truth))
			}
		}
		sums[item.Declared], counts[item.Declared] = sums[item.Declared]+item.Work.Seconds(), counts[item.Declared]+1
		if learns { // engines are up to twice as slow for a while, and noisy
			slow := 1.5 + 0.5*math.Sin(float64(i)/3000)
			took := item.Work.Seconds() / float64(c.workloads[item.Actual].threads) * slow * math.Exp(0.15*r.NormFloat64())
			c.RecordEnd(now, sight, time.Duration(took*float64(time.Second)), true, 0)
		}
	}
	return t
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
	fmt.Fprintf(&b, "treated %d precision %.4f recall %.3f; warm: precision %.4f recall %.3f (of %d); known %.4f\n", t.treated, share(t.right, t.treated),
		share(t.right, t.mislabelled), share(t.warmHit, t.warmTreated), share(t.warmRight, t.warmMis), t.warmMis, share(t.known, t.usual))
	fmt.Fprintln(&b, "missed, warm:", t.missed)
	for _, e := range []struct {
		name string
		list []float64
	}{{"declared", t.declared}, {"mean", t.mean}, {"ours", t.ours}} {
		fmt.Fprintf(&b, "work, |log ratio| %-8s median %.2f p95 %.2f\n", e.name, quantile(e.list, 0.5), quantile(e.list, 0.95))
	}
	return b.String()
}

// The figures of docs/results.md; the thresholds are those that were asked for.
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
		{"cold, structure alone, shapes never seen", fakes.MixOptions{Shapes: 300, EstimateOff: 1, Mutated: true}, false, 0.995, 0.6},
		{"estimates off by 5", fakes.MixOptions{Shapes: 300, EstimateOff: 5}, true, 0.995, 0.95},
		{"beside one-off shapes", fakes.MixOptions{Shapes: 300, EstimateOff: 1, OneOffs: 0.3}, true, 0.995, 0.95},
		{"nothing mislabelled", fakes.MixOptions{Shapes: 300, EstimateOff: 1, Honest: true}, true, 0, 0},
		{"costs that differ by literal", fakes.MixOptions{Shapes: 300, EstimateOff: 1, Honest: true, Bimodal: true}, true, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := play(fakes.NewMix(11, c.o), n, c.learns)
			t.Logf("\n%s", got)
			if c.o.Honest {
				assert.Less(t, share(got.treated, n), 0.0005, "honest statements treated as others")
				return
			}
			assert.InDelta(t, 0.05, share(got.mislabelled, n), 0.01)
			recall, precision := share(got.warmRight, got.warmMis), share(got.warmHit, got.warmTreated)
			if !c.learns {
				recall, precision = share(got.right, got.mislabelled), share(got.right, got.treated)
			}
			assert.GreaterOrEqual(t, precision, c.precision)
			assert.GreaterOrEqual(t, recall, c.recall)
			if c.learns {
				assert.GreaterOrEqual(t, share(got.known, got.usual), 0.95, "usual shapes known")
				assert.LessOrEqual(t, quantile(got.ours, 0.95), quantile(got.declared, 0.95)*1.05, "error of work")
			}
		})
	}
}

// Added to each lookup of the mix, and to one of 500 bytes: percentiles of single calls, text to verdict.
func BenchmarkAddedLatency(b *testing.B) {
	bed, mix := newBed(), fakes.NewMix(11, fakes.MixOptions{Shapes: 300, EstimateOff: 1})
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
			took, sight := make([]float64, 0, b.N), new(Observation)
			for i := range b.N {
				text := c.text(i)
				began := time.Now()
				built := bed.reader.Analyse(text)
				bed.Classify(bed.now, fakes.Lookup, 100*time.Millisecond, 50, &built, sight)
				took = append(took, float64(time.Since(began)))
			}
			b.ReportMetric(quantile(took, 0.5), "p50-ns")
			b.ReportMetric(quantile(took, 0.99), "p99-ns")
		})
	}
}
