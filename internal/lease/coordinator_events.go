package lease

import "bankledge/internal/configregister"

// CoordinatorEvent is an input of Coordinator.Step. A CallID identifies the call that waits for an answer.
type CoordinatorEvent interface{ coordinatorEvent() }

// The events of a coordinator.
type (
	// LeadershipGained reports that this process is now the leader, and has applied all entries that earlier leaders committed.
	LeadershipGained struct{}

	// LeadershipLost reports that this process is no longer the leader.
	LeadershipLost struct{}

	// StateApplied reports the replicated state, and the outcomes of the proposals that were applied after the last StateApplied.
	StateApplied struct {
		Lineage           string
		Newest, Activated uint64
		Hash              string // of the newest version
		Outcomes          []configregister.Outcome
	}

	// RenewalReceived is a renewal of a client.
	RenewalReceived struct {
		CallID  uint64
		Renewal Renewal
	}

	// LeadershipConfirmed reports that this process still led after the ConfirmLeadership with this token, and that it has applied all
	// entries that were committed by then.
	LeadershipConfirmed struct{ Token uint64 }

	// ProposalReceived is a proposal of an operator.
	ProposalReceived struct {
		CallID uint64
		Entry  configregister.Entry
	}

	// AppendFailed reports that an entry was not written to the log.
	AppendFailed struct {
		ProposalID string
		Err        error
	}

	// LeadershipCheckRequested requests a confirmation that this process leads. The answer is a SendOutcome with the number of the newest
	// version.
	LeadershipCheckRequested struct{ CallID uint64 }

	// CallCancelled reports that the caller no longer waits for the outcome of its proposal.
	CallCancelled struct{ CallID uint64 }

	// CoordinatorTick only advances the time. It has to be sent no later than Coordinator.NextDeadline.
	CoordinatorTick struct{}
)

func (LeadershipGained) coordinatorEvent()         {}
func (LeadershipLost) coordinatorEvent()           {}
func (StateApplied) coordinatorEvent()             {}
func (RenewalReceived) coordinatorEvent()          {}
func (LeadershipConfirmed) coordinatorEvent()      {}
func (ProposalReceived) coordinatorEvent()         {}
func (AppendFailed) coordinatorEvent()             {}
func (LeadershipCheckRequested) coordinatorEvent() {}
func (CallCancelled) coordinatorEvent()            {}
func (CoordinatorTick) coordinatorEvent()          {}

// CoordinatorAction is an output of Coordinator.Step that the process has to carry out.
type CoordinatorAction interface{ coordinatorAction() }

// The actions of a coordinator.
type (
	// ConfirmLeadership asks a quorum to confirm that this process leads (a read index request).
	ConfirmLeadership struct{ Token uint64 }

	// SendReply answers a renewal.
	SendReply struct {
		CallID uint64
		Reply  Reply
	}

	// AppendEntry writes an entry to the replicated log.
	AppendEntry struct{ Entry configregister.Entry }

	// SendOutcome answers a proposal or a request for a leadership check.
	SendOutcome struct {
		CallID  uint64
		Outcome configregister.Outcome
	}
)

func (ConfirmLeadership) coordinatorAction() {}
func (SendReply) coordinatorAction()         {}
func (AppendEntry) coordinatorAction()       {}
func (SendOutcome) coordinatorAction()       {}
