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

// trace is accesses to 300 usual shapes by Zipf, with a share of shapes that come once; usual ones are below 300.
func trace(n int, oneOff float64) []uint64 {
	r := rand.New(rand.NewPCG(3, 3))
	zipf := rand.NewZipf(r, 1.1, 5, 299)
	list := make([]uint64, n)
	for i := range list {
		if list[i] = zipf.Uint64(); r.Float64() < oneOff {
			list[i] = 1000 + uint64(i)
		}
	}
	return list
}

func spread(shape uint64) uint64 { return (shape + 1) * 0x9E3779B97F4A7C15 }

// store is a cache to measure: it returns a shape's record, or nil, and takes a new one.
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

// hits plays a trace and returns the share of usual shapes that were known, and those after their first sight.
func hits(s store, trace []uint64) float64 {
	known, usual := 0, 0
	for _, shape := range trace {
		k := spread(shape)
		r := s.get(k)
		if shape < 300 {
			if usual++; r != nil {
				known++
			}
		}
		if r == nil {
			s.add(k)
		}
	}
	return float64(known) / float64(usual)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A flood of a million shapes that come once does not push out the usual ones, nor grow.
func TestFloodOfOneOffs(t *testing.T) {
	n := 1_250_000 // four of five are one-offs
	if testing.Short() {
		n /= 10
	}
	flood, calm := trace(n, 0.8), trace(30_000, 0)
	for name, open := range stores() {
		s, before := open(), heap()
		began := time.Now()
		rate := hits(s, flood)
		took, grown := time.Since(began), heap()-min(before, heap())
		t.Logf("%-10s usual shapes known under the flood %.4f, calm %.4f, %d kB, %v an access", name, rate, hits(open(), calm), grown>>10, took/time.Duration(n))
		if name == "tinylfu" {
			assert.GreaterOrEqual(t, rate, 0.95)
			assert.GreaterOrEqual(t, hits(open(), calm), 0.98)
			assert.Less(t, grown, uint64(3<<20/2))
		}
		runtime.KeepAlive(s)
	}
}

// What a full cache holds is what its size in bytes says.
func TestRecordBytes(t *testing.T) {
	before := heap()
	c := NewCache(4 << 20)
	r := rand.New(rand.NewPCG(1, 1))
	for range 60 * c.Size() {
		shape := spread(uint64(r.IntN(c.Size())))
		c.Lookup(shape)
		rec := c.RecordFor(shape)
		rec.AddRun(0, r.IntN(3), math.Exp(r.NormFloat64()), 1)
		rec.Memory.Add(r.NormFloat64())
	}
	each := float64(heap()-before) / float64(c.Size())
	t.Logf("%.0f bytes a shape", each)
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
	for range 2 * generation {
		s.Add(2)
	}
	assert.Equal(t, 2.0, s.Quantile(0.1), "what is two generations old is forgotten")
}

func TestRecord(t *testing.T) {
	t.Run("nothing is known of none", func(t *testing.T) {
		var r *Record
		assert.Zero(t, r.Runs(0))
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
				rec, noticed, before := &Record{}, 0, 30+r.IntN(70)
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
					require.LessOrEqual(t, noticed, RecentRuns, c.name)
					require.InDelta(t, math.Log(c.factor), rec.Run.Quantile(0.5), 0.5, "what was before is forgotten")
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
		assert.Equal(t, []float64{16, 8, 4}, []float64{rec.Runs(time.Hour), rec.Runs(2 * time.Hour), rec.Runs(3 * time.Hour)})
	})
	t.Run("workloads beyond those told apart teach the shape all the same", func(t *testing.T) {
		rec := &Record{}
		rec.AddRun(0, mostCells, 1, 1)
		rec.AddRun(0, 1<<30, math.Inf(1), 0)
		assert.Nil(t, rec.RunTimesOf(mostCells))
		assert.Equal(t, 1.0, rec.Run.N())
	})
}

func BenchmarkMet(b *testing.B) {
	calm := trace(30_000, 0)
	for name, open := range stores() {
		b.Run(name, func(b *testing.B) {
			s := open()
			hits(s, calm)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				s.get(spread(calm[i%len(calm)]))
				i++
			}
		})
	}
}

func BenchmarkRan(b *testing.B) {
	r, rec := rand.New(rand.NewPCG(1, 1)), &Record{}
	b.ReportAllocs()
	for b.Loop() {
		rec.AddRun(0, 0, math.Exp(r.NormFloat64()), 1)
	}
}
