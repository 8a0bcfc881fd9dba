// Package shed is the one order in which the routers of a fleet turn statements away when engines can't take all that is asked for.
// It does no I/O, has no clock and starts no goroutine.
//
// Routers can't talk, so they agree by construction. Where a statement stands in the order follows from its workload, its member
// group's share and its text alone: every router, and every further try of a client, which has a new id but the same text, finds it
// at the same place. A salt that changes once an epoch moves the places within a band, so that nobody is turned away for ever. How
// far up the order is cut, the level, follows from signals that all routers see alike: how full engines are by their own
// reports, and what share of the answers came in time. It rises fast and falls slowly (docs/overload.md).
package shed

import (
	"slices"
	"time"

	"bankledge/internal/draw"
)

// Marks says when the level moves. Fullness is what engines hold over what they are to hold; shares are of answers.
type Marks struct {
	Full, Worst float64       // the level is a straight line between them, from nothing to all; answers have to be late, too
	Late        float64       // share of answers not in time under which nothing new is turned away
	Rise, Fall  float64       // bands a period that it moves at the most, up and down
	Period      time.Duration // between moves of the level
	Epoch       time.Duration // for which a text keeps its place
	Learn       float64       // of a signal, at a sight
}

// Level is how far up the order statements are turned away. Its zero value with Marks turns nothing away. It is a line over what
// is seen, not a sum of it: a sum would add up what each router sees by chance, and routers would drift apart.
type Level struct {
	Marks
	Bands  int // of the order
	full   float64
	late   float64
	at     float64 // bands that are turned away, the last one in part
	moved  time.Duration
	sights int // since the level moved
}

// Sees takes how full an engine is, by its own report. What is no number is not taken.
func (l *Level) Sees(fullness float64) {
	if fullness >= 0 && fullness < 1e6 {
		l.full += l.Learn * (fullness - l.full)
		l.sights++
	}
}

// Answered takes the end of a statement that was taken in: in time, or late, rejected after a wait or not at all.
func (l *Level) Answered(inTime bool) {
	late := 1.0
	if inTime {
		late = 0
	}
	l.late += l.Learn * (late - l.late)
}

// Pass lets time pass. A period without any report moves nothing up: who sees nothing knows of no overload; it falls, so that who
// turned everything away looks again.
func (l *Level) Pass(now time.Duration) {
	if now < l.moved+l.Period {
		return
	}
	l.moved = now
	wanted := max(0, (l.full-l.Full)/max(1e-9, l.Worst-l.Full)) * float64(l.Bands)
	wanted = min(wanted, max(0, float64(l.Bands)-1+mostOfLast)) // of the last band all is never turned away
	if l.sights == 0 {
		wanted = 0
	}
	if wanted <= l.at {
		l.at = max(wanted, l.at-l.Fall)
	} else if l.late > l.Late {
		l.at = min(wanted, l.at+l.Rise)
	}
	l.sights = 0
}

// mostOfLast is the share of the band that goes last which may be turned away: a fleet that is full still serves.
const mostOfLast = 0.5

// At is the level: so many bands are turned away, the last one in part.
func (l *Level) At() float64 { return l.at }

// Place is where a text stands within its band, from 0, turned away first, to 1, in the epoch that now lies in. The epoch of
// each text begins at a time of its own, so that places do not all change at once.
func (m Marks) Place(text uint64, now time.Duration) float64 {
	shift := time.Duration(draw.Part("", text) * float64(m.Epoch))
	return draw.Part("place", text, uint64((now+shift)/max(1, m.Epoch)))
}

// Turns tells whether a statement of a band with this text is turned away now.
func (l *Level) Turns(band int, text uint64, now time.Duration) bool {
	return l.at > 0 && float64(band)+l.Place(text, now) < l.at
}

// Rank is what the place of a workload in the order follows from.
type Rank struct {
	OverShare  bool    // of its member group
	Importance float64 // of an answer
	Work       float64 // of an execution, in seconds of one core
}

// Order gives each rank its band, from 0, turned away first: what is beyond its member group's share before all else, then by
// importance for the work. Equals keep the order in which they are named, which is the settings'.
func Order(ranks []Rank) (bands []int) {
	order := make([]int, len(ranks))
	for i := range order {
		order[i] = i
	}
	value := func(r Rank) float64 { return r.Importance / max(1e-3, r.Work) }
	slices.SortStableFunc(order, func(a, b int) int {
		ra, rb := ranks[a], ranks[b]
		switch {
		case ra.OverShare != rb.OverShare && ra.OverShare:
			return -1
		case ra.OverShare != rb.OverShare:
			return 1
		case value(ra) < value(rb):
			return -1
		case value(ra) > value(rb):
			return 1
		}
		return 0
	})
	bands = make([]int, len(ranks))
	for band, i := range order {
		bands[i] = band
	}
	return bands
}
