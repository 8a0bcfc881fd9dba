package simulation

import (
	"fmt"
	"time"

	"bankledge/internal/configregister"
	"bankledge/internal/configversion"
)

// maxViolations bounds the recorded violations of one simulation.
const maxViolations = 20

// Violation is a guarantee of the design that did not hold.
type Violation struct {
	Auditor string        // which check found it
	At      time.Duration // true time
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

// versionAudit checks that a number stands for one version, and that each version follows the one before it.
type versionAudit struct {
	byNumber     map[uint64]*configversion.Version
	newest       uint64
	lastObserved time.Duration // when the group last sent a new one
}

// observeVersion checks a version that the group sends.
func (a *auditor) observeVersion(s *simulation, version *configversion.Version) {
	known := a.versions.byNumber[version.Number]
	if known != nil {
		if known.Hash != version.Hash {
			a.report("versions", s.now, "two versions %d", version.Number)
		}
		return
	}
	a.versions.byNumber[version.Number] = version
	a.versions.newest = max(a.versions.newest, version.Number)
	a.versions.lastObserved = s.now
	previous := a.versions.byNumber[version.Number-1]
	if previous != nil && version.PreviousHash != previous.Hash {
		a.report("versions", s.now, "version %d does not follow on %d", version.Number, version.Number-1)
	}
}

// leaseAudit measures how many of the running routers hold a lease, and when all act on the newest version.
type leaseAudit struct {
	samples          int
	shareSum         float64       // of the samples
	lastNotConverged time.Duration // last sample at which not all routers acted on the newest version alone
}

// share is the mean share of running routers that held a lease.
func (a *leaseAudit) share() float64 {
	if a.samples == 0 {
		return 0
	}
	return a.shareSum / float64(a.samples)
}

// leaseWarmUp is how long the routers have for their first lease.
const leaseWarmUp = 2 * time.Second

// compareRouters samples, at one moment, what all running routers act on.
func (a *auditor) compareRouters(s *simulation) {
	sample := sampleRouters(s)
	if s.now > leaseWarmUp && sample.running > 0 {
		a.leases.samples++
		a.leases.shareSum += float64(sample.leased) / float64(sample.running)
	}
	onNewest := actingBasis{activated: a.versions.newest, leased: true}
	if len(sample.bases) != 1 || sample.bases[0] != onNewest {
		a.leases.lastNotConverged = s.now
	}
	a.checkContradictions(s, sample)
}

// observeAcknowledgement records a proposal that was acknowledged to its operator.
func (a *auditor) observeAcknowledgement(s *simulation, outcome configregister.Outcome) {
	first, repeated := a.operations.acknowledged[outcome.ID]
	if repeated && first.Number != outcome.Number {
		a.report("acknowledged", s.now, "proposal %s got %d and %d", outcome.ID, first.Number, outcome.Number)
	}
	if !repeated {
		a.operations.addWrite(outcome.Number, a.operations.proposed[outcome.ID], s.now)
	}
	a.operations.acknowledged[outcome.ID] = outcome
}

// checkAcknowledged checks at the end that no acknowledged version is lost.
func (a *auditor) checkAcknowledged(s *simulation) {
	newestStored := uint64(0)
	for _, process := range s.processes {
		if process.up {
			newestStored = max(newestStored, process.replica.Register().NewestNumber())
		}
	}
	for id, outcome := range a.operations.acknowledged {
		if outcome.Number > newestStored {
			a.report("acknowledged", s.now, "proposal %s was acknowledged as version %d, and nobody has it", id, outcome.Number)
		}
	}
}
