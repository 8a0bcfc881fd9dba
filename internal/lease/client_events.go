package lease

import (
	"fmt"

	"bankledge/internal/configversion"
	"bankledge/internal/rules"
)

// ClientEvent is something that happened to a router.
type ClientEvent interface{ clientEvent() }

// The events of a client.
type (
	// ClientTick lets time pass. It is due before each batch of decisions, and no later than Client.NextDeadline.
	ClientTick struct{}

	// ReplyReceived is a reply to a renewal.
	ReplyReceived struct{ Reply Reply }

	// RenewalFailed reports that a renewal will get no reply.
	RenewalFailed struct{ Seq uint64 }

	// VersionReceived is a version from the stream, with the newest number that was activated when it was sent.
	VersionReceived struct {
		Version   *configversion.Version
		Activated uint64
	}

	// VersionActivated reports, from the stream, that all versions up to a number are activated.
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

// ClientAction is something that a router has to do.
type ClientAction interface{ clientAction() }

// The actions of a client. AddressIndex counts the processes of the control group, from 0.
type (
	// SendRenewal sends a renewal. The client counts its lease from now.
	SendRenewal struct {
		Renewal      Renewal
		AddressIndex int
	}

	// ApplyRules has the router act on these rules from the next decision on.
	ApplyRules struct {
		Rules         *rules.Rules
		Configuration ActiveConfiguration
	}

	// ReopenStream opens a new stream of versions, in place of the present one, for the versions after a number.
	ReopenStream struct {
		AddressIndex int
		AfterVersion uint64
	}

	// LogMessage is a message for operators.
	LogMessage struct{ Text string }
)

func (SendRenewal) clientAction()  {}
func (ApplyRules) clientAction()   {}
func (ReopenStream) clientAction() {}
func (LogMessage) clientAction()   {}

// ActiveConfiguration identifies the versions that a router acts on.
type ActiveConfiguration struct {
	Leased    bool   // a lease is held; without one the local settings apply, too
	Activated uint64 // activated version, 0 if none is known
	Pending   uint64 // newer version that is known but not activated, 0 if there is none
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
