// Package controlapi defines the HTTP interface of the control group: the paths, headers and JSON messages that its processes, the
// operators' client and the routers exchange. It imports neither the replica nor its storage, so that routers can import it. Renewals and
// their replies are defined in package lease, proposals and their outcomes in package configregister.
package controlapi

import (
	"bankledge/internal/configversion"
	"bankledge/internal/lease"
)

// Paths for routers and operators, served on a process's client address.
const (
	RenewalPath       = "/v1/term"            // POST lease.Renewal; response: lease.Reply
	VersionStreamPath = "/v1/versions/events" // GET; response: a stream of VersionEvent as server-sent events
	VersionsPath      = "/v1/versions"        // GET; response: VersionList
	ProposalsPath     = "/v1/proposals"       // POST configregister.Entry; response: configregister.Outcome
	MembersPath       = "/v1/members"         // POST MembershipChange; response: configregister.Outcome
	StatusPath        = "/v1/status"          // GET; response: Status
)

// PeerMessagesPath is the path on a process's peer address to which other processes POST messages of the replicated log. The body is a
// sequence of protobuf messages, each prefixed by its length as a varint. The response to an accepted batch is 204.
const PeerMessagesPath = "/v1/messages"

// Headers.
const (
	// LineageHeader is the lineage of the group that sends messages of the replicated log; empty before the group is founded.
	LineageHeader = "X-Bankledge-Lineage"
	// LastEventIDHeader is the number of the newest version that the follower of a stream knows.
	LastEventIDHeader = "Last-Event-ID"
)

// MaxReplyBytes bounds the encoding of a lease.Reply.
const MaxReplyBytes = 4 << 10

// VersionEvent is an event of the stream of configuration versions: a committed version or an activation.
type VersionEvent struct {
	Lineage   string                 `json:"lineage"`
	Activated uint64                 `json:"settled"`           // all versions up to this number are in force
	Version   *configversion.Version `json:"version,omitempty"` // nil: only Activated has changed
}

// Member holds the addresses of a process of the group.
type Member struct {
	Peer   string `json:"peer"`   // address for the other processes
	Client string `json:"client"` // address for routers and operators
	Voter  bool   `json:"votes"`  // false: a learner, which becomes a voter once it has caught up
}

// Status is the state of the group as one process knows it.
type Status struct {
	ID                     uint64            `json:"id"`     // of the responding process
	IsLeader               bool              `json:"leads"`  // confirmed by a quorum for this response
	Leader                 uint64            `json:"leader"` // id of the leader; 0: unknown
	Term                   uint64            `json:"term"`   // of the replicated log
	Lineage                string            `json:"lineage"`
	NewestVersion          uint64            `json:"newest"`  // number of the newest version; 0: there is none
	Activated              uint64            `json:"settled"` // all versions up to this number are in force
	NewestHash             string            `json:"hash"`
	MaxContradictionMillis int64             `json:"t_ms"`
	StorageBytes           uint64            `json:"disk_bytes"`
	Members                map[uint64]Member `json:"members"`
	Sessions               []lease.Session   `json:"sessions"`        // null unless IsLeader
	Error                  string            `json:"error,omitempty"` // why the process can't prove that it is the leader; empty if IsLeader
}

// MembershipChange is a request to add a process to the group or to remove one.
type MembershipChange struct {
	MemberID uint64 `json:"id"`
	Member   Member `json:"member"` // of a process to add; Voter is ignored
	Remove   bool   `json:"remove"`
}

// VersionList holds the configuration versions that the group still has.
type VersionList struct {
	Lineage   string                   `json:"lineage"`
	Activated uint64                   `json:"settled"`  // all versions up to this number are in force
	Versions  []*configversion.Version `json:"versions"` // oldest first
}
