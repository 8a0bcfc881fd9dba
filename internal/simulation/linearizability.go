package simulation

import (
	"time"

	"github.com/anishathalye/porcupine"

	"bankledge/internal/configregister"
	"bankledge/internal/lease"
)

const (
	maxOperations          = 6000
	checkedReadOdds        = 4 // one in this many reads is checked
	linearizabilityTimeout = 20 * time.Second
)

// operationAudit collects the reads and writes of the newest version's number, which have to be linearizable. A write is a proposal that
// was acknowledged; a read is the reply to a renewal.
type operationAudit struct {
	operations   []porcupine.Operation
	proposed     map[string]time.Duration          // when each proposal was first sent, by the proposal's id
	acknowledged map[string]configregister.Outcome // by the proposal's id
	renewals     map[renewalKey]time.Duration
}

// renewalKey identifies a renewal that a router sent.
type renewalKey struct {
	incarnation string
	sequence    uint64
}

func newOperationAudit() operationAudit {
	return operationAudit{
		proposed:     map[string]time.Duration{},
		acknowledged: map[string]configregister.Outcome{},
		renewals:     map[renewalKey]time.Duration{},
	}
}

// readInput is the input of a read in the model; the input of a write is the number of its version.
const readInput = uint64(0)

func (o *operationAudit) addWrite(number uint64, called, returned time.Duration) {
	o.add(number, number, called, returned)
}

func (o *operationAudit) addRead(number uint64, called, returned time.Duration) {
	o.add(readInput, number, called, returned)
}

func (o *operationAudit) add(input, output uint64, called, returned time.Duration) {
	o.operations = append(o.operations, porcupine.Operation{
		ClientId: len(o.operations),
		Input:    input,
		Output:   output,
		Call:     int64(called),
		Return:   int64(returned),
	})
}

// observeProposal records when a proposal is first sent.
func (a *auditor) observeProposal(id string, sent time.Duration) {
	if _, known := a.operations.proposed[id]; !known {
		a.operations.proposed[id] = sent
	}
}

func (a *auditor) observeRenewal(s *simulation, renewal lease.Renewal) {
	a.operations.renewals[renewalKey{renewal.Incarnation, renewal.Seq}] = s.now
}

// observeReply records a random sample of the replies as reads.
func (a *auditor) observeReply(s *simulation, router *routerHost, reply lease.Reply) {
	audit := &a.operations
	key := renewalKey{router.leaseIncarnation(), reply.Seq}
	sent, known := audit.renewals[key]
	if !known || reply.RejectReason != "" || reply.LeaderAddress != "" {
		return
	}
	delete(audit.renewals, key)
	if len(audit.operations) < maxOperations && s.oneIn(checkedReadOdds) {
		audit.addRead(reply.Newest, sent, s.now)
	}
}

// addUnacknowledged adds the versions that were written but whose outcome no operator received. Such a write may have happened at any time.
func (o *operationAudit) addUnacknowledged(newest uint64, end time.Duration) {
	acknowledged := map[uint64]bool{}
	for _, outcome := range o.acknowledged {
		acknowledged[outcome.Number] = true
	}
	for number := uint64(1); number <= newest; number++ {
		if !acknowledged[number] {
			o.addWrite(number, 0, end+1)
		}
	}
}

// checkLinearizable reports a violation if no order of the operations explains the observed results. A check that exceeds
// linearizabilityTimeout counts as passed.
func (a *auditor) checkLinearizable(s *simulation) {
	operations := a.operations.operations
	if porcupine.CheckOperationsTimeout(versionCounter, operations, linearizabilityTimeout) == porcupine.Illegal {
		a.report("linearizable", s.now, "no order of %d reads and writes explains the observed results", len(operations))
	}
}

// versionCounter is the sequential specification: a write increases the number by one, which gives the number of
// its version; a read returns the number.
var versionCounter = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, written, read := state.(uint64), input.(uint64), output.(uint64)
		if written != readInput {
			return written == current+1, written
		}
		return read == current, current
	},
	Equal: func(a, b any) bool { return a == b },
}
