package simulation

import (
	"slices"
	"time"

	"bankledge/internal/lease"
	"bankledge/internal/rules"
)

// actingBasis identifies the versions from which the rules that a router acts on were computed.
type actingBasis struct {
	activated uint64 // version that is in force, 0: none is known
	pending   uint64 // newer version that is not in force yet, 0: none
	leased    bool
	starting  bool // the router has only just started and acts on its own settings
}

// routerSample is what the running routers act on at one moment.
type routerSample struct {
	running        int
	leased         int
	bases          []actingBasis // each once
	rules          map[actingBasis]*rules.Rules
	leasedVersions []uint64 // versions on which routers with a lease act, each once
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

// contradiction means that a router does what a version forbids on which another router with a lease acts.
type contradiction struct {
	basis   actingBasis
	version uint64
}

// contradictionAudit measures for how long routers contradict each other.
type contradictionAudit struct {
	since     map[actingBasis]time.Duration // when each ongoing contradiction was first sampled, whatever the version
	distinct  map[contradiction]struct{}
	conflicts map[conflictKey]string // results of firstConflict
	longest   time.Duration
	overBound int
}

type conflictKey struct{ activated, pending, version uint64 }

func newContradictionAudit() contradictionAudit {
	return contradictionAudit{
		since:     map[actingBasis]time.Duration{},
		distinct:  map[contradiction]struct{}{},
		conflicts: map[conflictKey]string{},
	}
}

// ContradictionBound is how long routers may contradict each other in a simulation, in which a batch takes no time and no router is paused
// between the check of its lease and its action: one lease duration, and one sampling interval at either end.
func ContradictionBound(durations lease.Durations) time.Duration {
	return durations.LeaseDuration + 2*auditInterval
}

// checkContradictions compares what each router acts on with the versions on which routers with a lease act.
func (a *auditor) checkContradictions(s *simulation, sample routerSample) {
	ongoing := map[actingBasis]bool{}
	for _, basis := range sample.bases {
		for _, version := range sample.leasedVersions {
			conflict := a.firstConflict(basis, sample.rules[basis], version)
			if conflict == "" {
				continue
			}
			ongoing[basis] = true
			a.contradictions.distinct[contradiction{basis, version}] = struct{}{}
			// A version takes effect where it is looser only once the last lease on the version before it has expired.
			if basis.activated >= version && !s.PlainPush {
				a.report("loosened", s.now, "a router acts on %+v while another has a lease on version %d: %s", basis, version, conflict)
			}
			a.measureContradiction(s, basis, version, conflict)
		}
	}
	for basis := range a.contradictions.since {
		if !ongoing[basis] {
			delete(a.contradictions.since, basis)
		}
	}
}

func (a *auditor) measureContradiction(s *simulation, basis actingBasis, version uint64, conflict string) {
	audit := &a.contradictions
	if _, known := audit.since[basis]; !known {
		audit.since[basis] = s.now
	}
	earliestStart := max(audit.since[basis]-auditInterval, 0) // right after the previous sample
	duration := s.now - earliestStart
	audit.longest = max(audit.longest, duration)
	bound := ContradictionBound(s.LeaseDurations)
	crossesBound := duration > bound && duration-auditInterval <= bound
	if !crossesBound {
		return
	}
	audit.overBound++
	if !s.PlainPush {
		a.report("contradiction", s.now, "for over %v a router acts on %+v while another goes by version %d: %s", bound, basis, version, conflict)
	}
}

// firstConflict describes the first field in which a router that acts on these rules does what a version forbids; "" if there is none.
// Routers without a lease are not checked: only the floor of the versions bounds what they may do, and they can't know which engines were
// removed (docs/control.md).
func (a *auditor) firstConflict(basis actingBasis, acting *rules.Rules, versionNumber uint64) string {
	version := a.versions.byNumber[versionNumber]
	if version == nil || acting == nil || !basis.leased {
		return ""
	}
	key := conflictKey{basis.activated, basis.pending, versionNumber}
	if conflict, known := a.contradictions.conflicts[key]; known {
		return conflict
	}
	conflict := ""
	if conflicting := rules.Conflicts(acting, version.Rules); len(conflicting) > 0 {
		conflict = conflicting[0].Name + ": " + conflicting[0].Description
	}
	a.contradictions.conflicts[key] = conflict
	return conflict
}
