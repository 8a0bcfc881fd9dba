package faultlab

import (
	"fmt"
	"time"

	"bankledge/internal/configversion"
	"bankledge/internal/rules"
)

// ConsistencyReport holds the findings of the control group's auditors in a history. Two routers that hold leases contradict each other
// while one applies a configuration that the newest version known to the other forbids.
type ConsistencyReport struct {
	LongestContradiction  time.Duration
	Contradictions        int           // distinct pairs of an applied configuration and a version that contradicted each other
	LongestEarlyLoosening time.Duration // longest time that a router applied looser rules while another one held a lease on a version that forbids them
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

// consistencySlack is the largest difference between the times of a router's log and of the fault lab's own events: a process resumes, is
// notified or writes its log a little later than recorded.
const consistencySlack = 150 * time.Millisecond

// appliedConfiguration identifies the configuration that a router applies.
type appliedConfiguration struct {
	activated, pending uint64 // numbers of versions; 0: none
	leased             bool
}

// newest returns the number of the newest version that the router knows.
func (c appliedConfiguration) newest() uint64 { return max(c.activated, c.pending) }

// routerState is the state of a router at one point of the history.
type routerState struct {
	applied     appliedConfiguration
	up          bool
	killed      bool          // a process that is killed while suspended does not resume
	exemptUntil time.Duration // set after a start or resume, when the router has not checked its lease yet
}

// routerPair holds the index of a router that applies a configuration and of another one that knows a version.
type routerPair struct{ applying, other int }

// contradiction is an applied configuration and another router's version that forbids it.
type contradiction struct {
	applied appliedConfiguration
	version uint64
}

// openContradiction is a contradiction that has not ended. It lasts as long as the router applies the same configuration and any version of
// the other router forbids it.
type openContradiction struct {
	contradiction
	since time.Duration
}

// consistencyChecker processes the events of a history in order.
type consistencyChecker struct {
	report     ConsistencyReport
	versions   map[uint64]*configversion.Version
	localRules *rules.Rules
	routers    []routerState
	open       map[routerPair]openContradiction
	loosened   map[routerPair]time.Duration // start of the period in which a router has applied looser rules too early
	seen       map[contradiction]bool
	conflicts  map[contradiction]string // cache of conflict; empty: no conflict
	checkedAt  time.Duration
	routerTime float64 // total seconds of routers that are up and have an activated version
	leasedTime float64 // the part of routerTime with a lease
}

// CheckConsistency processes a history. At each change it compares the configurations that all routers apply with the newest versions known
// to the routers that hold a lease.
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

// observe applies an event that changes the state of a router, and checks all pairs before and after the change.
func (c *consistencyChecker) observe(e Event) {
	switch e.Kind {
	case RulesApplied:
		c.check(e.At)
		r := &c.routers[e.Router]
		r.applied = appliedConfiguration{activated: e.Activated, pending: e.Version, leased: e.Leased}
		r.exemptUntil = 0
	case RouterDown:
		if e.Text == downTerminated { // it keeps serving until it ends
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
		if !resumed { // a new process knows no version
			*r = routerState{up: true}
		}
		r.exemptUntil = e.At + consistencySlack
	default:
		return
	}
	c.check(e.At)
}

// check compares all pairs of routers at one point of time.
func (c *consistencyChecker) check(now time.Duration) {
	for i, applying := range c.routers {
		c.addLeasedTime(applying, now)
		for j, other := range c.routers {
			if i != j {
				c.checkPair(routerPair{applying: i, other: j}, applying, other, now)
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

func (c *consistencyChecker) checkPair(pair routerPair, applying, other routerState, now time.Duration) {
	found := contradiction{applied: applying.applied, version: other.applied.newest()}
	conflict := ""
	bothLeased := applying.up && other.up && applying.applied.leased && other.applied.leased
	if bothLeased && now >= applying.exemptUntil && now >= other.exemptUntil && found.version > 0 {
		conflict = c.conflict(found)
	}
	c.trackLoosening(pair, conflict != "" && found.applied.activated >= found.version, now, found, conflict)
	open, ongoing := c.open[pair]
	if ongoing && (conflict == "" || open.applied != found.applied) {
		c.closeContradiction(open, now)
		delete(c.open, pair)
		ongoing = false
	}
	if conflict == "" {
		return
	}
	since := now
	if ongoing {
		since = open.since
	}
	c.open[pair] = openContradiction{contradiction: found, since: since}
	c.seen[found] = true
}

// conflict describes how an applied configuration contradicts a version. It returns an empty string if it does not.
func (c *consistencyChecker) conflict(x contradiction) string {
	if text, known := c.conflicts[x]; known {
		return text
	}
	text := ""
	applied := c.appliedRules(x.applied)
	version := c.versions[x.version]
	if applied != nil && version != nil {
		if conflicts := rules.ConflictingFields(applied, version.Rules); len(conflicts) > 0 {
			text = conflicts[0].Name + ": " + conflicts[0].Description
		}
	}
	c.conflicts[x] = text
	return text
}

// appliedRules returns the rules that a router applies: the intersection of its versions, and of its local rules unless it holds a lease on
// an activated version. It returns nil if a version is missing from the history.
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

// closeContradiction records the duration of a contradiction that has ended, and a violation if it lasted too long.
func (c *consistencyChecker) closeContradiction(x openContradiction, now time.Duration) {
	lasted := now - x.since
	c.report.LongestContradiction = max(c.report.LongestContradiction, lasted)
	if lasted <= GroupDurations.MaxContradiction()+consistencySlack {
		return
	}
	c.addViolation(auditorContradiction, now, "for %v a router applied versions %d (activated) and %d (pending) while the newest version of another router with a lease was %d: %s",
		lasted, x.applied.activated, x.applied.pending, x.version, c.conflict(x.contradiction))
}

// trackLoosening measures how long a router that has activated the same or a newer version applies rules that the version of another
// router with a lease forbids.
func (c *consistencyChecker) trackLoosening(pair routerPair, looser bool, now time.Duration, x contradiction, conflict string) {
	since, ongoing := c.loosened[pair]
	if !looser {
		delete(c.loosened, pair)
		return
	}
	if !ongoing {
		c.loosened[pair] = now
		return
	}
	lasted := now - since
	c.report.LongestEarlyLoosening = max(c.report.LongestEarlyLoosening, lasted)
	if lasted > consistencySlack {
		c.addViolation(auditorLoosened, now, "for %v a router applied version %d while the newest version of another router with a lease was still %d: %s",
			lasted, x.applied.activated, x.version, conflict)
		c.loosened[pair] = now
	}
}

func (c *consistencyChecker) addViolation(auditor string, at time.Duration, format string, values ...any) {
	c.report.Violations = append(c.report.Violations, Violation{Auditor: auditor, At: at, Text: fmt.Sprintf(format, values...)})
}

// finish closes all open contradictions at the end of the history.
func (c *consistencyChecker) finish(at time.Duration) {
	c.check(at)
	for _, x := range c.open {
		c.closeContradiction(x, at)
	}
}
