package lease

import (
	"fmt"

	"bankledge/internal/configversion"
	"bankledge/internal/rules"
)

// ClientEvent is an input of Client.Step.
type ClientEvent interface{ clientEvent() }

// The events of a client.
type (
	// ClientTick only advances the time. It has to be sent before each batch of decisions, and no later than Client.NextDeadline.
	ClientTick struct{}

	// ReplyReceived is a reply to a renewal.
	ReplyReceived struct{ Reply Reply }

	// RenewalFailed reports that a renewal will get no reply.
	RenewalFailed struct{ Seq uint64 }

	// VersionReceived is a version from the stream, with the highest version number that was activated when it was sent.
	VersionReceived struct {
		Version   *configversion.Version
		Activated uint64
	}

	// VersionActivated is an event of the stream: all versions up to a number are activated.
	VersionActivated struct {
		Lineage string
		Number  uint64
	}

	// InvalidVersionReceived is an event of the stream that could not be decoded.
	InvalidVersionReceived struct{ Err error }

	// StreamLost reports that the stream of versions has ended.
	StreamLost struct{}
)

func (ClientTick) clientEvent()             {}
func (ReplyReceived) clientEvent()          {}
func (RenewalFailed) clientEvent()          {}
func (VersionReceived) clientEvent()        {}
func (VersionActivated) clientEvent()       {}
func (InvalidVersionReceived) clientEvent() {}
func (StreamLost) clientEvent()             {}

// ClientAction is an output of Client.Step that the router has to carry out.
type ClientAction interface{ clientAction() }

// The actions of a client. AddressIndex is the index of an address of the control group, from 0.
type (
	// SendRenewal sends a renewal. A lease that its reply grants counts from the time of the Step that returned the action.
	SendRenewal struct {
		Renewal      Renewal
		AddressIndex int
	}

	// ApplyRules replaces the rules that the router acts on, from the next decision on.
	ApplyRules struct {
		Rules         *rules.Rules
		Configuration ActiveConfiguration
	}

	// ReopenStream replaces the stream of versions by a new one, which starts after version AfterVersion.
	ReopenStream struct {
		AddressIndex int
		AfterVersion uint64
	}

	// LogMessage logs a message for operators.
	LogMessage struct{ Text string }
)

func (SendRenewal) clientAction()  {}
func (ApplyRules) clientAction()   {}
func (ReopenStream) clientAction() {}
func (LogMessage) clientAction()   {}

// ActiveConfiguration identifies the versions that a router acts on.
type ActiveConfiguration struct {
	Leased    bool   // the router holds a lease; without one its local settings restrict the rules, too
	Activated uint64 // number of the activated version, 0 if none is known
	Pending   uint64 // number of the newer version that is not activated, 0 if there is none
}

// String describes the configuration for a log.
func (a ActiveConfiguration) String() string {
	var text string
	switch {
	case a.Activated == 0 && a.Pending == 0:
		return "local settings"
	case a.Pending > 0 && a.Activated > 0:
		text = fmt.Sprintf("intersection of versions %d and %d", a.Activated, a.Pending)
	case a.Pending > 0:
		text = fmt.Sprintf("intersection of version %d and local settings", a.Pending)
	default:
		text = fmt.Sprintf("version %d", a.Activated)
	}
	if !a.Leased {
		text += ", intersected with local settings for lack of a lease"
	}
	return text
}
