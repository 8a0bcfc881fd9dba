// Package shapes remembers what statements of one shape have shown: how long they ran, against their estimate too, what
// memory they needed, and how each declared workload fared among them. Only ends of executions teach; what is
// kept is bounded in bytes, and shapes seen once do not push out usual ones. It decides nothing and knows no clock.
package fingerprint

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/VividCortex/gohistogram"
	"github.com/vmihailenco/go-tinylfu"
)

const (
	// RecordBytes is what one record with all its parts takes at most, with its place in the cache.
	RecordBytes = 2300
	// RecentRuns is how many of the last runs are kept as they are.
	RecentRuns = 9

	bins       = 12 // of a sketch
	generation = 48 // values, after which a sketch's older half is forgotten
	leastSize  = 16
	samples    = 10                // times the size: accesses after which frequencies are halved
	halfLife   = time.Hour         // unseen so long, a shape's knowledge counts half
	farOff     = 0.7               // of natural logarithm: a factor of 2
	mostCells  = 16                // workloads told apart
	leastRuns  = 1.0 / 1000 / 1000 // seconds: nothing is shorter
)

// Sketch is a distribution of natural logarithms: two generations of a streaming histogram, of which the older is
// forgotten when the younger is full. Percentiles are worked out when a value is added: they are read far more often.
type Sketch struct {
	young, old *gohistogram.NumericHistogram
	n          float64
	at         [len(percentiles)]float32
}

// percentiles are those that can be asked for.
var percentiles = [...]float64{0.1, 0.5, 0.75, 0.8, 0.9}

// Add takes a value; one that is no number is passed over.
func (s *Sketch) Add(v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return
	}
	if s.young == nil {
		s.young = gohistogram.NewHistogram(bins)
	}
	s.young.Add(v)
	young, old := s.young.Count(), 0.0
	if s.old != nil {
		old = s.old.Count()
	}
	s.n = young + old
	for i, q := range percentiles {
		v := young * s.young.Quantile(q)
		if old > 0 {
			v += old * s.old.Quantile(q)
		}
		s.at[i] = float32(v / s.n)
	}
	if young >= generation {
		s.young, s.old = nil, s.young
		s.n = young
	}
}

// N is how many values it holds.
func (s *Sketch) N() float64 { return s.n }

// Quantile is the value below which a share q of the values lies, one of percentiles; 0 if there are no values.
func (s *Sketch) Quantile(q float64) float64 {
	for i, p := range percentiles {
		if p == q {
			return float64(s.at[i])
		}
	}
	panic("shapes: a percentile that is not kept")
}

// Spread is the standard deviation that a normal distribution with the same 10th and 90th percentiles has.
func (s *Sketch) Spread() float64 { return (s.Quantile(0.9) - s.Quantile(0.1)) / 2.563 }

// Recent holds the last few values.
type RecentRunTimes struct {
	n  uint32
	at [RecentRuns]float32
}

// Add takes a value in place of the oldest.
func (r *RecentRunTimes) Add(v float64) {
	r.at[r.n%RecentRuns] = float32(v)
	r.n++
}

// N is how many values came in all.
func (r *RecentRunTimes) N() int { return int(r.n) }

// Full tells whether there are as many as are kept.
func (r *RecentRunTimes) Full() bool { return r.n >= RecentRuns }

// sorted is the values kept, the least first, and how many there are.
func (r *RecentRunTimes) sorted() (kept [RecentRuns]float32, n int) {
	kept, n = r.at, min(int(r.n), RecentRuns)
	for i := 1; i < n; i++ { // so few are sorted fastest by hand, and without a slice that escapes
		for j := i; j > 0 && kept[j] < kept[j-1]; j-- {
			kept[j], kept[j-1] = kept[j-1], kept[j]
		}
	}
	return kept, n
}

// Median is the middle one; 0 if there is none.
func (r *RecentRunTimes) Median() float64 {
	if r.n == 0 {
		return 0
	}
	sorted, n := r.sorted()
	return float64(sorted[n/2])
}

// High is one that nearly all lie below: the second highest of a full row.
func (r *RecentRunTimes) High() float64 {
	if r.n == 0 {
		return 0
	}
	sorted, n := r.sorted()
	return float64(sorted[max(0, n-2)])
}

// Spread is the standard deviation that the inner seven of nine values speak for.
func (r *RecentRunTimes) Spread() float64 {
	sorted, n := r.sorted()
	if n < RecentRuns {
		return 0
	}
	return float64(sorted[RecentRuns-2]-sorted[1]) / 2.0
}

// Record is what one shape has shown. All values are natural logarithms.
type Record struct {
	Run          Sketch // seconds, on an idle engine
	Ratio        Sketch // run over the declared estimate
	Memory       Sketch // memory needed over the declared estimate
	LabelCounted bool   // what it says of labels has been counted

	seen  time.Duration
	last  RecentRunTimes
	cells []RecentRunTimes // by declared workload
	then  [2]bounds        // of all runs, up to 9 and up to 18 runs ago: what has changed since does not blur them
}

// bounds are the 10th, 50th and 90th percentiles of so many runs.
type bounds struct{ low, middle, high, n float64 }

// Cell is what statements of this shape declared as a workload have shown; nil: nothing.
func (r *Record) RunTimesOf(workload int) *RecentRunTimes {
	if r == nil || workload >= len(r.cells) || r.cells[workload].n == 0 {
		return nil
	}
	return &r.cells[workload]
}

// Runs is how many runs it counts for at a time: half as many for each hour in which it was not seen.
func (r *Record) Runs(now time.Duration) float64 {
	if r == nil {
		return 0
	}
	return r.Run.N() * math.Exp2(-float64(max(0, now-r.seen))/float64(halfLife))
}

// Ran teaches one run: of a declared workload, so many seconds long, over its estimate in seconds where there is one.
// It tells whether the shape's behaviour has changed: eight of its last nine runs lie on one side of nearly all before.
// Then what was known before them is forgotten.
func (r *Record) AddRun(now time.Duration, workload int, seconds, estimate float64) (changed bool) {
	v := math.Log(max(seconds, leastRuns))
	r.seen = now
	if workload < mostCells {
		for len(r.cells) <= workload {
			r.cells = append(r.cells, RecentRunTimes{})
		}
		r.cells[workload].Add(v)
	}
	if r.last.N()%RecentRuns == 0 {
		r.then = [2]bounds{{r.Run.Quantile(0.1), r.Run.Quantile(0.5), r.Run.Quantile(0.9), r.Run.N()}, r.then[0]}
	}
	r.Run.Add(v)
	if estimate > 0 {
		r.Ratio.Add(v - math.Log(estimate))
	}
	was := r.then[1]
	if r.last.Add(v); !r.last.Full() || was.n < RecentRuns {
		return false
	}
	sorted, _ := r.last.sorted()
	up := float64(sorted[1]) > max(was.high, was.middle+farOff)
	down := float64(sorted[RecentRuns-2]) < min(was.low, was.middle-farOff)
	if !up && !down {
		return false
	}
	r.Run, r.Ratio, r.Memory, r.cells = Sketch{}, Sketch{}, Sketch{}, nil
	for _, old := range sorted {
		r.Run.Add(float64(old))
	}
	r.last, r.then, r.LabelCounted = RecentRunTimes{}, [2]bounds{}, false
	return true
}

// Cache holds the records of the shapes that are met most.
type Cache struct {
	size         int
	lfu          *tinylfu.T
	hits, misses int64
	key          [8]byte
}

// NewCache makes a cache of so many bytes.
func NewCache(bytes int64) *Cache {
	size := max(leastSize, int(bytes/RecordBytes))
	return &Cache{size: size, lfu: tinylfu.New(size, samples*size)}
}

// Size is how many shapes it holds at most.
func (c *Cache) Size() int { return c.size }

// Counts is how often a shape that was met was known, and how often not.
func (c *Cache) Counts() (hits, misses int64) { return c.hits, c.misses }

// Met notes that a statement of a shape has come, and returns what is known of the shape, or nil.
func (c *Cache) Lookup(shape uint64) *Record {
	binary.LittleEndian.PutUint64(c.key[:], shape)
	if found, ok := c.lfu.Get(string(c.key[:])); ok {
		c.hits++
		return found.(*Record)
	}
	c.misses++
	return nil
}

// Learns returns the record of a shape of which a run ended, a new one if need be. Whether that one stays is decided
// by how often its shape is met against the one that it would push out.
func (c *Cache) RecordFor(shape uint64) *Record {
	binary.LittleEndian.PutUint64(c.key[:], shape)
	if found, ok := c.lfu.Get(string(c.key[:])); ok {
		return found.(*Record)
	}
	r := &Record{}
	c.lfu.Set(&tinylfu.Item{Key: string(c.key[:]), Value: r})
	return r
}
