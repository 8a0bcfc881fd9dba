package faultlab

import (
	"fmt"
	"time"

	"bankledge/internal/configversion"
	"bankledge/internal/rules"
)

// ConsistencyReport is what the auditors of the control group find in a history. Two routers contradict each other while one does what the
// version that the other one goes by, with a lease, forbids.
type ConsistencyReport struct {
	LongestContradiction  time.Duration
	Contradictions        int           // pairs of an applied configuration and a version that contradicted each other at some time
	LongestEarlyLoosening time.Duration // that a router applied something looser while another one had a lease on the version before
	Versions              int
	LeasedShare           float64 // share of the routers' time with a lease, once the first version is activated
	Violations            []Violation
}

// Names of the auditors of the control group.
const (
	auditorContradiction = "contradiction"
	auditorLoosened      = "loosened"
	auditorAcknowledged  = "acknowledged"
)

// consistencySlack is by how much a router's log and the lab's own events may differ: a process resumes, is notified or writes its
// log a little later than recorded.
const consistencySlack = 150 * time.Millisecond

// appliedConfiguration is what a router acts on.
type appliedConfiguration struct {
	activated, pending uint64 // numbers of versions; 0: none
	leased             bool
}

// newest is the number of the newest version that the router knows.
func (c appliedConfiguration) newest() uint64 { return max(c.activated, c.pending) }

// routerState is a router at a moment of the history.
type routerState struct {
	applied    appliedConfiguration
	up         bool
	killed     bool          // one that is resumed then is not there
	blindUntil time.Duration // it has just resumed or started, and has not looked at the time yet
}

// routerPair are the indexes of a router that acts and of another one that goes by a version.
type routerPair struct{ acting, other int }

// contradiction is an applied configuration and the version of another router that forbids it.
type contradiction struct {
	applied appliedConfiguration
	version uint64
}

// openContradiction is one that goes on: as long as one router acts on the same, however often the other's version changes.
type openContradiction struct {
	contradiction
	since time.Duration
}

// consistencyChecker goes through a history.
type consistencyChecker struct {
	report     ConsistencyReport
	versions   map[uint64]*configversion.Version
	localRules *rules.Rules
	routers    []routerState
	open       map[routerPair]openContradiction
	loosened   map[routerPair]time.Duration // since when a router has acted on something looser early
	seen       map[contradiction]bool
	conflicts  map[contradiction]string // cached; empty: there is none
	checkedAt  time.Duration
	routerTime float64 // seconds of routers that are up and have an activated version
	leasedTime float64 // seconds of them with a lease
}

// CheckConsistency goes through a history and compares, at each change, what all routers act on with the versions that those with a lease
// go by.
func CheckConsistency(h *History) ConsistencyReport {
	c := &consistencyChecker{
		versions:   map[uint64]*configversion.Version{},
		localRules: localRules(h.Scenario.Routers),
		routers:    make([]routerState, h.Scenario.Routers),
		open:       map[routerPair]openContradiction{},
		loosened:   map[routerPair]time.Duration{},
		seen:       map[contradiction]bool{},
		conflicts:  map[contradiction]string{},
	}
	for _, v := range h.Versions {
		c.versions[v.Number] = v
	}
	for i := range c.routers {
		c.routers[i].up = true
	}
	for _, e := range h.Events {
		c.observe(e)
	}
	if n := len(h.Events); n > 0 {
		c.finish(h.Events[n-1].At)
	}
	c.report.Contradictions = len(c.seen)
	c.report.Versions = len(h.Versions)
	c.report.LeasedShare = ratio(c.leasedTime, c.routerTime)
	c.report.Violations = append(c.report.Violations, auditAcknowledged(h.Events, c.versions)...)
	return c.report
}

// observe checks before and after an event that changes the state of a router.
func (c *consistencyChecker) observe(e Event) {
	switch e.Kind {
	case RulesApplied:
		c.check(e.At)
		r := &c.routers[e.Router]
		r.applied = appliedConfiguration{activated: e.Activated, pending: e.Version, leased: e.Leased}
		r.blindUntil = 0
	case RouterDown:
		if e.Text == downTerminated { // it serves on for a while
			return
		}
		c.check(e.At)
		r := &c.routers[e.Router]
		r.up = false
		r.killed = r.killed || e.Text == downKilled
	case RouterUp:
		r := &c.routers[e.Router]
		resumed := e.Text == downStopped
		if resumed && r.killed {
			return
		}
		c.check(e.At)
		r.up = true
		if !resumed { // a new process knows nothing
			*r = routerState{up: true}
		}
		r.blindUntil = e.At + consistencySlack
	default:
		return
	}
	c.check(e.At)
}

// check compares all pairs of routers at a time.
func (c *consistencyChecker) check(now time.Duration) {
	for i, acting := range c.routers {
		c.addLeasedTime(acting, now)
		for j, other := range c.routers {
			if i != j {
				c.checkPair(routerPair{acting: i, other: j}, acting, other, now)
			}
		}
	}
	c.checkedAt = now
}

func (c *consistencyChecker) addLeasedTime(r routerState, now time.Duration) {
	if r.applied.activated == 0 || !r.up {
		return
	}
	passed := (now - c.checkedAt).Seconds()
	c.routerTime += passed
	if r.applied.leased {
		c.leasedTime += passed
	}
}

func (c *consistencyChecker) checkPair(pair routerPair, acting, other routerState, now time.Duration) {
	found := contradiction{applied: acting.applied, version: other.applied.newest()}
	conflict := ""
	bothLeased := acting.up && other.up && acting.applied.leased && other.applied.leased
	if bothLeased && now >= acting.blindUntil && now >= other.blindUntil && found.version > 0 {
		conflict = c.conflict(found)
	}
	c.trackLoosening(pair, conflict != "" && found.applied.activated >= found.version, now, found, conflict)
	open, goesOn := c.open[pair]
	if goesOn && (conflict == "" || open.applied != found.applied) {
		c.end(open, now)
		delete(c.open, pair)
		goesOn = false
	}
	if conflict == "" {
		return
	}
	since := now
	if goesOn {
		since = open.since
	}
	c.open[pair] = openContradiction{contradiction: found, since: since}
	c.seen[found] = true
}

// conflict says how an applied configuration contradicts a version; empty: it does not.
func (c *consistencyChecker) conflict(x contradiction) string {
	if text, known := c.conflicts[x]; known {
		return text
	}
	text := ""
	applied := c.appliedRules(x.applied)
	version := c.versions[x.version]
	if applied != nil && version != nil {
		if conflicts := rules.Conflicts(applied, version.Rules); len(conflicts) > 0 {
			text = conflicts[0].Name + ": " + conflicts[0].Description
		}
	}
	c.conflicts[x] = text
	return text
}

// appliedRules returns the rules that a router acts on: the strictest of all that it knows; nil: a version is not known.
func (c *consistencyChecker) appliedRules(a appliedConfiguration) (strictest *rules.Rules) {
	add := func(r *rules.Rules) {
		if strictest == nil {
			strictest = r
		} else if r != nil {
			strictest = rules.Intersect(strictest, r)
		}
	}
	for _, number := range []uint64{a.activated, a.pending} {
		if number == 0 {
			continue
		}
		if c.versions[number] == nil {
			return nil
		}
		add(c.versions[number].Rules)
	}
	if a.activated == 0 || !a.leased {
		add(c.localRules)
	}
	return strictest
}

// end takes a contradiction that is over.
func (c *consistencyChecker) end(x openContradiction, now time.Duration) {
	lasted := now - x.since
	c.report.LongestContradiction = max(c.report.LongestContradiction, lasted)
	if lasted <= GroupDurations.MaxContradiction()+consistencySlack {
		return
	}
	c.violate(auditorContradiction, now, "for %v a router acted on versions %d and %d while another went by %d: %s",
		lasted, x.applied.activated, x.applied.pending, x.version, c.conflict(x.contradiction))
}

// trackLoosening follows how long a router acts on something looser than what another one, which is behind, still goes by.
func (c *consistencyChecker) trackLoosening(pair routerPair, looser bool, now time.Duration, x contradiction, conflict string) {
	since, goesOn := c.loosened[pair]
	if !looser {
		delete(c.loosened, pair)
		return
	}
	if !goesOn {
		c.loosened[pair] = now
		return
	}
	lasted := now - since
	c.report.LongestEarlyLoosening = max(c.report.LongestEarlyLoosening, lasted)
	if lasted > consistencySlack {
		c.violate(auditorLoosened, now, "for %v a router acted on version %d while another had a term on %d: %s",
			lasted, x.applied.activated, x.version, conflict)
		c.loosened[pair] = now
	}
}

func (c *consistencyChecker) violate(auditor string, at time.Duration, format string, values ...any) {
	c.report.Violations = append(c.report.Violations, Violation{Auditor: auditor, At: at, Text: fmt.Sprintf(format, values...)})
}

// finish ends what goes on at the end of the history.
func (c *consistencyChecker) finish(at time.Duration) {
	c.check(at)
	for _, x := range c.open {
		c.end(x, at)
	}
}
