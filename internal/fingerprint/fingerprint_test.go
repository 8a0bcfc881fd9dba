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

// usualFingerprints is how many fingerprints of a trace occur repeatedly; they have the lowest numbers.
const usualFingerprints = 300

// newTrace returns accesses to the usual fingerprints by Zipf's law, with a share of fingerprints that occur once.
func newTrace(accesses int, oneOffShare float64) []uint64 {
	random := rand.New(rand.NewPCG(3, 3))
	zipf := rand.NewZipf(random, 1.1, 5, usualFingerprints-1)
	trace := make([]uint64, accesses)
	for i := range trace {
		trace[i] = zipf.Uint64()
		if random.Float64() < oneOffShare {
			trace[i] = 1000 + uint64(i)
		}
	}
	return trace
}

// hashOf spreads a trace's numbers over all bits, as fingerprints are.
func hashOf(number uint64) uint64 { return (number + 1) * 0x9E3779B97F4A7C15 }

// store is a cache to measure: it returns a fingerprint's record, or nil, and adds a new one.
type store struct {
	get func(uint64) *Record
	add func(uint64)
}

func stores() map[string]func() store {
	const bytes = 1 << 20
	return map[string]func() store{
		"tinylfu": func() store {
			c := NewCache(bytes)
			return store{c.Lookup, func(k uint64) { c.RecordFor(k).AddRun(0, 0, 1, 1) }}
		},
		"lru": func() store {
			c, _ := simplelru.NewLRU[uint64, *Record](bytes/RecordBytes, nil)
			return store{func(k uint64) *Record { r, _ := c.Get(k); return r }, func(k uint64) {
				r := &Record{}
				r.AddRun(0, 0, 1, 1)
				c.Add(k, r)
			}}
		},
		"unbounded": func() store {
			m := map[uint64]*Record{}
			return store{func(k uint64) *Record { return m[k] }, func(k uint64) {
				r := &Record{}
				r.AddRun(0, 0, 1, 1)
				m[k] = r
			}}
		},
	}
}

// hitRate plays a trace and returns the share of accesses to usual fingerprints that found a record.
func hitRate(s store, trace []uint64) float64 {
	found, usual := 0, 0
	for _, number := range trace {
		fingerprint := hashOf(number)
		record := s.get(fingerprint)
		if number < usualFingerprints {
			usual++
			if record != nil {
				found++
			}
		}
		if record == nil {
			s.add(fingerprint)
		}
	}
	return float64(found) / float64(usual)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A flood of a million fingerprints that occur once does not evict the usual ones, and does not grow the cache.
func TestFloodOfOneOffs(t *testing.T) {
	n := 1_250_000 // four of five are one-offs
	if testing.Short() {
		n /= 10
	}
	flood := newTrace(n, 0.8)
	calm := newTrace(30_000, 0)
	for name, open := range stores() {
		s := open()
		before := heapBytes()
		began := time.Now()
		rate := hitRate(s, flood)
		took := time.Since(began)
		grown := heapBytes() - min(before, heapBytes())
		t.Logf("%-10s usual fingerprints found under the flood %.4f, calm %.4f, %d kB, %v an access", name, rate, hitRate(open(), calm), grown>>10, took/time.Duration(n))
		if name == "tinylfu" {
			assert.GreaterOrEqual(t, rate, 0.95)
			assert.GreaterOrEqual(t, hitRate(open(), calm), 0.98)
			assert.Less(t, grown, uint64(3<<20/2))
		}
		runtime.KeepAlive(s)
	}
}

// A full cache uses the memory that its size in bytes states.
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
	each := float64(heapBytes()-before) / float64(c.Size())
	t.Logf("%.0f bytes a fingerprint", each)
	assert.Less(t, each, float64(RecordBytes))
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
	t.Run("nothing is known of none", func(t *testing.T) {
		var r *Record
		assert.Zero(t, r.DecayedRuns(0))
		assert.Nil(t, r.RunTimesOf(0))
		assert.Nil(t, (&Record{}).RunTimesOf(3))
	})
	t.Run("a change is noticed within nine runs, and never where there is none", func(t *testing.T) {
		r := rand.New(rand.NewPCG(2, 2))
		for _, c := range []struct {
			name   string
			factor float64
		}{{"slower", 8}, {"faster", 0.1}, {"a little slower", 1.3}, {"the same", 1}} {
			for range 200 {
				rec := &Record{}
				noticed := 0
				before := 30 + r.IntN(70)
				for i := range before + 50 {
					seconds := math.Exp(0.4 * r.NormFloat64())
					if i >= before {
						seconds *= c.factor
					}
					changed := rec.AddRun(time.Duration(i), 0, seconds, 1)
					require.False(t, changed && i < before, "where nothing changed")
					if changed && noticed == 0 {
						noticed = i - before + 1
					}
				}
				if c.factor == 8 || c.factor == 0.1 {
					require.NotZero(t, noticed, c.name)
					require.LessOrEqual(t, noticed, MaxRecentRuns, c.name)
					require.InDelta(t, math.Log(c.factor), rec.RunTime.Quantile(0.5), 0.5, "what was before is forgotten")
				} else {
					require.Zero(t, noticed, c.name)
				}
			}
		}
	})
	t.Run("knowledge fades unseen", func(t *testing.T) {
		rec := &Record{}
		for range 16 {
			rec.AddRun(time.Hour, 0, 1, 0)
		}
		assert.Equal(t, []float64{16, 8, 4}, []float64{rec.DecayedRuns(time.Hour), rec.DecayedRuns(2 * time.Hour), rec.DecayedRuns(3 * time.Hour)})
	})
	t.Run("workloads beyond those told apart teach the fingerprint all the same", func(t *testing.T) {
		rec := &Record{}
		rec.AddRun(0, maxWorkloads, 1, 1)
		rec.AddRun(0, 1<<30, math.Inf(1), 0)
		assert.Nil(t, rec.RunTimesOf(maxWorkloads))
		assert.Equal(t, 1.0, rec.RunTime.N())
	})
}

func BenchmarkLookup(b *testing.B) {
	calm := newTrace(30_000, 0)
	for name, open := range stores() {
		b.Run(name, func(b *testing.B) {
			s := open()
			hitRate(s, calm)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				s.get(hashOf(calm[i%len(calm)]))
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
