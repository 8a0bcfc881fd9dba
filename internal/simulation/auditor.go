package simulation

import (
	"fmt"
	"time"

	"bankledge/internal/configregister"
	"bankledge/internal/configversion"
)

// maxViolations limits the recorded violations of one simulation.
const maxViolations = 20

// Violation reports that a guarantee of the design did not hold.
type Violation struct {
	Auditor string        // name of the check that found it
	At      time.Duration // simulated time
	Detail  string
}

// auditor observes a simulation and checks the guarantees of the design. Each check has its own file and state.
type auditor struct {
	violations     []Violation
	versions       versionAudit
	contradictions contradictionAudit
	operations     operationAudit
	leases         leaseAudit
}

func newAuditor() *auditor {
	return &auditor{
		versions:       versionAudit{byNumber: map[uint64]*configversion.Version{}},
		contradictions: newContradictionAudit(),
		operations:     newOperationAudit(),
	}
}

func (a *auditor) report(auditor string, at time.Duration, format string, args ...any) {
	if len(a.violations) < maxViolations {
		a.violations = append(a.violations, Violation{Auditor: auditor, At: at, Detail: fmt.Sprintf(format, args...)})
	}
}

// versionAudit checks that no two versions have the same number, and that each version contains the hash of the previous version.
type versionAudit struct {
	byNumber     map[uint64]*configversion.Version
	newest       uint64
	lastObserved time.Duration // when the group last sent a version that no router had been sent before
}

// observeVersion checks a version that the group sends.
func (a *auditor) observeVersion(s *simulation, version *configversion.Version) {
	known := a.versions.byNumber[version.Number]
	if known != nil {
		if known.Hash != version.Hash {
			a.report("versions", s.now, "two different versions have the number %d", version.Number)
		}
		return
	}
	a.versions.byNumber[version.Number] = version
	a.versions.newest = max(a.versions.newest, version.Number)
	a.versions.lastObserved = s.now
	previous := a.versions.byNumber[version.Number-1]
	if previous != nil && version.PreviousHash != previous.Hash {
		a.report("versions", s.now, "version %d does not contain the hash of version %d", version.Number, version.Number-1)
	}
}

// leaseAudit measures the share of running routers that hold a lease, and when all routers apply the newest version.
type leaseAudit struct {
	samples          int
	shareSum         float64       // of the samples
	lastNotConverged time.Duration // last sample at which not all running routers applied only the newest version, with a lease
}

// share is the mean share of running routers that held a lease.
func (a *leaseAudit) share() float64 {
	if a.samples == 0 {
		return 0
	}
	return a.shareSum / float64(a.samples)
}

// leaseWarmUp is the time that the routers have to obtain their first lease.
const leaseWarmUp = 2 * time.Second

// compareRouters takes a sample of what all running routers apply, and checks it.
func (a *auditor) compareRouters(s *simulation) {
	sample := sampleRouters(s)
	if s.now > leaseWarmUp && sample.running > 0 {
		a.leases.samples++
		a.leases.shareSum += float64(sample.leased) / float64(sample.running)
	}
	onNewest := appliedConfiguration{activated: a.versions.newest, leased: true}
	if len(sample.configurations) != 1 || sample.configurations[0] != onNewest {
		a.leases.lastNotConverged = s.now
	}
	a.checkContradictions(s, sample)
}

// observeAcknowledgement records a proposal that was acknowledged to its operator.
func (a *auditor) observeAcknowledgement(s *simulation, outcome configregister.Outcome) {
	first, repeated := a.operations.acknowledged[outcome.ID]
	if repeated && first.Number != outcome.Number {
		a.report("acknowledged", s.now, "proposal %s was acknowledged as version %d and as version %d", outcome.ID, first.Number, outcome.Number)
	}
	if !repeated {
		a.operations.addWrite(outcome.Number, a.operations.proposed[outcome.ID], s.now)
	}
	a.operations.acknowledged[outcome.ID] = outcome
}

// checkAcknowledged checks at the end of the simulation that no acknowledged version is lost.
func (a *auditor) checkAcknowledged(s *simulation) {
	newestStored := uint64(0)
	for _, process := range s.processes {
		if process.up {
			newestStored = max(newestStored, process.replica.Register().NewestNumber())
		}
	}
	for id, outcome := range a.operations.acknowledged {
		if outcome.Number > newestStored {
			a.report("acknowledged", s.now, "proposal %s was acknowledged as version %d, but no running process has stored it", id, outcome.Number)
		}
	}
}
