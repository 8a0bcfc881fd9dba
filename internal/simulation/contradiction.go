package simulation

import (
	"slices"
	"time"

	"bankledge/internal/lease"
	"bankledge/internal/rules"
)

// appliedConfiguration identifies the versions from which the rules that a router applies were computed.
type appliedConfiguration struct {
	activated uint64 // activated version; 0: none is known
	pending   uint64 // newer version that is not activated yet; 0: none
	leased    bool
	starting  bool // the router has just started and applies the rules of its own settings
}

// routerSample records what the running routers apply at one moment.
type routerSample struct {
	running        int
	leased         int
	configurations []appliedConfiguration // without duplicates
	rules          map[appliedConfiguration]*rules.Rules
	leasedVersions []uint64 // newest versions that routers with a lease know, without duplicates
}

func sampleRouters(s *simulation) routerSample {
	sample := routerSample{rules: map[appliedConfiguration]*rules.Rules{}}
	for _, router := range s.routers {
		if !router.isRunning() {
			continue
		}
		sample.running++
		if _, known := sample.rules[router.applied]; !known {
			sample.rules[router.applied] = router.rules
			sample.configurations = append(sample.configurations, router.applied)
		}
		if !router.applied.leased {
			continue
		}
		sample.leased++
		version := max(router.applied.activated, router.applied.pending)
		if !slices.Contains(sample.leasedVersions, version) {
			sample.leasedVersions = append(sample.leasedVersions, version)
		}
	}
	return sample
}

// contradiction is a pair of a configuration that a router applies and a version of another router, with a lease, that forbids it.
type contradiction struct {
	applied appliedConfiguration
	version uint64
}

// contradictionAudit measures for how long routers contradict each other.
type contradictionAudit struct {
	since     map[appliedConfiguration]time.Duration // first sample of the ongoing contradictions of a configuration with any version
	distinct  map[contradiction]struct{}
	conflicts map[conflictKey]string // cached results of firstConflict
	longest   time.Duration
	overBound int
}

type conflictKey struct{ activated, pending, version uint64 }

func newContradictionAudit() contradictionAudit {
	return contradictionAudit{
		since:     map[appliedConfiguration]time.Duration{},
		distinct:  map[contradiction]struct{}{},
		conflicts: map[conflictKey]string{},
	}
}

// ContradictionBound is how long routers may contradict each other in a simulation: one lease duration, plus one sampling interval at
// either end. It includes no other delay, since in a simulation a batch of decisions takes no time and no router is paused between the
// check of its lease and its action. docs/control.md derives the general bound, lease.Durations.MaxContradiction.
func ContradictionBound(durations lease.Durations) time.Duration {
	return durations.LeaseDuration + 2*auditInterval
}

// checkContradictions compares what each router applies with the newest versions that routers with a lease know.
func (a *auditor) checkContradictions(s *simulation, sample routerSample) {
	ongoing := map[appliedConfiguration]bool{}
	for _, applied := range sample.configurations {
		for _, version := range sample.leasedVersions {
			conflict := a.firstConflict(applied, sample.rules[applied], version)
			if conflict == "" {
				continue
			}
			ongoing[applied] = true
			a.contradictions.distinct[contradiction{applied, version}] = struct{}{}
			// The looser rules of a version take effect only after the last lease on the previous version has expired.
			if applied.activated >= version && !s.PlainPush {
				a.report("loosened", s.now, "a router applies %+v while another router has a lease on version %d: %s", applied, version, conflict)
			}
			a.measureContradiction(s, applied, version, conflict)
		}
	}
	for applied := range a.contradictions.since {
		if !ongoing[applied] {
			delete(a.contradictions.since, applied)
		}
	}
}

func (a *auditor) measureContradiction(s *simulation, applied appliedConfiguration, version uint64, conflict string) {
	audit := &a.contradictions
	if _, known := audit.since[applied]; !known {
		audit.since[applied] = s.now
	}
	earliestStart := max(audit.since[applied]-auditInterval, 0) // the contradiction may have started right after the previous sample
	duration := s.now - earliestStart
	audit.longest = max(audit.longest, duration)
	bound := ContradictionBound(s.LeaseDurations)
	crossesBound := duration > bound && duration-auditInterval <= bound
	if !crossesBound {
		return
	}
	audit.overBound++
	if !s.PlainPush {
		a.report("contradiction", s.now, "for over %v a router applies %+v while another router has a lease on version %d: %s", bound, applied, version, conflict)
	}
}

// firstConflict describes the first field in which the applied rules allow what a version forbids; it returns "" if there is none. Routers
// without a lease are not checked: only the floor of the versions limits them, and they can't know which engines were removed.
func (a *auditor) firstConflict(applied appliedConfiguration, appliedRules *rules.Rules, versionNumber uint64) string {
	version := a.versions.byNumber[versionNumber]
	if version == nil || appliedRules == nil || !applied.leased {
		return ""
	}
	key := conflictKey{applied.activated, applied.pending, versionNumber}
	if conflict, known := a.contradictions.conflicts[key]; known {
		return conflict
	}
	conflict := ""
	if conflicting := rules.ConflictingFields(appliedRules, version.Rules); len(conflicting) > 0 {
		conflict = conflicting[0].Name + ": " + conflicting[0].Description
	}
	a.contradictions.conflicts[key] = conflict
	return conflict
}
