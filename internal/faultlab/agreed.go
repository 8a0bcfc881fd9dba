package faultlab

import (
	"fmt"
	"time"

	"bankledge/internal/configversion"
	"bankledge/internal/rules"
)

// Contradictions is what the auditors of agreement find in a history.
type ConsistencyReport struct {
	LongestContradiction  time.Duration // that one router did what another, with a term, held to be forbidden
	Contradictions        int           // of rules that contradicted each other at some time
	LongestEarlyLoosening time.Duration // the longest that a router acted on something looser while another had a term on what came before
	Versions              int
	LeasedShare           float64 // share of the routers' time with a term, once the first version is in force
	Violations            []Violation

	since map[pair]time.Duration // something loosened early
}

// slack is what a router's log and the lab's own notes may differ by: a process is woken, told or heard a little later than noted.
const slack = 150 * time.Millisecond

// side is what one router acts on at a moment.
type side struct {
	settled, pending uint64
	term             bool
	up               bool
	dead             bool          // killed: one that is woken then is not there
	blind            time.Duration // until then it was just woken or started, and has not looked yet
}

// pair are two routers, contradiction what one acts on and the version that the other goes by.
type (
	pair          struct{ x, y int }
	contradiction struct {
		acts side
		by   uint64
	}
)

// Agreement goes through a history and compares, at each change, what all routers act on with what those that have a term go by.
func CheckConsistency(h *History) (c ConsistencyReport) {
	c.since = map[pair]time.Duration{}
	by := map[uint64]*configversion.Version{}
	for _, v := range h.Versions {
		by[v.Number] = v
	}
	own := groupOwn(h.Schedule)
	sides := make([]side, h.Schedule.Routers)
	for i := range sides {
		sides[i].up = true
	}
	began, what := map[pair]time.Duration{}, map[pair]contradiction{}
	seen, memo := map[contradiction]bool{}, map[contradiction]string{}
	offence := func(a side, n uint64) string {
		a.blind = 0
		key := contradiction{a, n}
		if text, known := memo[key]; known {
			return text
		}
		text := ""
		if acts, v := acting(a, by, own), by[n]; acts != nil && v != nil {
			if list := rules.Conflicts(acts, v.Rules); len(list) > 0 {
				text = list[0].Name + ": " + list[0].Description
			}
		}
		memo[key] = text
		return text
	}
	held, total, last := 0.0, 0.0, time.Duration(0)
	look := func(now time.Duration) {
		for x, a := range sides {
			if a.settled > 0 && a.up {
				total += (now - last).Seconds()
				if a.term {
					held += (now - last).Seconds()
				}
			}
			for y, b := range sides {
				p, n := pair{x, y}, max(b.settled, b.pending)
				active := x != y && a.up && b.up && b.term && a.term && now >= a.blind && now >= b.blind && n > 0
				text := ""
				if active {
					text = offence(a, n)
				}
				at := contradiction{a, n}
				at.acts.blind = 0
				c.looser(p, text != "" && a.settled >= n, now, at, text)
				since, goes := began[p]
				if goes && (text == "" || what[p].acts != at.acts) {
					c.end(now-since, what[p].acts, what[p].by, now, offence(what[p].acts, what[p].by))
					delete(began, p)
					goes = false
				}
				if text == "" {
					continue
				}
				if !goes { // it goes on as long as one acts on the same, however often the other's version changes
					began[p] = now
				}
				what[p], seen[at] = at, true
			}
		}
		last = now
	}
	for _, e := range h.Events {
		switch {
		case e.Kind == RulesApplied:
			look(e.At)
			s := &sides[e.Router]
			s.settled, s.pending, s.term, s.blind = e.Activated, e.Version, e.Leased, 0
		case e.Kind == RouterDown && e.Text != "term":
			look(e.At)
			sides[e.Router].up, sides[e.Router].dead = false, sides[e.Router].dead || e.Text == "kill"
		case e.Kind == RouterUp && e.Text == "stop" && sides[e.Router].dead:
			continue
		case e.Kind == RouterUp:
			look(e.At)
			if sides[e.Router].up = true; e.Text != "stop" { // a new process knows nothing
				sides[e.Router] = side{up: true}
			}
			sides[e.Router].blind = e.At + slack
		default:
			continue
		}
		look(e.At)
	}
	if n := len(h.Events); n > 0 {
		look(h.Events[n-1].At)
		for p, since := range began {
			c.end(last-since, what[p].acts, what[p].by, last, offence(what[p].acts, what[p].by))
		}
	}
	c.Contradictions, c.Versions = len(seen), len(h.Versions)
	if total > 0 {
		c.LeasedShare = held / total
	}
	c.acknowledged(h, by)
	return c
}

// end takes a contradiction that is over.
func (c *ConsistencyReport) end(long time.Duration, a side, by uint64, at time.Duration, text string) {
	c.LongestContradiction = max(c.LongestContradiction, long)
	if long > GroupDurations.MaxContradiction()+slack {
		c.Violations = append(c.Violations, Violation{Auditor: "contradiction", At: at, Text: fmt.Sprintf("for %v a router acted on versions %d and %d while another went by %d: %s", long, a.settled, a.pending, by, text)})
	}
}

// looser follows how long one acts on something looser than what another, which is behind, still goes by.
func (c *ConsistencyReport) looser(p pair, is bool, now time.Duration, at contradiction, text string) {
	since, goes := c.since[p]
	switch {
	case is && !goes:
		c.since[p] = now
	case !is && goes:
		delete(c.since, p)
	case is:
		if c.LongestEarlyLoosening = max(c.LongestEarlyLoosening, now-since); now-since > slack {
			c.Violations = append(c.Violations, Violation{Auditor: "loosened", At: now, Text: fmt.Sprintf("for %v a router acted on version %d while another had a term on %d: %s", now-since, at.acts.settled, at.by, text)})
			c.since[p] = now
		}
	}
}

// acknowledged finds proposals that were told a number and are not there, or two that got one.
func (c *ConsistencyReport) acknowledged(h *History, by map[uint64]*configversion.Version) {
	got, newest, oldest := map[uint64]string{}, uint64(0), uint64(0)
	for n := range by {
		newest = max(newest, n)
		if oldest == 0 || n < oldest {
			oldest = n
		}
	}
	for _, e := range h.Events {
		if e.Kind != VersionAcknowledged {
			continue
		}
		if other := got[e.Version]; other != "" && other != e.Statement {
			c.Violations = append(c.Violations, Violation{Auditor: "acknowledged", At: e.At, Text: fmt.Sprintf("proposals %s and %s both got version %d", other, e.Statement, e.Version)})
		}
		if got[e.Version] = e.Statement; e.Version > newest || e.Version >= oldest && by[e.Version] == nil {
			c.Violations = append(c.Violations, Violation{Auditor: "acknowledged", At: e.At, Text: fmt.Sprintf("proposal %s was told that it is version %d, and nobody has it", e.Statement, e.Version)})
		}
	}
}

// acting are the rules that a router acts on; nil: not known.
func acting(a side, by map[uint64]*configversion.Version, own *rules.Rules) (r *rules.Rules) {
	add := func(with *rules.Rules) {
		if r == nil {
			r = with
		} else if with != nil {
			r = rules.Intersect(r, with)
		}
	}
	for _, n := range []uint64{a.settled, a.pending} {
		if n == 0 {
			continue
		}
		if by[n] == nil {
			return nil
		}
		add(by[n].Rules)
	}
	if a.settled == 0 || !a.term {
		add(own)
	}
	return r
}

// groupOwn are the rules of the routers' own settings, as far as the auditors need them.
func groupOwn(s *Schedule) *rules.Rules {
	r := groupRules(&field{s: s})
	r.RetryBudgetShare, r.RetryBudgetFree = 0, 0
	if r.Validate() != nil {
		return nil
	}
	return r
}
