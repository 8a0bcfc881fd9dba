package lease

import (
	"errors"

	"bankledge/internal/configregister"
)

// Renewal is a client's request for a lease, encoded as JSON.
type Renewal struct {
	Name            string `json:"name"`        // of the router
	Incarnation     string `json:"incarnation"` // generated at the router's start: two processes under one name have two leases
	Seq             uint64 `json:"seq"`         // increases with each renewal of an incarnation, from 1
	Lineage         string `json:"lineage"`     // that the router follows; empty until it has accepted a version, unless its settings name one
	KnownVersion    uint64 `json:"known"`       // number of the newest version that the router has accepted; 0 if none
	KnownHash       string `json:"hash"`        // of that version
	DurationsKey    string `json:"spans"`       // Durations.CompatibilityKey of the router
	RemainingMillis int64  `json:"term"`        // left of the current lease, in milliseconds; 0 if there is none
	LastMessage     string `json:"word"`        // the router's last message for operators, such as why it rejected a version
}

// Reply is the control group's answer to a renewal, encoded as JSON.
type Reply struct {
	Seq           uint64 `json:"seq"`     // of the renewal
	Granted       bool   `json:"granted"` // a lease is granted; it counts from when the renewal was sent
	Lineage       string `json:"lineage"` // of the group
	Newest        uint64 `json:"newest"`  // number of the newest committed version
	Activated     uint64 `json:"settled"` // all versions up to this one are activated
	RejectReason  string `json:"refused"` // why no lease is granted; empty if the router only has to catch up
	LeaderAddress string `json:"leader"`  // where to send renewals instead; empty if this process leads or knows no leader
}

// maxTextBytes bounds a name, identifier, hash or message that another process sends.
const maxTextBytes = 200

// Errors that the control group sends as text: in Reply.RejectReason or configregister.Outcome.Error.
var (
	// ErrNotLeader is the reason for which a process that does not lead the group rejects a request.
	ErrNotLeader = errors.New("this process does not lead the group")

	errTooManyRouters   = errors.New("too many routers")
	errTooManyProposals = errors.New("too many proposals wait")
	errInvalidRenewal   = errors.New("incarnation: missing, or a field is too long")
	errInvalidProposal  = errors.New("proposal: id: missing, or not a proposal")
)

func (r Renewal) valid() bool {
	return r.Incarnation != "" &&
		len(r.Incarnation) <= maxTextBytes &&
		len(r.Name) <= maxTextBytes &&
		len(r.LastMessage) <= maxTextBytes &&
		len(r.Lineage) <= maxTextBytes &&
		len(r.KnownHash) <= maxTextBytes
}

func validProposal(entry configregister.Entry) bool {
	if entry.ID == "" || len(entry.ID) > maxTextBytes {
		return false
	}
	return entry.Kind == configregister.EntryPropose || entry.Kind == configregister.EntryRollback
}
