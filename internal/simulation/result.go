package simulation

import "time"

// maxConvergenceDelay is the time that routers have to apply a new version. If the group first sends a version within this time before
// the end, the simulation does not check convergence.
const maxConvergenceDelay = 2 * time.Second

// Result is what the auditor found in one simulation.
type Result struct {
	Seed                 uint64
	Violations           []Violation
	Digest               uint64        // of the history
	Versions             uint64        // number of written versions
	Activated            uint64        // newest activated version at the end
	LongestContradiction time.Duration // longest time for which routers applied contradicting rules
	OverBound            int           // contradictions that were longer than ContradictionBound
	Contradictions       int           // distinct pairs of an applied configuration and a version that it contradicts
	LeaseShare           float64       // mean share of the running routers that held a lease
	ConvergenceDelay     time.Duration // from the end of the faults until all routers applied the newest version
	Converged            bool          // all routers applied the newest version at the end
}

// result runs the checks at the end of the simulation and returns all results.
func (a *auditor) result(s *simulation) Result {
	r := Result{
		Seed:                 s.Seed,
		Digest:               s.digest.Sum64(),
		Versions:             uint64(len(a.versions.byNumber)),
		LongestContradiction: a.contradictions.longest,
		OverBound:            a.contradictions.overBound,
		Contradictions:       len(a.contradictions.distinct),
		LeaseShare:           a.leases.share(),
	}
	for _, process := range s.processes {
		if !process.up {
			continue
		}
		register := process.replica.Register()
		r.Activated = max(r.Activated, register.Activated)
		r.Versions = max(r.Versions, register.NewestNumber())
		for _, version := range register.Versions {
			a.observeVersion(s, version)
		}
	}
	a.checkAcknowledged(s)
	a.operations.addUnacknowledged(r.Versions, s.SimulatedTime)
	if !s.PlainPush {
		a.checkLinearizable(s)
	}
	r.Converged = a.converged(s)
	r.ConvergenceDelay = max(0, a.leases.lastNotConverged-s.faultsEnd())
	a.checkConvergence(s, r.Converged)
	r.Violations = a.violations
	return r
}

// converged reports whether all routers applied the newest version at the last sample, or are not required to because it is too new.
func (a *auditor) converged(s *simulation) bool {
	return a.leases.lastNotConverged < s.now-auditInterval || a.versions.lastObserved >= s.now-maxConvergenceDelay
}

// checkConvergence reports a violation if the routers have not converged by the end, although the faults ended long before.
func (a *auditor) checkConvergence(s *simulation, converged bool) {
	stillWriting := a.versions.lastObserved >= s.now-maxConvergenceDelay
	if !converged && !s.PlainPush && !stillWriting {
		a.report("convergence", s.now, "%v after the end of the faults, not all routers apply version %d", s.SimulatedTime-s.faultsEnd(), a.versions.newest)
	}
}
