package fingerprint

import (
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// recurringFingerprints is the number of fingerprints that occur repeatedly in a trace; they have the lowest numbers.
const recurringFingerprints = 300

// newTrace returns accesses to the recurring fingerprints, distributed by Zipf's law, and a share of accesses to
// fingerprints that occur only once.
func newTrace(accesses int, oneOffShare float64) []uint64 {
	random := rand.New(rand.NewPCG(3, 3))
	zipf := rand.NewZipf(random, 1.1, 5, recurringFingerprints-1)
	trace := make([]uint64, accesses)
	for i := range trace {
		trace[i] = zipf.Uint64()
		if random.Float64() < oneOffShare {
			trace[i] = 1000 + uint64(i)
		}
	}
	return trace
}

// hashOf returns the fingerprint of a number in a trace. Like a hash, it uses all bits.
func hashOf(number uint64) uint64 { return (number + 1) * 0x9E3779B97F4A7C15 }

// cacheUnderTest is a cache to measure: get returns a fingerprint's record, or nil, and add adds a new one.
type cacheUnderTest struct {
	get func(uint64) *Record
	add func(uint64)
}

func cachesUnderTest() map[string]func() cacheUnderTest {
	const bytes = 1 << 20
	return map[string]func() cacheUnderTest{
		"tinylfu": func() cacheUnderTest {
			c := NewCache(bytes)
			return cacheUnderTest{c.Lookup, func(k uint64) { c.RecordFor(k).AddRun(0, 0, 1, 1) }}
		},
		"lru": func() cacheUnderTest {
			c, _ := simplelru.NewLRU[uint64, *Record](bytes/RecordBytes, nil)
			return cacheUnderTest{func(k uint64) *Record { r, _ := c.Get(k); return r }, func(k uint64) {
				r := &Record{}
				r.AddRun(0, 0, 1, 1)
				c.Add(k, r)
			}}
		},
		"unbounded": func() cacheUnderTest {
			m := map[uint64]*Record{}
			return cacheUnderTest{func(k uint64) *Record { return m[k] }, func(k uint64) {
				r := &Record{}
				r.AddRun(0, 0, 1, 1)
				m[k] = r
			}}
		},
	}
}

// hitRate accesses a cache as the trace says, and returns the share of accesses to recurring fingerprints that found a
// record.
func hitRate(s cacheUnderTest, trace []uint64) float64 {
	found, recurring := 0, 0
	for _, number := range trace {
		fingerprint := hashOf(number)
		record := s.get(fingerprint)
		if number < recurringFingerprints {
			recurring++
			if record != nil {
				found++
			}
		}
		if record == nil {
			s.add(fingerprint)
		}
	}
	return float64(found) / float64(recurring)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A million fingerprints that occur only once neither evict the recurring ones nor make the cache outgrow its bound.
func TestFloodOfOneOffs(t *testing.T) {
	accesses := 1_250_000 // four of five are one-offs
	if testing.Short() {
		accesses /= 10
	}
	flood := newTrace(accesses, 0.8)
	recurringOnly := newTrace(30_000, 0)
	for name, newCache := range cachesUnderTest() {
		s := newCache()
		before := heapBytes()
		start := time.Now()
		rate := hitRate(s, flood)
		elapsed := time.Since(start)
		growth := heapBytes() - min(before, heapBytes())
		t.Logf("%-10s hit rate of recurring fingerprints: %.4f with one-offs, %.4f without; %d kB, %v per access", name, rate, hitRate(newCache(), recurringOnly), growth>>10, elapsed/time.Duration(accesses))
		if name == "tinylfu" {
			assert.GreaterOrEqual(t, rate, 0.95)
			assert.GreaterOrEqual(t, hitRate(newCache(), recurringOnly), 0.98)
			assert.Less(t, growth, uint64(3<<20/2))
		}
		runtime.KeepAlive(s)
	}
}

// The memory of a full cache stays below RecordBytes per record.
func TestRecordBytes(t *testing.T) {
	before := heapBytes()
	c := NewCache(4 << 20)
	r := rand.New(rand.NewPCG(1, 1))
	for range 60 * c.Size() {
		fingerprint := hashOf(uint64(r.IntN(c.Size())))
		c.Lookup(fingerprint)
		rec := c.RecordFor(fingerprint)
		rec.AddRun(0, r.IntN(3), math.Exp(r.NormFloat64()), 1)
		rec.MemoryRatio.Add(r.NormFloat64())
	}
	bytesPerRecord := float64(heapBytes()-before) / float64(c.Size())
	t.Logf("%.0f bytes per fingerprint", bytesPerRecord)
	assert.Less(t, bytesPerRecord, float64(RecordBytes))
	runtime.KeepAlive(c)
}

func TestSketch(t *testing.T) {
	var s Sketch
	assert.Zero(t, s.Quantile(0.5))
	s.Add(math.NaN())
	s.Add(math.Inf(1))
	assert.Zero(t, s.N())
	r := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		s.Add(-3 + 0.5*r.NormFloat64())
	}
	assert.InDelta(t, -3, s.Quantile(0.5), 0.2)
	assert.InDelta(t, 0.5, s.Spread(), 0.2)
	for range 2 * generationSize {
		s.Add(2)
	}
	assert.Equal(t, 2.0, s.Quantile(0.1), "values two generations old are dropped")
}

func TestRecord(t *testing.T) {
	t.Run("nil and empty records", func(t *testing.T) {
		var r *Record
		assert.Zero(t, r.DecayedRuns(0))
		assert.Nil(t, r.RunTimesOf(0))
		assert.Nil(t, (&Record{}).RunTimesOf(3))
	})
	t.Run("a change is detected within nine runs, and none where run times do not change", func(t *testing.T) {
		r := rand.New(rand.NewPCG(2, 2))
		for _, c := range []struct {
			name   string
			factor float64
		}{{"slower", 8}, {"faster", 0.1}, {"slightly slower", 1.3}, {"unchanged", 1}} {
			for range 200 {
				rec := &Record{}
				detectedAfter := 0
				earlierRuns := 30 + r.IntN(70)
				for i := range earlierRuns + 50 {
					seconds := math.Exp(0.4 * r.NormFloat64())
					if i >= earlierRuns {
						seconds *= c.factor
					}
					changed := rec.AddRun(time.Duration(i), 0, seconds, 1)
					require.False(t, changed && i < earlierRuns, "detected a change before there was one")
					if changed && detectedAfter == 0 {
						detectedAfter = i - earlierRuns + 1
					}
				}
				if c.factor == 8 || c.factor == 0.1 {
					require.NotZero(t, detectedAfter, c.name)
					require.LessOrEqual(t, detectedAfter, MaxRecentRuns, c.name)
					require.InDelta(t, math.Log(c.factor), rec.RunTime.Quantile(0.5), 0.5, "earlier run times are dropped")
				} else {
					require.Zero(t, detectedAfter, c.name)
				}
			}
		}
	})
	t.Run("the number of runs is halved for each hour without a run", func(t *testing.T) {
		rec := &Record{}
		for range 16 {
			rec.AddRun(time.Hour, 0, 1, 0)
		}
		assert.Equal(t, []float64{16, 8, 4}, []float64{rec.DecayedRuns(time.Hour), rec.DecayedRuns(2 * time.Hour), rec.DecayedRuns(3 * time.Hour)})
	})
	t.Run("workloads from maxWorkloads on are only added to the statistics of all workloads", func(t *testing.T) {
		rec := &Record{}
		rec.AddRun(0, maxWorkloads, 1, 1)
		rec.AddRun(0, 1<<30, math.Inf(1), 0)
		assert.Nil(t, rec.RunTimesOf(maxWorkloads))
		assert.Equal(t, 1.0, rec.RunTime.N())
	})
}

func BenchmarkLookup(b *testing.B) {
	recurringOnly := newTrace(30_000, 0)
	for name, newCache := range cachesUnderTest() {
		b.Run(name, func(b *testing.B) {
			s := newCache()
			hitRate(s, recurringOnly)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				s.get(hashOf(recurringOnly[i%len(recurringOnly)]))
				i++
			}
		})
	}
}

func BenchmarkAddRun(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 1))
	rec := &Record{}
	b.ReportAllocs()
	for b.Loop() {
		rec.AddRun(0, 0, math.Exp(r.NormFloat64()), 1)
	}
}
