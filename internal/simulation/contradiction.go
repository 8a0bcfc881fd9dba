package simulation

import (
	"slices"
	"time"

	"bankledge/internal/lease"
	"bankledge/internal/rules"
)

// actingBasis names what the rules that a router acts on were made of.
type actingBasis struct {
	activated uint64 // version that is in force, 0: none is known
	pending   uint64 // newer version that is not, 0: none
	leased    bool
	starting  bool // the router has only just started and acts on its own settings
}

// routerSample is what the running routers act on at one moment.
type routerSample struct {
	running        int
	leased         int
	bases          []actingBasis // each once
	rules          map[actingBasis]*rules.Rules
	leasedVersions []uint64 // versions that routers with a lease go by, each once
}

func sampleRouters(s *simulation) routerSample {
	sample := routerSample{rules: map[actingBasis]*rules.Rules{}}
	for _, router := range s.routers {
		if !router.isRunning() {
			continue
		}
		sample.running++
		if _, known := sample.rules[router.basis]; !known {
			sample.rules[router.basis] = router.acting
			sample.bases = append(sample.bases, router.basis)
		}
		if !router.basis.leased {
			continue
		}
		sample.leased++
		version := max(router.basis.activated, router.basis.pending)
		if !slices.Contains(sample.leasedVersions, version) {
			sample.leasedVersions = append(sample.leasedVersions, version)
		}
	}
	return sample
}

// contradiction is that a router acts on what a version forbids by which another router with a lease goes.
type contradiction struct {
	basis   actingBasis
	version uint64
}

// contradictionAudit measures for how long routers contradict each other.
type contradictionAudit struct {
	since     map[actingBasis]time.Duration // first sample of those that go on; whichever versions they contradict
	distinct  map[contradiction]struct{}
	offenses  map[offenseKey]string // memo of offense
	longest   time.Duration
	overBound int
}

type offenseKey struct{ activated, pending, version uint64 }

func newContradictionAudit() contradictionAudit {
	return contradictionAudit{
		since:    map[actingBasis]time.Duration{},
		distinct: map[contradiction]struct{}{},
		offenses: map[offenseKey]string{},
	}
}

// ContradictionBound is for how long routers may contradict each other in a simulation, where a batch takes no time and nothing is
// paused between a router's look at its clock and its act: a lease, and what sampling may add at either end.
func ContradictionBound(durations lease.Durations) time.Duration {
	return durations.LeaseDuration + 2*auditInterval
}

// checkContradictions compares what each router acts on with the versions that routers with a lease go by.
func (a *auditor) checkContradictions(s *simulation, sample routerSample) {
	ongoing := map[actingBasis]bool{}
	for _, basis := range sample.bases {
		for _, version := range sample.leasedVersions {
			offense := a.offense(basis, sample.rules[basis], version)
			if offense == "" {
				continue
			}
			ongoing[basis] = true
			a.contradictions.distinct[contradiction{basis, version}] = struct{}{}
			// What a version loosens waits for the last lease on what came before, so this must never be.
			if basis.activated >= version && !s.PlainPush {
				a.report("loosened", s.now, "a router acts on %+v while another has a lease on version %d: %s", basis, version, offense)
			}
			a.measureContradiction(s, basis, version, offense)
		}
	}
	for basis := range a.contradictions.since {
		if !ongoing[basis] {
			delete(a.contradictions.since, basis)
		}
	}
}

func (a *auditor) measureContradiction(s *simulation, basis actingBasis, version uint64, offense string) {
	audit := &a.contradictions
	if _, goesOn := audit.since[basis]; !goesOn {
		audit.since[basis] = s.now
	}
	earliestStart := max(audit.since[basis]-auditInterval, 0) // just behind the sample before
	duration := s.now - earliestStart
	audit.longest = max(audit.longest, duration)
	bound := ContradictionBound(s.LeaseDurations)
	crossesBound := duration > bound && duration-auditInterval <= bound
	if !crossesBound {
		return
	}
	audit.overBound++
	if !s.PlainPush {
		a.report("contradiction", s.now, "for over %v a router acts on %+v while another goes by version %d: %s", bound, basis, version, offense)
	}
}

// offense is the first field in which who acts on these rules does what a version forbids; "" if none. Nothing is promised of
// routers without a lease here: the floor of the versions bounds what they may do, and they can't know which engines have left
// (docs/control.md).
func (a *auditor) offense(basis actingBasis, acting *rules.Rules, versionNumber uint64) string {
	version := a.versions.byNumber[versionNumber]
	if version == nil || acting == nil || !basis.leased {
		return ""
	}
	key := offenseKey{basis.activated, basis.pending, versionNumber}
	if offense, known := a.contradictions.offenses[key]; known {
		return offense
	}
	offense := ""
	if offended := rules.Conflicts(acting, version.Rules); len(offended) > 0 {
		offense = offended[0].Name + ": " + offended[0].Description
	}
	a.contradictions.offenses[key] = offense
	return offense
}
