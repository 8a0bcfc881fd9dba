package shed

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func marks() Marks {
	return Marks{Full: 0.9, Worst: 1.5, Late: 0.1, Rise: 0.5, Fall: 0.1, Period: time.Second, Epoch: 20 * time.Second, Learn: 0.05}
}

func TestOrder(t *testing.T) {
	for name, c := range map[string]struct {
		ranks []Rank
		bands []int
	}{
		"none":                     {nil, []int{}},
		"importance for work":      {[]Rank{{Importance: 1, Work: 0.1}, {Importance: 7, Work: 3}, {Importance: 10, Work: 2}}, []int{2, 0, 1}},
		"beyond its share, first":  {[]Rank{{Importance: 1, Work: 1}, {OverShare: true, Importance: 100, Work: 0.1}}, []int{1, 0}},
		"equals as they are named": {[]Rank{{Importance: 1, Work: 1}, {Importance: 1, Work: 1}}, []int{0, 1}},
		"no work is known":         {[]Rank{{Importance: 1}, {Importance: 2}}, []int{0, 1}},
	} {
		assert.Equal(t, c.bands, Order(c.ranks), name)
	}
}

// The level rises only while engines are full and answers late, holds between the marks, falls slowly, and falls for who sees nothing.
func TestLevel(t *testing.T) {
	l := Level{Marks: marks(), Bands: 3}
	now := time.Duration(0)
	pass := func(seconds int, full float64, inTime bool) float64 {
		for range seconds {
			for range 20 {
				if full >= 0 {
					l.Sees(full)
				}
				l.Answered(inTime)
			}
			now += time.Second
			l.Pass(now)
		}
		return l.At()
	}
	assert.Zero(t, pass(10, 0.5, true), "room")
	assert.Zero(t, pass(10, 1.2, true), "full, and all in time")
	assert.Zero(t, pass(10, 0.5, false), "late, and engines have room: it is not their load")
	assert.InDelta(t, 1.5, pass(8, 1.2, false), 0.2, "half way up the line")
	assert.InDelta(t, 1.5, pass(8, 1.2, true), 0.2, "in time again because of it: it holds")
	held := l.At()
	assert.InDelta(t, held-2*0.1, pass(2, 0.3, true), 0.06, "slowly")
	assert.Zero(t, pass(60, -1, true), "nothing is seen: it looks again")
	assert.InDelta(t, 2.5, pass(100, 2, false), 1e-9, "never all of the band that goes last")
	l.Sees(math.NaN())
	l.Sees(math.Inf(1))
	l.Sees(-1)
	assert.InDelta(t, 2, l.full, 0.01, "what is no number counts for nothing")
}

// Any two routers at the same level, and any two tries, agree; at levels that differ they differ by no more than that share.
func TestVerdictsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at, more := rapid.Float64Range(0, 3).Draw(t, "level"), rapid.Float64Range(0, 0.5).Draw(t, "difference")
		text, band := rapid.Uint64().Draw(t, "text"), rapid.IntRange(0, 2).Draw(t, "band")
		now := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "now"))
		one, other := Level{Marks: marks(), Bands: 3, at: at}, Level{Marks: marks(), Bands: 3, at: at + more}
		if one.Turns(band, text, now) != one.Turns(band, text, now) || one.Turns(band, text, now) && !other.Turns(band, text, now) {
			t.Fatal("a higher level takes what a lower one turns away")
		}
	})
	r, differ, texts := rand.New(rand.NewPCG(1, 2)), 0, 20000
	one, other := Level{Marks: marks(), Bands: 2, at: 0.4}, Level{Marks: marks(), Bands: 2, at: 0.5}
	for range texts {
		if text := r.Uint64(); one.Turns(0, text, time.Hour) != other.Turns(0, text, time.Hour) {
			differ++
		}
	}
	assert.InDelta(t, 0.1, float64(differ)/float64(texts), 0.01)
}

// A text keeps its place for an epoch, and has another in the next: nobody is turned away for ever, and not all change at once.
func TestNobodyIsTurnedAwayForEver(t *testing.T) {
	l, r := Level{Marks: marks(), Bands: 1, at: 0.5}, rand.New(rand.NewPCG(3, 4))
	longest, changes := 0, map[int]int{}
	for range 2000 {
		text, run, before := r.Uint64(), 0, false
		for s := range 400 {
			turned := l.Turns(0, text, time.Duration(s)*time.Second)
			if run++; !turned {
				run = 0
			}
			if s > 0 && turned != before {
				changes[s%20]++
			}
			longest, before = max(longest, run), turned
		}
	}
	assert.LessOrEqual(t, longest, 20*16, "so many epochs in a row have a chance of 1 in 65,536 each")
	for s, n := range changes {
		assert.Less(t, n, 2*2000*20/20, "second %d", s)
	}
}

// 300 routers before engines that are asked for twice what they can do: none talks to another, each hears of one of them at each answer.
// Their levels stay within a stated difference, and what is turned away is what counts least.
func TestRoutersShedAlike(t *testing.T) {
	const routers, bands = 300, 3
	r := rand.New(rand.NewPCG(5, 6))
	all := make([]Level, routers)
	for i := range all {
		all[i] = Level{Marks: marks(), Bands: bands}
	}
	full, shed := 0.5, [bands]int{}
	for s := range 60 {
		asked, load := 2.0, 0.0 // of what engines can do
		if s < 10 || s >= 40 {
			asked = 0.5
		}
		for i := range all {
			l := &all[i]
			now := time.Duration(s) * time.Second
			l.Pass(now)
			for range 6 { // statements a second, a third of the work each band
				band, text := r.IntN(bands), r.Uint64()
				if l.Turns(band, text, now) {
					shed[band]++
					continue
				}
				load += asked / (6 * routers)
				l.Sees(max(0, full*(1+0.3*r.NormFloat64())))
				l.Answered(r.Float64() > full-0.9) // what comes is late as engines fill
			}
		}
		full += 0.5 * (load - full)
		if s == 35 {
			mean, off := 0.0, make([]float64, routers)
			for i := range all {
				mean += all[i].At() / routers
			}
			for i := range all {
				off[i] = math.Abs(all[i].At() - mean)
			}
			slices.Sort(off)
			t.Logf("level %.2f, 95 %% within %.2f, furthest %.2f, fullness %.2f, turned away %v", mean, off[routers*95/100], off[routers-1], full, shed)
			assert.Less(t, off[routers*95/100], 0.6, "of a band")
			assert.Less(t, off[routers-1], 1.1)
			assert.Less(t, full, 1.5)
			assert.Greater(t, mean, 0.5)
		}
	}
	assert.Greater(t, shed[0], 3*shed[2])
	for i := range all {
		assert.Less(t, all[i].At(), 0.4, "let go")
	}
}
